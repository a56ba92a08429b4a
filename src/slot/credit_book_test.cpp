#include <doctest/doctest.h>

#include "../test_support.hpp"
#include "parsleylead/slot/credit_book.hpp"

namespace parsleylead {
namespace {

TEST_CASE("credits belong to one session and are spent once") {
  // Guards against dispatches that spend credits which the agent has voided.
  credit_book book;
  CHECK_FALSE(book.grant("a", 1, 2));
  book.open("a", 1);
  CHECK(book.grant("a", 1, 3));
  CHECK(book.spend("a"));
  CHECK(book.return_unused("a", 1, 1) == 1);
  CHECK(book.return_unused("a", 1, 5) == 1);
  CHECK_FALSE(book.spend("a"));
  book.grant("a", 1, 2);
  book.open("a", 2);
  CHECK(book.unused("a") == 0);
  CHECK_FALSE(book.grant("a", 1, 2));
  CHECK(book.return_unused("a", 1, 1) == 0);
  book.grant("a", 2, 4);
  book.void_credits("a", 2);
  book.close("a");
  CHECK(book.session("a") == 0);
  CHECK(book.totals() == credit_totals{9, 1, 2, 6, 0});
}

TEST_CASE("the totals of credits balance after any sequence of operations") {
  CHECK(
      check_property(61, [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& operations) {
        credit_book book;
        for (const auto& [operation, choice] : operations) {
          const std::string worker = choice % 2 == 0 ? "a" : "b";
          const std::uint64_t session = 1 + (choice % 3);
          switch (operation % 6) {
          case 0:
            book.open(worker, session);
            break;
          case 1:
            book.close(worker);
            break;
          case 2:
            book.return_unused(worker, session, choice);
            break;
          case 3:
            book.spend(worker);
            break;
          default:
            book.grant(worker, session, choice);
          }
          RC_ASSERT(book.totals().balances());
          RC_ASSERT(book.totals().unused == book.unused("a") + book.unused("b"));
        }
      }));
}

TEST_CASE("a grant message is unused if none of its credits was spent") {
  // Guards the count of wasted messages: each unused grant message counts exactly once.
  credit_book book;
  book.open("w", 1);
  book.grant("w", 1, 1);
  book.grant("w", 1, 2, true);
  book.grant("w", 1, 1, true);
  CHECK(book.spend("w"));
  CHECK(book.spend("w"));
  CHECK(book.return_unused("w", 1, 2) == 2);
  CHECK(book.take_unused_grants() == 1);
  CHECK(book.take_unused_grants() == 0);
  book.grant("w", 1, 3, true);
  book.close("w");
  CHECK(book.take_unused_grants() == 1);
}

} // namespace
} // namespace parsleylead

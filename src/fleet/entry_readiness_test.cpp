#include "parsleylead/fleet/entry_readiness.hpp"

#include <doctest/doctest.h>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

TEST_CASE("an entry that has just started is ready a second after its first usable worker") {
  // Guards against jobs that are refused because few of 55 agents have connected.
  entry_readiness readiness;
  for (std::int64_t now = 0; now < 3'000; now += 20) {
    const std::size_t workers = now < 400 ? 0 : 1 + static_cast<std::size_t>(now / 200);
    readiness.update(workers, at_ms(now));
    CHECK(readiness.is_ready() == (now >= 1'400));
  }
}

TEST_CASE("an entry that has started alone is ready soon after its last agent has connected") {
  // Guards against a second without the entry at each restart on a small site.
  entry_readiness readiness;
  for (std::int64_t now = 0; now < 2'000; now += 20) {
    readiness.update(now < 100 ? 0 : now < 160 ? 5 : 11, at_ms(now));
    CHECK(readiness.is_ready() == (now >= 460));
  }
}

TEST_CASE("an entry that lost its workers is ready with a quarter of them") {
  entry_readiness readiness;
  readiness.update(40, at_ms(0));
  readiness.update(40, at_ms(1'000));
  REQUIRE(readiness.is_ready());
  readiness.update(3, at_ms(2'000)); // The rest of the site may have no worker either.
  CHECK(readiness.is_ready());
  readiness.update(0, at_ms(2'020));
  CHECK_FALSE(readiness.is_ready());
  readiness.update(9, at_ms(2'040));
  CHECK_FALSE(readiness.is_ready());
  readiness.update(10, at_ms(2'060));
  CHECK(readiness.is_ready());
}

TEST_CASE("the number of workers of an earlier time delays an entry by no more than a second") {
  // Guards against an entry that is never ready on a site that has shrunk.
  entry_readiness readiness;
  readiness.update(40, at_ms(0));
  readiness.update(40, at_ms(1'000));
  readiness.update(0, at_ms(1'020));
  readiness.update(1, at_ms(1'040));
  CHECK_FALSE(readiness.is_ready());
  readiness.update(1, at_ms(2'040));
  CHECK(readiness.is_ready());
}

} // namespace
} // namespace parsleylead

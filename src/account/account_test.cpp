#include <doctest/doctest.h>

#include "parsleylead/account/account.hpp"

namespace parsleylead {
namespace {

TEST_CASE("the account balances for each kind and owner at any moment") {
  // Guards against a job that ends without being counted.
  account tested;
  const failure late{reason::deadline_exceeded, step::gather, "", ""};
  const failure full{reason::queue_full, step::admit, "", ""};
  tested.record_refusal("quote", "sales", full);
  for (int job = 0; job < 5; ++job) {
    tested.record_acceptance("quote", "sales");
    CHECK(tested.balances());
  }
  tested.record_completion("quote", "sales");
  tested.record_unanswered("quote", "sales", job_outcome::failed, late);
  tested.record_unanswered("quote", "sales", job_outcome::cancelled, late);
  tested.record_unanswered("quote", "sales", job_outcome::refused_after_acceptance, late);
  CHECK(tested.balances());
  CHECK(tested.balances({{{"quote", "sales"}, 1}}));
  CHECK_FALSE(tested.balances({}));
  CHECK_FALSE(tested.balances({{{"quote", "sales"}, 1}, {{"check", "sales"}, 1}}));
  const auto snapshot = tested.snapshot();
  REQUIRE(snapshot.jobs.size() == 1);
  CHECK(snapshot.jobs[0].open == 1);
  CHECK(snapshot.jobs[0].failed == 1);
  CHECK(snapshot.reasons.size() == 4);
  CHECK(snapshot.balances);
}

TEST_CASE("wasted messages are counted by cause") {
  account tested;
  tested.add_messages(10);
  tested.add_control_messages();
  tested.add_wasted_messages(waste_cause::probe, 2);
  tested.add_wasted_messages(waste_cause::duplicate_result);
  tested.record_task_start();
  const auto snapshot = tested.snapshot();
  CHECK(snapshot.messages == 10);
  CHECK(snapshot.control_messages == 1);
  CHECK(snapshot.wasted_messages() == 3);
  CHECK(snapshot.wasted.at(static_cast<std::size_t>(waste_cause::probe)) == 2);
  CHECK(snapshot.tasks_started == 1);
  CHECK(to_string(waste_cause::want_without_grant) == "want_without_grant");
}

} // namespace
} // namespace parsleylead

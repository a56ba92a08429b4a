#include <doctest/doctest.h>

#include <map>
#include <set>
#include <utility>

#include "../test_support.hpp"
#include "parsleylead/job/job.hpp"
#include "parsleylead/job/job_table.hpp"

namespace parsleylead {
namespace {

job_request make_request(unsigned id, std::size_t tasks, std::int64_t deadline_ms = 1000) {
  return {test_id(id),
          "quote",
          "sales",
          std::nullopt,
          at_ms(0),
          at_ms(deadline_ms),
          std::vector<std::string>(tasks, "payload")};
}

failure make_failure(reason cause) {
  return {cause, step::run, "worker-1", ""};
}

TEST_CASE("a job answers in task order although results arrive out of order") {
  // Guards against answers attributed to the wrong task, and against recording an answer twice.
  job tested(make_request(1, 3));
  const auto first = tested.dispatch_next().value();
  const auto second = tested.dispatch_next().value();
  const auto third = tested.dispatch_next().value();
  CHECK_FALSE(tested.dispatch_next().has_value());
  CHECK(tested.record_answer(third, "c") == record_effect::recorded);
  CHECK(tested.record_answer(first, "a") == record_effect::recorded);
  CHECK(tested.record_answer(first, "x") == record_effect::ignored);
  CHECK(tested.answers() == nullptr);
  CHECK(tested.record_answer(second, "b") == record_effect::ended);
  CHECK(tested.state() == job_state::complete);
  CHECK(tested.certainty() == run_certainty::ran);
  CHECK(tested.record_failed(second, make_failure(reason::task_failed)) == record_effect::ignored);
  CHECK(tested.take_answers() == std::vector<std::string>{"a", "b", "c"});
  CHECK_FALSE(tested.take_answers().has_value());
  CHECK(tested.ignored_results() == 2);
}

TEST_CASE("one failed task fails the whole job and its answers are dropped") {
  // Guards against partial answers.
  job tested(make_request(1, 3));
  const auto first = tested.dispatch_next().value();
  const auto second = tested.dispatch_next().value();
  tested.record_answer(first, "a");
  CHECK(tested.record_failed(second, make_failure(reason::task_failed)) == record_effect::ended);
  CHECK(tested.state() == job_state::failed);
  CHECK(tested.certainty() == run_certainty::ran);
  CHECK(tested.answers() == nullptr);
  CHECK_FALSE(tested.dispatch_next().has_value());
  CHECK(tested.waiting_count() == 1);
}

TEST_CASE("a job is reported as not run only if no task may have started") {
  // Guards against reporting a started job as not run.
  job refused(make_request(1, 2));
  refused.record_not_run(refused.dispatch_next().value(), make_failure(reason::no_free_slot));
  CHECK(refused.expire());
  CHECK(refused.state() == job_state::refused);
  CHECK(refused.certainty() == run_certainty::not_run);
  CHECK(refused.end_error()->cause == reason::deadline_unreachable);

  job outstanding(make_request(2, 2));
  const auto sent = outstanding.dispatch_next().value();
  CHECK(outstanding.expire());
  CHECK(outstanding.state() == job_state::failed);
  CHECK(outstanding.certainty() == run_certainty::may_have_run);
  CHECK(outstanding.end_error()->cause == reason::deadline_exceeded);
  CHECK(outstanding.outstanding() == std::vector<task_attempt>{sent});
  CHECK(outstanding.record_not_run(sent, make_failure(reason::sealed)) == record_effect::ignored);
  CHECK(outstanding.certainty() == run_certainty::may_have_run);

  job unknown(make_request(3, 1));
  unknown.record_unknown(unknown.dispatch_next().value(), make_failure(reason::agent_lost));
  CHECK(unknown.certainty() == run_certainty::may_have_run);

  job cancelled(make_request(4, 1));
  CHECK(cancelled.cancel(make_failure(reason::cancelled)));
  CHECK_FALSE(cancelled.cancel(make_failure(reason::cancelled)));
  CHECK(cancelled.state() == job_state::cancelled);
  CHECK(cancelled.certainty() == run_certainty::not_run);
}

TEST_CASE("a task that is not run is placed again at most three times") {
  // Guards against endless placement, and against accepting a stale result of an earlier attempt.
  job tested(make_request(1, 1));
  const auto first = tested.dispatch_next().value();
  tested.record_not_run(first, make_failure(reason::no_free_slot));
  for (int placement = 1; placement <= 3; ++placement) {
    const auto again = tested.dispatch_next();
    REQUIRE(again.has_value());
    CHECK(tested.record_answer(first, "stale") == record_effect::ignored);
    const auto effect = tested.record_not_run(*again, make_failure(reason::connect_failed));
    CHECK(effect == (placement < 3 ? record_effect::recorded : record_effect::ended));
  }
  CHECK(tested.state() == job_state::refused);
  CHECK(tested.end_error()->cause == reason::retries_exhausted);
  CHECK(tested.waiting_count() == 1);
}

TEST_CASE("random histories keep the guarantees of a job") {
  // Guards P1 to P4 against any order of results, cancellations and deadlines.
  CHECK(check_property(11, [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& history) {
    const std::size_t tasks = 1 + (history.size() % 4);
    job tested(make_request(1, tasks));
    std::vector<task_attempt> outstanding;
    std::vector<task_attempt> ended;
    std::map<std::uint32_t, std::string> answers;
    std::map<std::uint32_t, std::uint32_t> not_run_counts;
    bool ran = false;
    bool unknown = false;
    for (const auto& [operation, choice] : history) {
      const auto state_before = tested.state();
      const auto certainty_before = tested.certainty();
      if (operation % 8 < 3) {
        if (const auto dispatched = tested.dispatch_next()) {
          RC_ASSERT(state_before == job_state::open);
          RC_ASSERT(dispatched->attempt == not_run_counts[dispatched->index] + 1);
          RC_ASSERT(dispatched->attempt <= 1 + max_placements_after_not_run);
          outstanding.push_back(*dispatched);
        }
      } else if (operation % 8 == 7) {
        if (choice % 16 == 0) {
          tested.cancel(make_failure(reason::cancelled));
        } else if (choice % 16 == 1) {
          tested.expire();
        } else if (!ended.empty()) {
          RC_ASSERT(tested.record_answer(ended[choice % ended.size()], "late") ==
                    record_effect::ignored);
        }
      } else if (!outstanding.empty()) {
        const auto position = outstanding.begin() + (choice % outstanding.size());
        const auto task = *position;
        outstanding.erase(position);
        ended.push_back(task);
        const bool open = state_before == job_state::open;
        auto effect = record_effect::ignored;
        if (operation % 8 < 5) {
          effect = tested.record_answer(task, std::to_string(task.index));
          answers[task.index] = std::to_string(task.index);
          ran = ran || open;
        } else if (operation % 8 == 5) {
          effect = tested.record_not_run(task, make_failure(reason::no_free_slot));
          ++not_run_counts[task.index];
        } else if (choice % 2 == 0) {
          effect = tested.record_failed(task, make_failure(reason::task_failed));
          ran = ran || open;
        } else {
          effect = tested.record_unknown(task, make_failure(reason::agent_lost));
          unknown = unknown || open;
        }
        RC_ASSERT((effect == record_effect::ignored) == !open);
      }
      if (state_before != job_state::open) {
        RC_ASSERT(tested.state() == state_before);
        RC_ASSERT(tested.certainty() == certainty_before);
        continue;
      }
      const auto expected = !outstanding.empty() || unknown ? run_certainty::may_have_run
                            : ran                           ? run_certainty::ran
                                                            : run_certainty::not_run;
      RC_ASSERT(tested.certainty() == expected);
      RC_ASSERT(tested.state() != job_state::refused || expected == run_certainty::not_run);
      if (tested.state() == job_state::complete) {
        RC_ASSERT(answers.size() == tasks);
        for (std::uint32_t index = 0; index < tasks; ++index) {
          RC_ASSERT(tested.answers()->at(index) == answers.at(index));
        }
      }
    }
  }));
}

TEST_CASE("the job table ends jobs in deadline order and removes them after the retention") {
  // Guards against jobs that stay open after their deadline and against unbounded growth of the
  // table.
  job_table table(std::chrono::milliseconds(500));
  table.insert(make_request(1, 1, 300));
  table.insert(make_request(2, 1, 200));
  table.insert(make_request(3, 1, 900));
  CHECK(table.insert(make_request(3, 1)) == nullptr);
  CHECK(table.next_deadline() == at_ms(200));
  CHECK(table.expire(at_ms(199)).empty());
  table.find(test_id(3))->cancel(make_failure(reason::cancelled));
  table.start_retention(test_id(3), at_ms(250));
  table.start_retention(test_id(3), at_ms(260));
  const auto expired = table.expire(at_ms(300));
  REQUIRE(expired.size() == 2);
  CHECK(expired[0]->id() == test_id(2));
  CHECK(expired[1]->id() == test_id(1));
  CHECK(table.open_count() == 0);
  CHECK(table.purge(at_ms(749)) == 0);
  CHECK(table.purge(at_ms(750)) == 1);
  CHECK(table.find(test_id(3)) == nullptr);
  CHECK(table.purge(at_ms(800)) == 2);
  CHECK(table.size() == 0);
}

} // namespace
} // namespace parsleylead

#include <doctest/doctest.h>

#include <algorithm>
#include <tuple>

#include "../test_support.hpp"
#include "parsleylead/placement/backlog.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

backlog_job make_job(unsigned id, std::size_t tasks, std::int64_t accepted_ms = 0,
                     std::int64_t budget_ms = 1000, std::string kind = "quote") {
  return {test_id(id), std::move(kind),    "sales",
          tasks,       at_ms(accepted_ms), at_ms(accepted_ms + budget_ms)};
}

std::vector<uuid> visited_jobs(backlog& tested) {
  std::vector<uuid> jobs;
  tested.visit([&jobs](const backlog_candidate& candidate) {
    jobs.push_back(candidate.id);
    return visit_step::next_job;
  });
  return jobs;
}

TEST_CASE("backlog: jobs are ordered by remaining work, and aging prevents starvation") {
  // A stream of small jobs must not delay a large job without end (docs/design.md, D4).
  backlog tested;
  tested.set_run_time("check", milliseconds(10), at_ms(0));
  tested.add(make_job(1, 100), at_ms(0));
  tested.add(make_job(2, 2), at_ms(0));
  tested.add(make_job(3, 20, 0, 1000, "check"), at_ms(0));
  CHECK(visited_jobs(tested) == std::vector<uuid>{test_id(3), test_id(2), test_id(1)});
  CHECK(tested.waiting_demand() == demand{200'000, 122});
  CHECK(tested.waiting_demand({"quote"}) == demand{600'000, 102});
  CHECK(tested.waiting_demand({"other"}).none());
  CHECK(tested.work_before({"quote", "check"}, 600'000) == milliseconds(200));
  CHECK(tested.work_before({"check"}, 200'000) == milliseconds(0));
  CHECK(tested.work_before({"quote", "check"}, 40'000'000) == milliseconds(30'800));
  tested.add(make_job(4, 1, 499), at_ms(499));
  tested.age(at_ms(500));
  CHECK(visited_jobs(tested) == std::vector<uuid>{test_id(1), test_id(2), test_id(3), test_id(4)});
  tested.remove(test_id(1));
  CHECK(tested.waiting() == 23);
}

TEST_CASE("backlog: first come, first served ignores the size of jobs") {
  backlog tested({backlog_order::first_come, 0.5});
  tested.add(make_job(1, 100, 0), at_ms(0));
  tested.add(make_job(2, 1, 1), at_ms(1));
  CHECK(visited_jobs(tested) == std::vector<uuid>{test_id(1), test_id(2)});
  CHECK(tested.work_before({"quote"}, 0) > milliseconds(0));
}

TEST_CASE("backlog: a blocked kind is neither visited nor counted as demand until unblocked") {
  // Otherwise the entry would request credits that the owner's limits keep it from using.
  backlog tested;
  tested.add(make_job(1, 1), at_ms(0));
  tested.add(make_job(2, 5, 0, 1000, "check"), at_ms(0));
  std::size_t visited = 0;
  tested.visit([&visited](const backlog_candidate& candidate) {
    ++visited;
    return candidate.kind == "quote" ? visit_step::block_kind : visit_step::next_kind;
  });
  CHECK(visited == 2);
  CHECK(tested.waiting_demand().waiting == 5);
  tested.add(make_job(3, 4), at_ms(0));
  tested.take(test_id(1), at_ms(0));
  CHECK(visited_jobs(tested) == std::vector<uuid>{test_id(2)});
  tested.unblock("sales");
  CHECK(tested.waiting_demand().waiting == 9);
  tested.put_back(test_id(1), at_ms(0));
  CHECK(visited_jobs(tested).front() == test_id(1));
}

TEST_CASE("backlog: after random operations the order equals a full sort by key") {
  // The incrementally updated order must not diverge from the definition of the key.
  using operation_step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
  struct expected_job {
    backlog_job job;
    std::size_t waiting;
  };
  CHECK(check_property(31, [](const std::vector<operation_step>& operations) {
    backlog tested;
    std::vector<expected_job> jobs;
    std::int64_t now = 0;
    for (const auto& [operation, choice, pause] : operations) {
      now += pause;
      const auto pick = jobs.empty() ? 0 : choice % jobs.size();
      if (operation % 4 < 2) {
        const auto id = static_cast<unsigned>(jobs.size());
        jobs.push_back({make_job(id, 1U + (choice % 9U), now, 80 + (choice * 7),
                                 choice % 2 == 0 ? "quote" : "check"),
                        1U + (choice % 9U)});
        tested.add(jobs.back().job, at_ms(now));
      } else if (operation % 4 == 2 && !jobs.empty() && jobs[pick].waiting > 0) {
        --jobs[pick].waiting;
        tested.take(jobs[pick].job.id, at_ms(now));
      } else if (operation % 4 == 3 && !jobs.empty()) {
        ++jobs[pick].waiting;
        tested.put_back(jobs[pick].job.id, at_ms(now));
      }
      tested.age(at_ms(now));
      using sort_key = std::tuple<std::uint64_t, monotonic_time, std::size_t>;
      std::vector<sort_key> expected;
      std::size_t waiting = 0;
      for (std::size_t index = 0; index < jobs.size(); ++index) {
        const auto& job = jobs[index].job;
        const auto window = (job.deadline - job.accept_time) / 2;
        const auto steps = (at_ms(now) - job.accept_time) * 8 / window;
        const auto initial_key = jobs[index].waiting * 300'000;
        const auto key = steps >= 8
                             ? 0
                             : std::max<std::uint64_t>(
                                   1, initial_key * static_cast<std::uint64_t>(8 - steps) / 8);
        if (jobs[index].waiting > 0) {
          expected.emplace_back(key, job.accept_time + window, index);
        }
        waiting += jobs[index].waiting;
      }
      std::sort(expected.begin(), expected.end());
      const auto order = visited_jobs(tested);
      RC_ASSERT(tested.waiting() == waiting);
      RC_ASSERT(order.size() == expected.size());
      for (std::size_t place = 0; place < order.size(); ++place) {
        RC_ASSERT(order[place] == jobs[std::get<2>(expected[place])].job.id);
      }
      // Jobs that have used half of their time budget come before all others.
      const auto aged = [&](const uuid& id) {
        const auto& job =
            std::find_if(jobs.begin(), jobs.end(), [&](const expected_job& candidate) {
              return candidate.job.id == id;
            })->job;
        return at_ms(now) - job.accept_time >= (job.deadline - job.accept_time) / 2;
      };
      RC_ASSERT(std::is_partitioned(order.begin(), order.end(), aged));
    }
  }));
}

TEST_CASE("backlog: 10,000 jobs with 370 tasks each are drained job by job") {
  // Would time out if an operation scanned all jobs.
  backlog tested;
  for (unsigned id = 0; id < 10'000; ++id) {
    tested.add(make_job(id, 370, id / 10, 60'000), at_ms(id / 10));
  }
  CHECK(tested.waiting() == 3'700'000);
  std::size_t switches = 0;
  uuid last;
  for (int task = 0; task < 37'000; ++task) {
    uuid chosen;
    tested.visit([&chosen](const backlog_candidate& candidate) {
      chosen = candidate.id;
      return visit_step::stop;
    });
    switches += chosen == last ? 0 : 1;
    last = chosen;
    tested.take(chosen, at_ms(1000));
  }
  CHECK(switches == 100);
}

} // namespace
} // namespace parsleylead

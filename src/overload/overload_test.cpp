#include <doctest/doctest.h>

#include <algorithm>

#include "../test_support.hpp"
#include "parsleylead/overload/backlog_plan.hpp"
#include "parsleylead/overload/reach_growth.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

/// A job whose objective is `objective` and whose late limit is three times that, from time 0.
job_demand demand(std::uint64_t id, std::uint32_t priority, std::int64_t objective, double work,
                  std::int64_t path = 50) {
  return {id,
          priority,
          at_ms(objective),
          at_ms(3 * objective),
          at_ms(30'000),
          work,
          milliseconds(path),
          false};
}

std::vector<std::uint64_t> ids(const std::vector<job_refusal>& refused) {
  std::vector<std::uint64_t> all;
  all.reserve(refused.size());
  for (const auto& each : refused) {
    all.push_back(each.job.id);
  }
  std::sort(all.begin(), all.end());
  return all;
}

TEST_CASE("overload: on-time jobs run first, then late ones, then useless ones") {
  // Guards against serving urgent jobs that are late anyway while others become late.
  const auto urgent = demand(1, 0, 140, 400);
  const auto large = demand(2, 2, 1'300, 21'000, 760);
  CHECK(runs_before(urgent, large, at_ms(0)));
  // Until then the large job is on time even if it waits.
  CHECK(runs_before(urgent, large, at_ms(100)));
  CHECK(runs_before(large, urgent, at_ms(170)));
  CHECK(runs_before(urgent, large, at_ms(200)) == false);
  CHECK(can_be_useful(urgent, at_ms(370)));
  CHECK_FALSE(can_be_useful(urgent, at_ms(371)));
  CHECK(runs_before(demand(3, 2, 150, 1), urgent, at_ms(371)));
  CHECK(runs_before(demand(4, 1, 150, 1), demand(5, 1, 200, 1), at_ms(0)));
}

TEST_CASE("overload: work of lower priority does not delay an urgent job") {
  // Guards against the refusal of urgent jobs because of all waiting work.
  const std::vector<job_demand> waiting{demand(1, 2, 1'300, 21'000, 760),
                                        demand(2, 2, 1'300, 21'000, 760)};
  CHECK_FALSE(admit(demand(3, 0, 140, 400), waiting, 10, at_ms(0)).refusal);
  const auto low = admit(demand(4, 2, 1'400, 21'000, 760), waiting, 10, at_ms(0));
  REQUIRE(low.refusal);
  CHECK_FALSE(low.refusal->for_another);
}

TEST_CASE("overload: a waiting job of lower priority is refused in favor of an urgent one") {
  const std::vector<job_demand> waiting{demand(1, 0, 140, 400), demand(2, 2, 200, 5'000)};
  CHECK(admit(demand(3, 0, 140, 500), waiting, 1, at_ms(0)).refusal);
  const auto displacing = admit(demand(3, 1, 150, 400), {demand(2, 2, 200, 5'000)}, 0.5, at_ms(0));
  CHECK_FALSE(displacing.refusal);
  REQUIRE(ids(displacing.refused_instead) == std::vector<std::uint64_t>{2});
  CHECK(displacing.refused_instead[0].for_another);
}

TEST_CASE("overload: of equal priority, the job with the most work is refused") {
  const std::vector<job_demand> jobs{demand(1, 1, 100, 100), demand(2, 1, 110, 900),
                                     demand(3, 1, 120, 100)};
  CHECK(ids(plan_backlog(jobs, 2, at_ms(0))) == std::vector<std::uint64_t>{2});
  CHECK(plan_backlog(jobs, 10, at_ms(0)).empty());
}

TEST_CASE("overload: a job that cannot be saved costs no other job") {
  // Guards against refusing all jobs ahead of one whose limit has passed or is about to.
  auto waiting = std::vector<job_demand>{demand(1, 1, 100, 300), demand(2, 1, 100, 300)};
  waiting.push_back(demand(3, 1, -400, 10));
  CHECK(ids(plan_backlog(waiting, 10, at_ms(0))) == std::vector<std::uint64_t>{3});
  waiting.back() = demand(3, 1, 40, 10);
  waiting.back().late_limit = at_ms(51);
  CHECK(ids(plan_backlog(waiting, 10, at_ms(0))) == std::vector<std::uint64_t>{3});
}

TEST_CASE("overload: started and durable jobs are never refused") {
  std::vector<job_demand> waiting;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    waiting.push_back(demand(id, 1, 100, 1'000));
    waiting.back().committed = id % 2 == 0;
  }
  const auto refused = ids(plan_backlog(waiting, 1, at_ms(0)));
  CHECK(refused.size() >= 9);
  CHECK(std::none_of(refused.begin(), refused.end(), [](auto id) { return id % 2 == 0; }));
}

TEST_CASE("overload: the jobs that a plan keeps fit without further refusals") {
  // Guards against plans that refuse more jobs each time they are computed.
  std::vector<job_demand> waiting;
  for (std::uint64_t id = 1; id <= 300; ++id) {
    const auto kind = static_cast<std::uint32_t>(id % 3);
    waiting.push_back(demand(id, kind, 100 + 400 * kind + static_cast<std::int64_t>(id % 70),
                             300.0 + 900.0 * kind + static_cast<double>(id % 11)));
  }
  const auto refused = plan_backlog(waiting, 90, at_ms(0));
  CHECK(refused.size() > 30);
  CHECK(std::none_of(refused.begin(), refused.end(),
                     [](const auto& each) { return each.job.priority == 0; }));
  const auto names = ids(refused);
  std::erase_if(waiting, [&](const auto& each) {
    return std::binary_search(names.begin(), names.end(), each.id);
  });
  CHECK(plan_backlog(waiting, 90, at_ms(0)).empty());
}

TEST_CASE("overload: an entry with few runs drains at its share of the busy CPU") {
  // Guards against refusals by an entry that shares busy workers and has few runs of its own.
  CHECK(drain_rate({{60'000, 1'000, 1.0}}, 6) == doctest::Approx(10));
  CHECK(drain_rate({{60'000, 30'000, 1.5}}, 6) == doctest::Approx(20));
  CHECK(drain_rate({}, 6) == 0);
  CHECK(plan_backlog({demand(1, 0, 1, 100), demand(2, 0, 1, 100)}, 0, at_ms(0)).empty());
}

TEST_CASE("overload: the delay of a retry follows the wait") {
  CHECK(retry_after(wait_time(400), milliseconds(300)) == milliseconds(1'000));
  CHECK(retry_after(wait_time(2'800), milliseconds(300)) == milliseconds(2'500));
  CHECK(retry_after(wait_time(90'000), milliseconds(300)) == milliseconds(5'000));
}

TEST_CASE("overload: agents count as connecting until their number stops growing") {
  reach_growth reach;
  CHECK(reach.is_connecting(at_ms(0)));
  reach.observe(0, at_ms(0));
  reach.observe(1, at_ms(200));
  CHECK(reach.is_connecting(at_ms(1'400)));
  reach.observe(2, at_ms(1'450));
  CHECK(reach.is_connecting(at_ms(1'700)));
  CHECK_FALSE(reach.is_connecting(at_ms(1'800)));
  // A worker that leaves and returns is no growth.
  reach.observe(1, at_ms(5'000));
  reach.observe(2, at_ms(5'100));
  CHECK_FALSE(reach.is_connecting(at_ms(5'150)));
  reach.observe(0, at_ms(6'000));
  reach.observe(2, at_ms(6'050));
  CHECK(reach.is_connecting(at_ms(7'000)));
}

} // namespace
} // namespace parsleylead

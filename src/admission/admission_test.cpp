#include <doctest/doctest.h>

#include "../test_support.hpp"
#include "parsleylead/admission/admission_control.hpp"
#include "parsleylead/admission/run_time_estimator.hpp"
#include "parsleylead/admission/share.hpp"
#include "parsleylead/admission/token_bucket.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

const capacity_estimate ample_capacity{4, 32, milliseconds(100), milliseconds(0), false};

admission_request request(std::size_t tasks, std::int64_t deadline_ms = 1000) {
  return {"quote", tasks, at_ms(deadline_ms)};
}

reason refusal(const admission_decision& decision) {
  return decision.refusal.has_value() ? decision.refusal->cause : reason::none;
}

TEST_CASE("the sum of the shares never exceeds the limit") {
  // Guards D8: all entries together must not start more tasks than the catalogue allows.
  CHECK(share_of(10, 1, 4) == 2);
  CHECK(share_of(3, 3, 4) == 1);
  CHECK(share_of(3, 4, 4) == 0);
  CHECK(check_property(21, [](std::uint16_t limit, std::uint8_t more) {
    const std::uint32_t slots = 1U + more;
    std::uint64_t sum = 0;
    for (std::uint32_t slot = 1; slot <= slots; ++slot) {
      sum += share_of(limit, slot, slots);
    }
    RC_ASSERT(sum <= limit);
    RC_ASSERT(limit >= slots || sum == limit);
  }));
}

TEST_CASE("a token bucket starts empty and never exceeds its rate") {
  // Guards against a burst above the rate after a restart.
  token_bucket bucket(100, 50, at_ms(0));
  CHECK_FALSE(bucket.take(1, at_ms(0)));
  CHECK(bucket.time_until_available(20, at_ms(0)) == milliseconds(200));
  CHECK(bucket.take(20, at_ms(200)));
  CHECK_FALSE(bucket.take(1, at_ms(200)));
  CHECK(bucket.time_until_available(51, at_ms(200)) == milliseconds::max());
  CHECK(
      check_property(22, [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& operations) {
        token_bucket tested(40, 30, at_ms(0));
        std::int64_t now = 0;
        double taken = 0;
        for (const auto& [pause, tokens] : operations) {
          now += pause;
          taken += tested.take(tokens % 40, at_ms(now)) ? tokens % 40 : 0;
          RC_ASSERT(taken <= (static_cast<double>(now) * 40 / 1000) + 0.001);
        }
      }));
}

TEST_CASE("one sample moves the run time by a bounded amount") {
  // Guards against one task with a run time of an hour making all deadlines appear unreachable.
  run_time_estimator estimator(milliseconds(300));
  CHECK(estimator.mean("quote") == milliseconds(300));
  for (int sample = 0; sample < 50; ++sample) {
    estimator.add_sample("quote", "a", milliseconds(100));
  }
  CHECK(estimator.mean("quote") == milliseconds(100));
  estimator.add_sample("quote", "a", std::chrono::hours(1));
  CHECK(estimator.mean("quote") < milliseconds(150));
  CHECK(estimator.quantile("quote", 0.5) == milliseconds(100));
}

TEST_CASE("the speed factor distinguishes slow workers from fast ones") {
  run_time_estimator estimator;
  for (int sample = 0; sample < 200; ++sample) {
    estimator.add_sample("quote", "fast", milliseconds(100));
    estimator.add_sample("quote", "slow", milliseconds(300));
  }
  CHECK(estimator.speed_factor("slow") / estimator.speed_factor("fast") > 2.5);
  CHECK(estimator.mean("quote", "slow") > estimator.mean("quote", "fast"));
  CHECK(estimator.speed_factor("new") == 1);
}

TEST_CASE("a refusal contains the reason that applies") {
  // Guards against refusals with a wrong reason, and against admitting jobs that can't meet their
  // deadline.
  admission_control control(1, 2);
  CHECK(refusal(control.admit(request(1), ample_capacity, at_ms(0))) == reason::unknown_kind);
  control.set_kind("quote", "sales", {8, 40, std::nullopt, 20, milliseconds(5000)}, at_ms(0));
  CHECK(refusal(control.admit(request(21), ample_capacity, at_ms(0))) == reason::job_too_large);
  auto capacity = ample_capacity;
  capacity.suspended = true;
  CHECK(refusal(control.admit(request(1), capacity, at_ms(0))) == reason::kind_suspended);
  capacity = ample_capacity;
  capacity.capable_workers = 0;
  CHECK(refusal(control.admit(request(1), capacity, at_ms(0))) == reason::no_capable_worker);
  CHECK(refusal(control.admit(request(1, 99), ample_capacity, at_ms(0))) ==
        reason::deadline_unreachable);
  CHECK(control.admit(request(1, 100), ample_capacity, at_ms(0)).admitted());
  capacity.capable_workers = 1;
  capacity.work_ahead = milliseconds(32'000);
  CHECK(refusal(control.admit(request(1, 1000), capacity, at_ms(0))) ==
        reason::deadline_unreachable);
  CHECK(control.admit(request(19), ample_capacity, at_ms(0)).admitted());
  CHECK(refusal(control.admit(request(1), ample_capacity, at_ms(0))) == reason::queue_full);
  CHECK(control.budget("quote", std::nullopt) == milliseconds(5000));
  CHECK(control.budget("quote", milliseconds(9000)) == milliseconds(5000));
}

TEST_CASE("tasks start only within the shares of kind and owner") {
  // Guards against tasks in flight above the quota, also when a kind changes its owner.
  admission_control control(1, 2);
  control.set_kind("quote", "sales", {8, {}, {}, {}, {}}, at_ms(0));
  control.set_owner("sales", {6, std::nullopt}, at_ms(0));
  REQUIRE(control.admit(request(10), ample_capacity, at_ms(0)).admitted());
  for (int task = 0; task < 3; ++task) {
    REQUIRE(control.may_start("quote"));
    control.start_task("quote");
  }
  CHECK_FALSE(control.may_start("quote"));
  control.requeue_task("quote");
  CHECK(control.may_start("quote"));
  control.set_kind("quote", "orders", {8, {}, {}, {}, {}}, at_ms(0));
  CHECK(control.owner_in_flight("sales") == 0);
  CHECK(control.owner_in_flight("orders") == 2);
  control.end_task("quote");
  control.drop_queued("quote", 8);
  control.remove_kind("quote");
  CHECK(refusal(control.admit(request(1), ample_capacity, at_ms(0))) == reason::unknown_kind);
  CHECK(control.in_flight("quote") == 1);
  control.end_task("quote");
  CHECK(control.owner_of("quote").empty());
}

TEST_CASE("rates of kind and owner refuse without consuming each other's tokens") {
  admission_control control(1, 1);
  control.set_kind("quote", "sales", {{}, {}, 100, 10, {}}, at_ms(0));
  control.set_owner("sales", {std::nullopt, 10}, at_ms(0));
  const auto refused = control.admit(request(10, 9000), ample_capacity, at_ms(100));
  CHECK(refusal(refused) == reason::rate_limited);
  CHECK(refused.retry_after == milliseconds(900));
  CHECK(control.admit(request(10, 9000), ample_capacity, at_ms(1000)).admitted());
  CHECK(refusal(control.admit(request(1, 9000), ample_capacity, at_ms(1000))) ==
        reason::rate_limited);
}

} // namespace
} // namespace parsleylead

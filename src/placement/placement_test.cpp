#include <doctest/doctest.h>

#include <map>
#include <set>

#include "../test_support.hpp"
#include "parsleylead/placement/demand_tracker.hpp"
#include "parsleylead/placement/placement_policy.hpp"
#include "parsleylead/placement/worker_pool.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

worker_view worker(std::string id, std::uint32_t credits, double run_time_factor = 1,
                   std::string zone = "z1") {
  worker_view view;
  view.id = std::move(id);
  view.kinds = {"quote"};
  view.availability_zone = std::move(zone);
  view.slots = 8;
  view.cores = 16;
  view.memory_mb = 32'000;
  view.credits = credits;
  view.run_time_factor = run_time_factor;
  return view;
}

task_request task(std::size_t waiting = 100, worker_requirements needs = {}) {
  return {test_id(1), "quote", needs, waiting, milliseconds(100)};
}

TEST_CASE("worker_pool: every update of a worker is reflected in the indexes") {
  // A stale index would place tasks on a worker that was removed, ejected or has no credits.
  worker_pool pool("z1");
  pool.put(worker("a", 1));
  pool.put(worker("b", 0, 0.5));
  CHECK(pool.with_credits("quote").size() == 1);
  CHECK(pool.lowest_run_time_factor("quote") == 0.5);
  pool.set_credits("b", 2);
  CHECK(pool.with_credits("quote").size() == 2);
  pool.set_credits("b", 1);
  pool.set_credits("a", 0);
  CHECK(pool.with_credits("quote").size() == 1);
  pool.set_credits("a", 1);
  pool.set_ejected("b", true);
  CHECK(pool.with_credits("quote").size() == 1);
  CHECK(pool.usable("quote").size() == 1);
  CHECK(pool.lowest_run_time_factor("quote") == 1);
  CHECK(pool.capable_workers("quote", {16, 0}) == 2);
  CHECK(pool.capable_workers("quote", {17, 0}) == 0);
  CHECK(pool.capable_slots("quote", {}) == 16);
  pool.set_ejected("b", false);
  pool.set_run_time_factor("b", 3);
  CHECK(pool.with_credits("quote").begin()->second->id == "a");
  auto changed = worker("a", 1);
  changed.kinds = {"check"};
  pool.put(changed);
  CHECK(pool.with_credits("quote").begin()->second->id == "b");
  pool.remove("b");
  CHECK(pool.usable("quote").empty());
  CHECK(pool.find("b") == nullptr);
}

TEST_CASE("worker_pool: confined kinds are those that no other workers serve") {
  // Otherwise admission would refuse a job because of waiting tasks that other workers can run.
  worker_pool pool("z1");
  auto both = worker("a", 1);
  both.kinds = {"quote", "check"};
  pool.put(both);
  CHECK(pool.confined_kinds("quote") == std::set<std::string>{"check", "quote"});
  pool.put(worker("b", 1));
  CHECK(pool.confined_kinds("quote") == std::set<std::string>{"check", "quote"});
  CHECK(pool.confined_kinds("check") == std::set<std::string>{"check"});
  pool.remove("b");
  CHECK(pool.confined_kinds("check") == std::set<std::string>{"check", "quote"});
}

TEST_CASE("credit_policy: prefers the fastest worker, then the own availability zone") {
  worker_pool pool("z1");
  credit_policy policy;
  CHECK_FALSE(policy.choose(task(), pool, at_ms(0)).has_value());
  pool.put(worker("a-far", 1, 1, "z2"));
  pool.put(worker("b-near", 1, 1, "z1"));
  pool.put(worker("c-slow", 1, 2, "z1"));
  pool.put(worker("d-busy", 0, 0.5, "z1"));
  CHECK(policy.choose(task(), pool, at_ms(0)) == "b-near");
  pool.put(worker("e-fast", 1, 0.5, "z2"));
  CHECK(policy.choose(task(), pool, at_ms(0)) == "e-fast");
  CHECK_FALSE(policy.choose(task(100, {64, 0}), pool, at_ms(0)).has_value());
}

TEST_CASE("credit_policy: the last tasks of a job wait for a faster worker while that saves time") {
  // Without the wait a job ends late on a slow worker; without its limit a task could wait forever.
  worker_pool pool("z1");
  credit_policy policy;
  pool.put(worker("slow", 1, 4));
  pool.put(worker("fast", 0, 1));
  pool.task_sent("fast", at_ms(50));
  CHECK(policy.choose(task(100), pool, at_ms(0)) == "slow");
  CHECK_FALSE(policy.choose(task(1), pool, at_ms(0)).has_value());
  // Only one faster slot becomes free, which does not suffice for two waiting tasks.
  CHECK(policy.choose(task(2), pool, at_ms(0)) == "slow");
  // The expected end has passed, so it is unknown when the faster slot becomes free.
  CHECK(policy.choose(task(1), pool, at_ms(60)) == "slow");
  // With expected ends that are postponed again and again, the wait ends after the time that the
  // faster worker could save, 300 ms.
  bool placed = false;
  for (int now = 100; now <= 400 && !placed; now += 10) {
    pool.task_sent("fast", at_ms(now + 20));
    placed = policy.choose(task(1), pool, at_ms(now)).has_value();
    CHECK(placed == (now == 400));
  }
  CHECK(placed);
}

TEST_CASE("credit_policy: a wait ends when no faster worker is expected to complete sooner") {
  worker_pool pool("z1");
  credit_policy policy;
  pool.put(worker("slow", 1, 2));
  pool.put(worker("fast", 0, 1));
  pool.task_sent("fast", at_ms(90));
  CHECK(policy.choose(task(1), pool, at_ms(0)) == "slow");
  pool.task_sent("fast", at_ms(10));
  CHECK_FALSE(policy.choose(task(1), pool, at_ms(0)).has_value());
  pool.set_ejected("fast", true);
  CHECK(policy.choose(task(1), pool, at_ms(0)) == "slow");
}

TEST_CASE("shared_policy: fills fast workers first and keeps tasks while all workers seem full") {
  // A task that queues at an agent cannot be placed on another worker any more.
  worker_pool pool("z1");
  pool.put(worker("fast", 0, 0.5));
  pool.put(worker("slow", 0, 1));
  shared_policy policy;
  CHECK(policy.choose(task(), pool, at_ms(0)) == "fast");
  pool.set_other_tasks("fast", 9, at_ms(0));
  CHECK(policy.choose(task(), pool, at_ms(0)) == "slow");
  pool.set_other_tasks("slow", 8, at_ms(0));
  CHECK_FALSE(policy.choose(task(), pool, at_ms(0)).has_value());
  // The weight of an old report has decayed, so the entry tries the worker again.
  CHECK(policy.choose(task(), pool, at_ms(1000)) == "fast");
  for (int i = 0; i < 9; ++i) {
    pool.task_sent("fast", at_ms(5000));
  }
  CHECK(policy.choose(task(), pool, at_ms(60'000)) == "slow");
}

TEST_CASE("selected_policy: the baseline policies are selected by name") {
  worker_pool pool("z1");
  pool.put(worker("a", 0));
  pool.put(worker("b", 0));
  pool.put(worker("c", 1));
  CHECK_FALSE(selected_policy::make("none", 1).ok());
  auto round_robin = selected_policy::make("round_robin", 1).value();
  std::map<std::string, int> counts;
  for (int turn = 0; turn < 30; ++turn) {
    ++counts[round_robin.choose(task(), pool, at_ms(0)).value()];
  }
  CHECK(counts == std::map<std::string, int>{{"a", 10}, {"b", 10}, {"c", 10}});
  CHECK_FALSE(round_robin.spends_credits());
  auto random = selected_policy::make("random", 1).value();
  counts.clear();
  for (int turn = 0; turn < 300; ++turn) {
    ++counts[random.choose(task(), pool, at_ms(0)).value()];
  }
  CHECK(counts.size() == 3);
  auto two_choices = selected_policy::make("two_choices", 1).value();
  pool.task_sent("a", at_ms(1));
  counts.clear();
  for (int turn = 0; turn < 300; ++turn) {
    ++counts[two_choices.choose(task(), pool, at_ms(0)).value()];
  }
  CHECK(counts["a"] < counts["b"]);
  auto probing = selected_policy::make("probing", 1).value();
  const auto probes = probing.probe_targets(task(), pool);
  CHECK(std::set<std::string>(probes.begin(), probes.end()).size() == 2);
  CHECK(probing.choose(task(), pool, at_ms(0)) == "c");
  CHECK(selected_policy::make("credits", 1).value().probe_targets(task(), pool).empty());
}

TEST_CASE("demand_tracker: a want is sent once for each rise of the demand and rate limited") {
  // A want that gives the agent no new information is a wasted message.
  demand_tracker tracker;
  const auto all = [](const std::string&) { return true; };
  const auto only_b = [](const std::string& id) { return id == "b"; };
  const demand some{100, 3};
  tracker.add_worker("a");
  tracker.add_worker("b");
  CHECK(tracker.due_wants(false, at_ms(0), all).empty());
  tracker.set_demand(some);
  CHECK(tracker.due_wants(true, at_ms(0), all).empty());
  tracker.dispatch_sent("a", some);
  CHECK(tracker.due_wants(false, at_ms(0), all) == std::vector<std::string>{"b"});
  tracker.set_demand({50, 9});
  CHECK(tracker.due_wants(false, at_ms(10), all).empty());
  tracker.set_demand({});
  tracker.set_demand(some);
  CHECK(tracker.due_wants(false, at_ms(20), only_b).empty());
  CHECK(tracker.next_due() == at_ms(100));
  CHECK(tracker.due_wants(false, at_ms(20), all) == std::vector<std::string>{"a"});
  CHECK(tracker.due_wants(false, at_ms(100), all) == std::vector<std::string>{"b"});
  // A dispatch without demand has cleared the demand at the agent.
  tracker.dispatch_sent("a", {});
  CHECK(tracker.due_wants(false, at_ms(130), all) == std::vector<std::string>{"a"});
  // The agent of a new session must be informed again, but not before the interval has passed.
  tracker.add_worker("a");
  CHECK(tracker.due_wants(false, at_ms(131), all).empty());
  CHECK(tracker.next_due() == at_ms(230));
  tracker.remove_worker("a");
  CHECK(tracker.due_wants(false, at_ms(999), all).empty());
}

TEST_CASE("demand_tracker: workers are asked in batches in proportion to the waiting tasks") {
  // If every worker were asked for one task, most granted credits would remain unused.
  demand_tracker tracker;
  const auto all = [](const std::string&) { return true; };
  using names = std::vector<std::string>;
  for (const auto* name : {"a", "b", "c", "d", "e"}) {
    tracker.add_worker(name);
  }
  tracker.set_demand({100, 1});
  CHECK(tracker.due_wants(false, at_ms(0), all) == names{"a", "b"});
  CHECK(tracker.due_wants(false, at_ms(10), all).empty());
  CHECK(tracker.next_due() == at_ms(20));
  tracker.set_demand({100, 2});
  CHECK(tracker.due_wants(false, at_ms(10), all) == names{"c", "d"});
  CHECK(tracker.due_wants(false, at_ms(20), all) == names{"e"});
}

TEST_CASE("demand_tracker: a want is wasted unless a credit granted after it is spent") {
  // The metric must not count a late grant that is used, but must count an unused answer.
  demand_tracker tracker;
  tracker.set_demand({100, 2});
  tracker.want_sent("a");
  tracker.want_sent("b");
  tracker.want_sent("c");
  tracker.credit_granted("a");
  tracker.credit_spent("a");
  tracker.credit_granted("b");
  tracker.credit_spent("c");
  CHECK(tracker.take_wasted_want_count() == 0);
  tracker.set_demand({});
  CHECK(tracker.take_wasted_want_count() == 2);
  CHECK(tracker.take_wasted_want_count() == 0);
}

TEST_CASE("credits_to_return: none unless the worker is ejected or the entry leaves") {
  auto view = worker("a", 3);
  CHECK(credits_to_return(view, false) == 0);
  CHECK(credits_to_return(view, true) == 3);
  view.ejected = true;
  CHECK(credits_to_return(view, false) == 3);
}

} // namespace
} // namespace parsleylead

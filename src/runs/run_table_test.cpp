#include "parsleylead/runs/run_table.hpp"

#include <doctest/doctest.h>

#include <algorithm>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

constexpr owner_id entry = 1;
constexpr owner_id other_entry = 2;

start_order make_order(std::uint64_t job, std::uint32_t cpu_millis = 4'000,
                       std::uint32_t attempt = 1) {
  start_order order;
  order.run = {{job, 0, 0}, attempt};
  order.needs = {cpu_millis, 64, 0};
  order.estimate = milliseconds(100);
  order.due_in = milliseconds(100);
  order.max_wait = milliseconds(200);
  return order;
}

/// A table whose worker has the capacity for two orders of `make_order`.
run_table make_table() {
  run_table table;
  table.worker_replaced({8'000, 1'024, 0}, at_ms(0));
  table.set_accepting(true);
  return table;
}

std::vector<run_id> started(run_table& table) {
  std::vector<run_id> runs;
  for (const auto& call : table.take_calls()) {
    if (call.call_kind == worker_call::kind::start) {
      runs.push_back(call.run);
    }
  }
  return runs;
}

std::vector<run_id> stopped(run_table& table) {
  std::vector<run_id> runs;
  for (const auto& call : table.take_calls()) {
    if (call.call_kind == worker_call::kind::stop) {
      runs.push_back(call.run);
    }
  }
  return runs;
}

TEST_CASE("runs never exceed the capacity of the worker") {
  // Guards against overloading a worker that does not check its capacity itself.
  auto table = make_table();
  for (std::uint64_t job = 1; job <= 3; ++job) {
    table.add(entry, make_order(job), at_ms(0));
  }
  table.start_waiting(at_ms(0));
  CHECK(started(table).size() == 2);
  CHECK(table.waiting() == 1);
  table.start_answered({{1, 0, 0}, 1}, start_answer::started, at_ms(1));
  // A run that is being stopped keeps its resources until the worker lists its end.
  table.stop(entry, {{1, 0, 0}, 1}, false, at_ms(2));
  table.start_waiting(at_ms(2));
  CHECK(stopped(table).size() == 1);
  CHECK(table.waiting() == 1);
  table.stop_answered({{1, 0, 0}, 1}, true, at_ms(3));
  table.start_waiting(at_ms(3));
  CHECK(started(table).empty());
  table.observe({}, {{{{1, 0, 0}, 1}, run_outcome::stopped}}, true, at_ms(4), at_ms(5));
  table.start_waiting(at_ms(5));
  CHECK(started(table).size() == 1);
}

TEST_CASE("a start without an answer is returned only after the worker has confirmed its stop") {
  // Guards against overlapping runs when the worker executes an order seconds later.
  auto table = make_table();
  const auto order = make_order(1);
  table.add(entry, order, at_ms(0));
  table.start_waiting(at_ms(0));
  table.take_calls();
  table.start_answered(order.run, start_answer::unknown, at_ms(250));
  CHECK(stopped(table) == std::vector<run_id>{order.run});
  // A list that was requested before the confirmation proves nothing.
  table.stop_answered(order.run, true, at_ms(260));
  table.observe({}, {}, true, at_ms(255), at_ms(265));
  CHECK(table.take_ends().empty());
  table.observe({}, {}, true, at_ms(270), at_ms(275));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::not_started);
}

TEST_CASE("an unanswered stop is repeated until the worker confirms it") {
  auto table = make_table();
  const auto order = make_order(1);
  table.add(entry, order, at_ms(0));
  table.start_waiting(at_ms(0));
  table.start_answered(order.run, start_answer::unknown, at_ms(250));
  table.take_calls();
  table.stop_answered(order.run, false, at_ms(500));
  table.start_waiting(at_ms(501));
  CHECK(stopped(table).size() == 1);
  table.observe({}, {}, true, at_ms(600), at_ms(610));
  CHECK(table.take_ends().empty());
}

TEST_CASE("a run whose start was not answered but that is listed is running") {
  auto table = make_table();
  const auto order = make_order(1);
  table.add(entry, order, at_ms(0));
  table.start_waiting(at_ms(0));
  table.observe({{order.run, 10}}, {}, true, at_ms(5), at_ms(10));
  table.take_calls();
  table.start_answered(order.run, start_answer::unknown, at_ms(250));
  CHECK(stopped(table).empty());
  table.observe({}, {{order.run, run_outcome::done}}, true, at_ms(100), at_ms(110));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::done);
}

TEST_CASE("nothing starts while the worker executes runs unknown to this agent") {
  // Guards against overloading the worker after its agent was restarted.
  auto table = make_table();
  const run_id unknown{{99, 0, 0}, 1};
  table.observe({{unknown, 50}}, {}, true, at_ms(0), at_ms(1));
  CHECK(stopped(table) == std::vector<run_id>{unknown});
  table.add(entry, make_order(1), at_ms(2));
  table.start_waiting(at_ms(2));
  CHECK(started(table).empty());
  table.observe({}, {{unknown, run_outcome::stopped}}, true, at_ms(50), at_ms(60));
  table.start_waiting(at_ms(60));
  CHECK(started(table).size() == 1);
}

TEST_CASE("a late list does not suspend a worker that runs a later attempt of the same task") {
  // Guards against a worker that stays idle: the ended run that a late list still contained counted
  // as unknown to this agent for as long as the task ran again.
  auto table = make_table();
  table.add(entry, make_order(1), at_ms(0));
  table.start_waiting(at_ms(0));
  table.start_answered({{1, 0, 0}, 1}, start_answer::started, at_ms(1));
  table.observe({}, {{{{1, 0, 0}, 1}, run_outcome::failed, 1}}, true, at_ms(5), at_ms(6));
  table.add(entry, make_order(1, 4'000, 2), at_ms(7));
  table.start_waiting(at_ms(7));
  table.start_answered({{1, 0, 0}, 2}, start_answer::started, at_ms(8));
  table.observe({{{{1, 0, 0}, 1}, 50}}, {}, true, at_ms(4), at_ms(9));
  table.observe({{{{1, 0, 0}, 2}, 10}}, {}, true, at_ms(10), at_ms(11));
  table.take_calls();
  table.add(entry, make_order(2), at_ms(12));
  table.start_waiting(at_ms(12));
  CHECK(started(table) == std::vector<run_id>{{{2, 0, 0}, 1}});
}

TEST_CASE("a task that is already present is not started again") {
  // Guards against overlapping runs when a caller submits its job to two entries.
  auto table = make_table();
  table.add(entry, make_order(1), at_ms(0));
  table.start_waiting(at_ms(0));
  table.take_calls();
  table.add(other_entry, make_order(1, 4'000, 2), at_ms(1));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].owner == other_entry);
  CHECK(ends[0].end.outcome == run_outcome::not_started);
}

TEST_CASE("the runs of an entry whose lease expired are stopped and reported on request") {
  auto table = make_table();
  const auto first = make_order(1);
  const auto second = make_order(2);
  table.add(entry, first, at_ms(0));
  table.add(other_entry, second, at_ms(0));
  table.start_waiting(at_ms(0));
  table.take_calls();
  for (const auto& run : {first.run, second.run}) {
    table.start_answered(run, start_answer::started, at_ms(1));
  }
  table.stop_owner(entry, at_ms(700));
  CHECK(stopped(table) == std::vector<run_id>{first.run});
  table.stop_answered(first.run, true, at_ms(705));
  table.observe({{second.run, 50}}, {{first.run, run_outcome::stopped}}, true, at_ms(740),
                at_ms(750));
  CHECK(table.take_ends().empty());
  table.reconcile(entry, {first.run}, at_ms(800));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::stopped);
}

TEST_CASE("a resumed session gets reports of runs that ended or never arrived") {
  auto table = make_table();
  const auto ended = make_order(1);
  const auto running = make_order(2);
  const auto unwanted = make_order(3);
  table.add(entry, ended, at_ms(0));
  table.add(entry, running, at_ms(0));
  table.start_waiting(at_ms(0));
  table.take_calls();
  table.observe({{running.run, 10}}, {{ended.run, run_outcome::done}}, true, at_ms(50), at_ms(60));
  table.take_ends(); // Lost with the connection.
  table.add(entry, unwanted, at_ms(70));
  table.start_waiting(at_ms(70));
  table.take_calls();
  const run_id never_arrived{{4, 0, 0}, 1};
  table.reconcile(entry, {ended.run, running.run, never_arrived}, at_ms(100));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 2);
  CHECK(ends[0].end.run == ended.run);
  CHECK(ends[0].end.outcome == run_outcome::done);
  CHECK(ends[1].end.run == never_arrived);
  CHECK(ends[1].end.outcome == run_outcome::not_started);
  CHECK(stopped(table) == std::vector<run_id>{unwanted.run});
}

TEST_CASE("orders that wait too long, or at a draining worker, are returned unstarted") {
  auto table = make_table();
  for (std::uint64_t job = 1; job <= 3; ++job) {
    table.add(entry, make_order(job), at_ms(0));
  }
  table.start_waiting(at_ms(0));
  table.take_calls();
  table.start_waiting(at_ms(201));
  auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::not_started);
  table.add(entry, make_order(4), at_ms(202));
  table.set_accepting(false);
  table.start_waiting(at_ms(203));
  ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.run.task.job == 4);
  CHECK(started(table).empty());
}

TEST_CASE("on-time orders start before late ones, the most urgent first") {
  auto table = make_table();
  auto late = make_order(1, 8'000);
  late.due_in = milliseconds(-5);
  auto relaxed = make_order(2, 8'000);
  auto urgent = make_order(3, 8'000);
  urgent.due_in = milliseconds(20);
  for (const auto& order : {late, relaxed, urgent}) {
    table.add(entry, order, at_ms(0));
  }
  table.start_waiting(at_ms(1));
  CHECK(started(table) == std::vector<run_id>{urgent.run});
}

TEST_CASE("another worker ends all runs as lost") {
  auto table = make_table();
  const auto order = make_order(1);
  table.add(entry, order, at_ms(0));
  table.start_waiting(at_ms(0));
  table.start_answered(order.run, start_answer::started, at_ms(1));
  table.worker_replaced({8'000, 1'024, 0}, at_ms(100));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::lost);
  CHECK(table.committed() == resource_needs{});
}

TEST_CASE("a worker without progress is detected as slow before its runs end") {
  auto table = make_table();
  const auto order = make_order(1);
  table.add(entry, order, at_ms(0));
  table.start_waiting(at_ms(0));
  for (int now = 50; now <= 1'500; now += 50) {
    table.observe({{order.run, 1}}, {}, true, at_ms(now - 1), at_ms(now));
  }
  CHECK(table.pace().slowdown() > 5.0);
  const auto slow = table.slow_runs(at_ms(1'500));
  REQUIRE(slow.size() == 1);
  CHECK(slow[0].first == entry);
  CHECK(slow[0].second.percent == 1);
}

TEST_CASE("the committed resources are the sum of the runs after any history") {
  CHECK(check_property(71, [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& history) {
    auto table = make_table();
    std::int64_t now = 0;
    for (const auto& [operation, choice] : history) {
      now += 20;
      const std::uint64_t job = choice % 5;
      const run_id run{{job, 0, 0}, 1};
      switch (operation % 8) {
      case 0:
      case 1:
        table.add(1 + choice % 2, make_order(job, 1'000 + choice * 10U), at_ms(now));
        break;
      case 2:
        table.start_answered(run, static_cast<start_answer>(choice % 5), at_ms(now));
        break;
      case 3:
        table.stop(1 + choice % 2, run, choice % 3 == 0, at_ms(now));
        break;
      case 4:
        table.stop_answered(run, choice % 2 == 0, at_ms(now));
        break;
      case 5:
        table.observe({}, {{run, run_outcome::done}}, true, at_ms(now - 1), at_ms(now));
        break;
      case 6:
        table.observe({{run, choice % 100U}}, {}, choice % 2 == 0, at_ms(now - 1), at_ms(now));
        break;
      default:
        table.stop_owner(1 + choice % 2, at_ms(now));
      }
      table.start_waiting(at_ms(now));
      table.take_calls();
      for (const auto& [owner, end] : table.take_ends()) {
        RC_ASSERT(table.owner_of(end.run) != owner);
      }
      RC_ASSERT(fits({}, table.committed(), table.capacity()));
      if (table.running() == 0) {
        RC_ASSERT(table.committed() == resource_needs{});
      }
      if (table.waiting() == 0) {
        RC_ASSERT(table.queued_cpu_millis() == 0);
      }
    }
  }));
}

/// An order for a task of a durable job.
start_order make_durable_order(std::uint64_t job, std::uint64_t epoch) {
  auto order = make_order(job);
  order.epoch = epoch;
  return order;
}

/// Starts such a task, with the start confirmed by the worker.
void start_durable_task(run_table& table, std::uint64_t job, std::uint64_t epoch) {
  table.add(entry, make_durable_order(job, epoch), at_ms(0));
  table.start_waiting(at_ms(0));
  table.take_calls();
  table.start_answered({{job, 0, 0}, 1}, start_answer::started, at_ms(1));
}

TEST_CASE("the worker keeps the end of a durable job until its owner has acknowledged it") {
  // Guards against repeating a finished task: if the agent or the owner crashes, the worker lists
  // the end again.
  auto table = make_table();
  start_durable_task(table, 1, 5);
  table.observe({}, {{{{1, 0, 0}, 1}, run_outcome::done, 7}}, true, at_ms(50), at_ms(60));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.held);
  CHECK(table.confirmable_end() == 6);
  // Listed again, it is not reported again.
  table.observe({}, {{{{1, 0, 0}, 1}, run_outcome::done, 7}}, true, at_ms(60), at_ms(70));
  CHECK(table.take_ends().empty());
  table.acknowledge_end({{{1, 0, 0}, 1}, false});
  CHECK(table.confirmable_end() == 7);
}

TEST_CASE("a held end is reported to a resumed session, however long ago it was") {
  // Guards against reporting a finished task as not started.
  auto table = make_table();
  start_durable_task(table, 1, 5);
  table.observe({}, {{{{1, 0, 0}, 1}, run_outcome::done, 7}}, true, at_ms(50), at_ms(60));
  table.take_ends();
  start_durable_task(table, 2, 5);
  table.observe({}, {{{{2, 0, 0}, 1}, run_outcome::done, 8}}, true, at_ms(9'000), at_ms(9'010));
  table.take_ends();
  table.reconcile(entry, {{{1, 0, 0}, 1}}, at_ms(9'020));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::done);
  CHECK(ends[0].end.held);
}

TEST_CASE("ends of jobs that are not stored, and of stopped runs, are confirmed at once") {
  auto table = make_table();
  table.add(entry, make_order(1), at_ms(0));
  table.start_waiting(at_ms(0));
  table.start_answered({{1, 0, 0}, 1}, start_answer::started, at_ms(1));
  start_durable_task(table, 2, 5);
  table.observe({},
                {{{{1, 0, 0}, 1}, run_outcome::done, 1}, {{{2, 0, 0}, 1}, run_outcome::stopped, 2}},
                true, at_ms(50), at_ms(60));
  CHECK(table.confirmable_end() == 2);
}

TEST_CASE("a new owner of a partition gets all held ends, including those of an earlier agent") {
  auto table = make_table();
  start_durable_task(table, 1, 5);
  table.stop_owner(entry, at_ms(10)); // The owner is gone; the run ends before its stop.
  table.observe({},
                {{{{1, 0, 0}, 1}, run_outcome::done, 1}, {{{9, 0, 0}, 3}, run_outcome::failed, 2}},
                true, at_ms(50), at_ms(60));
  CHECK(table.take_ends().empty());
  CHECK(table.has_unclaimed_end());
  CHECK(table.confirmable_end() == 0);
  table.partition_claimed(other_entry, {0, 6}, at_ms(70));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 2);
  CHECK(ends[0].owner == other_entry);
  CHECK(ends[0].end.outcome == run_outcome::done);
  CHECK(ends[1].end.run == run_id{{9, 0, 0}, 3});
  CHECK_FALSE(table.has_unclaimed_end());
}

TEST_CASE("a claim stops the runs of earlier owners and refuses their orders") {
  // Guards against overlapping runs, one of them ordered by an owner that does not know yet that it
  // was replaced.
  auto table = make_table();
  start_durable_task(table, 1, 5);
  table.partition_claimed(other_entry, {0, 6}, at_ms(10));
  CHECK(stopped(table) == std::vector<run_id>{{{1, 0, 0}, 1}});
  table.add(entry, make_durable_order(2, 5), at_ms(20));
  table.start_waiting(at_ms(20));
  CHECK(started(table).empty());
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::not_started);
  CHECK(table.later_claim(make_durable_order(2, 5)) == partition_claim{0, 6});
  CHECK_FALSE(table.later_claim(make_order(2)).has_value());
  // A late claim of the earlier owner changes nothing.
  table.partition_claimed(entry, {0, 5}, at_ms(30));
  table.add(other_entry, make_durable_order(3, 6), at_ms(30));
  table.start_waiting(at_ms(30));
  CHECK(started(table).size() == 1);
}

TEST_CASE("held ends look for another owner once theirs is gone") {
  // Guards against a worker that is lost to the system: ends that a removed owner had not
  // acknowledged stayed with its claim, and after 500 more no end was listed any more (review/2).
  auto table = make_table();
  auto order = make_order(1);
  order.epoch = 3;
  table.partition_claimed(entry, {0, 3}, at_ms(0));
  table.add(entry, order, at_ms(0));
  table.start_waiting(at_ms(0));
  table.start_answered(order.run, start_answer::started, at_ms(1));
  table.observe({}, {{order.run, run_outcome::done, 1}}, true, at_ms(50), at_ms(51));
  REQUIRE(table.take_ends().size() == 1);
  CHECK_FALSE(table.has_unclaimed_end());
  SUBCASE("its lease has expired, or it has restarted") {
    table.stop_owner(entry, at_ms(800));
  }
  SUBCASE("it has given the partition up") {
    table.claim_withdrawn(entry, 0);
  }
  CHECK(table.has_unclaimed_end());
  table.partition_claimed(other_entry, {0, 4}, at_ms(5'000));
  table.claim_withdrawn(entry, 0); // Late.
  CHECK_FALSE(table.has_unclaimed_end());
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].owner == other_entry);
  // Orders of the earlier epoch stay refused.
  table.stop_owner(other_entry, at_ms(6'000));
  CHECK(table.later_claim(order).has_value());
}

TEST_CASE("a crash under a durable run is reported to each owner until one has counted it") {
  // Guards against a crash that is forgotten because the owner could not store it (soak, seed 2).
  auto table = make_table();
  auto order = make_order(1);
  order.epoch = 3;
  table.partition_claimed(1, {0, 3}, at_ms(0));
  table.add(1, order, at_ms(0));
  table.start_waiting(at_ms(0));
  table.start_answered(order.run, start_answer::started, at_ms(1));
  table.worker_crashed(at_ms(10));
  table.worker_lost(at_ms(20));
  REQUIRE(table.take_ends().size() == 1);
  table.end_numbers_reset(); // The worker has restarted.
  table.partition_claimed(2, {0, 4}, at_ms(5'000));
  auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].owner == 2);
  CHECK(ends[0].end.worker_crashed);
  CHECK(ends[0].end.run == order.run);
  table.reconcile(2, {order.run}, at_ms(10'000));
  ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::lost);
  table.acknowledge_end({order.run, false});
  table.partition_claimed(3, {0, 5}, at_ms(11'000));
  CHECK(table.take_ends().empty());
}

TEST_CASE("a superseded end is held until all leases have expired") {
  auto table = make_table();
  start_durable_task(table, 1, 5);
  table.observe({}, {{{{1, 0, 0}, 1}, run_outcome::done, 1}}, true, at_ms(50), at_ms(60));
  table.acknowledge_end({{{1, 0, 0}, 1}, true});
  CHECK(table.has_superseded_end());
  // Sent by an owner that does not know that the task was started again.
  table.acknowledge_end({{{1, 0, 0}, 1}, false});
  CHECK(table.confirmable_end() == 0);
  table.release_superseded();
  CHECK(table.confirmable_end() == 1);
}

TEST_CASE("no CPU is reported as free while a superseded end is held") {
  // Guards against orders that are placed at the agent again every 20 ms, though it starts none
  // before the worker's leases have expired.
  auto table = make_table();
  start_durable_task(table, 1, 5);
  table.observe({}, {{{{1, 0, 0}, 1}, run_outcome::done, 1}}, true, at_ms(50), at_ms(60));
  CHECK(table.queued_cpu_millis() == 0);
  table.acknowledge_end({{{1, 0, 0}, 1}, true});
  CHECK(table.queued_cpu_millis() == 8'000);
  table.add(entry, make_order(2, 2'000), at_ms(70));
  CHECK(table.queued_cpu_millis() == 10'000);
  table.release_superseded();
  CHECK(table.queued_cpu_millis() == 2'000);
}

TEST_CASE("a new incarnation of the worker numbers its ends from 1") {
  auto table = make_table();
  start_durable_task(table, 1, 5);
  table.observe({}, {{{{1, 0, 0}, 1}, run_outcome::done, 9}}, true, at_ms(50), at_ms(60));
  table.end_numbers_reset();
  CHECK(table.confirmable_end() == 0);
  start_durable_task(table, 2, 5);
  table.observe({}, {{{{2, 0, 0}, 1}, run_outcome::done, 1}}, true, at_ms(70), at_ms(80));
  CHECK(table.has_held_ends());
}

start_order make_isolated(std::uint64_t job) {
  auto order = make_order(job);
  order.isolated = true;
  order.queue = 7;
  return order;
}

TEST_CASE("an isolated order runs alone") {
  // Guards against blaming a task for a crash that another one caused.
  auto table = make_table();
  table.add(entry, make_order(1, 2'000), at_ms(0));
  table.start_waiting(at_ms(0));
  CHECK(started(table).size() == 1);
  table.add(entry, make_isolated(2), at_ms(1));
  table.add(other_entry, make_order(3, 2'000), at_ms(1));
  CHECK(table.queued_cpu_millis() == 10'000);
  table.start_waiting(at_ms(2));
  CHECK(started(table).empty());
  table.observe({}, {{{{1, 0, 0}, 1}, run_outcome::done}}, true, at_ms(50), at_ms(51));
  table.start_waiting(at_ms(52));
  CHECK(started(table) == std::vector<run_id>{{{2, 0, 0}, 1}});
  CHECK(table.committed().cpu_millis == 8'000);
  table.start_waiting(at_ms(53));
  CHECK(started(table).empty());
  table.observe({}, {{{{2, 0, 0}, 1}, run_outcome::done}}, true, at_ms(100), at_ms(101));
  table.start_waiting(at_ms(102));
  CHECK(started(table) == std::vector<run_id>{{{3, 0, 0}, 1}});
  CHECK(table.committed().cpu_millis == 2'000);
  CHECK(table.queued_cpu_millis() == 0);
}

TEST_CASE("an isolated order for a worker whose capacity shrank releases what it reserved") {
  auto table = make_table();
  table.add(entry, make_isolated(1), at_ms(0));
  table.start_waiting(at_ms(0));
  CHECK(started(table).size() == 1);
  table.set_capacity({5'000, 1'024, 0});
  table.observe({}, {{{{1, 0, 0}, 1}, run_outcome::done}}, true, at_ms(50), at_ms(51));
  CHECK(table.committed() == resource_needs{});
}

TEST_CASE("a crash marks the runs that were active, and the young ones as suspects") {
  // Guards against isolating each task that was active when a worker crashed.
  auto table = make_table();
  auto old_run = make_order(1, 2'000);
  auto young_run = make_order(2, 2'000);
  old_run.queue = 3;
  young_run.queue = 7;
  table.add(entry, old_run, at_ms(0));
  table.start_waiting(at_ms(0));
  table.add(entry, young_run, at_ms(300));
  table.start_waiting(at_ms(300));
  table.add(entry, make_order(3, 8'000), at_ms(305)); // Waits.
  table.take_calls();
  table.worker_crashed(at_ms(310));
  table.worker_lost(at_ms(410));
  CHECK(table.take_crashes().empty()); // Tasks of two queues were active.
  auto ends = table.take_ends();
  REQUIRE(ends.size() == 3);
  std::sort(ends.begin(), ends.end(),
            [](const owned_end& a, const owned_end& b) { return a.end.run.task < b.end.run.task; });
  CHECK(ends[0].end.outcome == run_outcome::lost);
  CHECK(ends[0].end.worker_crashed);
  CHECK_FALSE(ends[0].end.suspect);
  CHECK(ends[1].end.worker_crashed);
  CHECK(ends[1].end.suspect);
  CHECK(ends[2].end.outcome == run_outcome::not_started);
  CHECK_FALSE(ends[2].end.worker_crashed);
}

TEST_CASE("a crash under a task that ran long is not without a suspect") {
  // Guards against a task that crashes its worker late and is therefore never isolated.
  auto table = make_table();
  table.add(entry, make_order(1), at_ms(0));
  table.start_waiting(at_ms(0));
  table.worker_crashed(at_ms(5'000));
  table.worker_lost(at_ms(5'100));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.suspect);
}

TEST_CASE("a crash under an isolated run is reported as such") {
  auto table = make_table();
  table.add(entry, make_isolated(1), at_ms(0));
  table.start_waiting(at_ms(0));
  table.worker_crashed(at_ms(10));
  CHECK(table.take_crashes() == std::vector<crash_report>{{7, true}});
  table.worker_lost(at_ms(10));
}

TEST_CASE("an unanswered start that a crashed worker may have executed is not returned unstarted") {
  // Guards against refusing a job as not run, and against missing a crash under its task: the new
  // incarnation confirms the stop, and lists neither the run nor its end.
  auto table = make_table();
  table.add(entry, make_order(1), at_ms(0));
  table.start_waiting(at_ms(0));
  table.start_answered({{1, 0, 0}, 1}, start_answer::unknown, at_ms(1));
  table.worker_crashed(at_ms(5));
  table.stop_answered({{1, 0, 0}, 1}, true, at_ms(10));
  table.observe({}, {}, true, at_ms(11), at_ms(12));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::lost);
  CHECK(ends[0].end.worker_crashed);
}

TEST_CASE("an unanswered start whose worker seemed to have crashed before it is not returned "
          "unstarted") {
  // Guards against trusting the estimated time of the crash: the lists may have failed for another
  // reason before the worker started the run and crashed.
  auto table = make_table();
  table.add(entry, make_order(1), at_ms(10));
  table.start_waiting(at_ms(10));
  table.start_answered({{1, 0, 0}, 1}, start_answer::unknown, at_ms(11));
  table.worker_crashed(at_ms(5));
  table.stop_answered({{1, 0, 0}, 1}, true, at_ms(12));
  table.observe({}, {}, true, at_ms(13), at_ms(14));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::lost);
}

TEST_CASE("a worker that is only unreachable marks no run as crashed") {
  auto table = make_table();
  table.add(entry, make_order(1), at_ms(0));
  table.start_waiting(at_ms(0));
  table.worker_lost(at_ms(1'100));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::lost);
  CHECK_FALSE(ends[0].end.worker_crashed);
  CHECK(table.take_crashes().empty());
}

TEST_CASE("the end of a lost run says what showed the loss") {
  // Guards against records of incidents in which different losses look the same.
  auto table = make_table();
  const auto order = make_order(1);
  table.add(entry, order, at_ms(0));
  table.start_waiting(at_ms(0));
  table.start_answered(order.run, start_answer::started, at_ms(1));
  auto expected = loss_cause::none;
  SUBCASE("the worker listed it as lapsed") {
    expected = loss_cause::listed;
    table.observe({}, {{order.run, run_outcome::lost, 1}}, true, at_ms(20), at_ms(21));
  }
  SUBCASE("the worker does not list it") {
    expected = loss_cause::not_listed;
    table.observe({}, {}, true, at_ms(20), at_ms(21));
  }
  SUBCASE("the worker has restarted and does not list it") {
    expected = loss_cause::worker_restarted;
    table.worker_crashed(at_ms(10));
    table.observe({}, {}, true, at_ms(20), at_ms(21));
  }
  SUBCASE("another worker took the place") {
    expected = loss_cause::worker_replaced;
    table.worker_replaced({8'000, 1'024, 0}, at_ms(20));
  }
  SUBCASE("the worker refused connections") {
    expected = loss_cause::connection_refused;
    table.worker_lost(at_ms(1'100), loss_cause::connection_refused);
  }
  SUBCASE("the worker was silent") {
    expected = loss_cause::worker_silent;
    table.worker_lost(at_ms(1'100));
  }
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::lost);
  CHECK(ends[0].end.cause == expected);
}

TEST_CASE("whether a worker that refused connections had crashed is reported once it answers") {
  // Guards against crashes that are counted on suspicion, and against crashes that are never
  // counted.
  run_table table(1);
  table.worker_replaced({8'000, 1'024, 0}, at_ms(0));
  table.set_accepting(true);
  table.partition_claimed(entry, {0, 3}, at_ms(0));
  auto durable = make_order(1);
  durable.epoch = 3;
  table.add(entry, durable, at_ms(0));
  table.add(entry, make_order(2), at_ms(0));
  table.start_waiting(at_ms(0));
  table.suspect_crash(at_ms(10));
  CHECK(table.take_crashes() == std::vector<crash_report>{{0, false}});
  table.worker_lost(at_ms(1'100), loss_cause::connection_refused);
  for (const auto& [owner, end] : table.take_ends()) {
    CHECK(end.outcome == run_outcome::lost);
    CHECK(end.cause == loss_cause::connection_refused);
    CHECK_FALSE(end.worker_crashed);
    CHECK(end.suspect);
  }
  bool crashed = false;
  SUBCASE("it had") {
    crashed = true;
    table.worker_crashed(at_ms(10));
  }
  SUBCASE("it had not") {
    table.worker_answered();
  }
  const auto reports = table.take_loss_reports();
  REQUIRE(reports.size() == 2);
  for (const auto& [owner, end] : reports) {
    CHECK(owner == entry);
    CHECK(end.worker_crashed == crashed);
    CHECK(end.suspect == crashed);
  }
  CHECK(table.take_crashes().empty());
  // Once each, but a crash under a durable run is reported to each new owner.
  table.worker_crashed(at_ms(20));
  table.worker_answered();
  CHECK(table.take_loss_reports().empty());
  CHECK(table.take_ends().empty());
  table.partition_claimed(other_entry, {0, 4}, at_ms(2'000));
  CHECK(table.take_ends().size() == (crashed ? 1 : 0));
}

TEST_CASE("a crash of a worker that was silent until its leases expired is reported later") {
  // Guards against deadly tasks whose crashes are never counted because the link was cut, too.
  auto table = make_table();
  table.add(entry, make_order(1), at_ms(0));
  table.start_waiting(at_ms(0));
  table.worker_lost(at_ms(580));
  table.take_ends();
  SUBCASE("it had crashed") {
    table.worker_crashed(at_ms(2'000));
    const auto reports = table.take_loss_reports();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].end.worker_crashed);
    CHECK_FALSE(reports[0].end.suspect);
  }
  SUBCASE("it had not") {
    table.worker_answered();
    CHECK(table.take_loss_reports().empty());
  }
}

TEST_CASE("a crash that is known after a succession is reported to the new owner") {
  // Guards against a crash that nobody counts until the next session or claim.
  run_table table(1);
  table.worker_replaced({8'000, 1'024, 0}, at_ms(0));
  table.set_accepting(true);
  table.partition_claimed(entry, {0, 3}, at_ms(0));
  auto durable = make_order(1);
  durable.epoch = 3;
  table.add(entry, durable, at_ms(0));
  table.start_waiting(at_ms(0));
  table.suspect_crash(at_ms(10));
  table.worker_lost(at_ms(580), loss_cause::connection_refused);
  table.take_ends();
  table.partition_claimed(other_entry, {0, 4}, at_ms(1'500));
  CHECK(table.take_ends().empty());
  table.worker_crashed(at_ms(10));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].owner == other_entry);
  CHECK(ends[0].end.worker_crashed);
}

TEST_CASE("the replacement of a worker that has left explains its losses") {
  // Guards against tasks that wait for a report that never comes.
  auto table = make_table();
  table.add(entry, make_order(1), at_ms(0));
  table.start_waiting(at_ms(0));
  table.suspect_crash(at_ms(10));
  table.worker_lost(at_ms(580), loss_cause::connection_refused);
  table.worker_replaced({8'000, 1'024, 0}, at_ms(3'000));
  const auto reports = table.take_loss_reports();
  REQUIRE(reports.size() == 1);
  CHECK_FALSE(reports[0].end.worker_crashed);
}

TEST_CASE("waiting orders are returned unstarted when their worker cannot start them") {
  // Guards against orders that wait out the refusals of one worker while others are idle.
  auto table = make_table();
  table.add(entry, make_order(1, 8'000), at_ms(0));
  table.add(entry, make_order(2, 8'000), at_ms(0));
  table.start_waiting(at_ms(0));
  REQUIRE(table.waiting() == 1);
  table.return_waiting(at_ms(5));
  CHECK(table.waiting() == 0);
  CHECK(table.running() == 1);
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::not_started);
}

TEST_CASE("a run that the restarted worker lists was not lost in the crash") {
  auto table = make_table();
  const auto order = make_order(1);
  table.add(entry, order, at_ms(0));
  table.start_waiting(at_ms(0));
  table.start_answered(order.run, start_answer::started, at_ms(1));
  table.worker_crashed(at_ms(10));
  table.observe({{order.run, 10}}, {}, true, at_ms(20), at_ms(21));
  table.worker_lost(at_ms(1'100));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK_FALSE(ends[0].end.worker_crashed);
}

TEST_CASE("a restart of the worker returns waiting orders and forgets how fast it was") {
  // Guards against orders and estimates of a worker's earlier incarnation, which may have been of
  // another kind.
  auto table = make_table();
  table.add(entry, make_order(1, 8'000), at_ms(0));
  table.start_waiting(at_ms(0));
  table.start_answered({{1, 0, 0}, 1}, start_answer::started, at_ms(1));
  for (int now = 50; now <= 1'500; now += 50) {
    table.observe({{{{1, 0, 0}, 1}, 1}}, {}, true, at_ms(now - 1), at_ms(now));
  }
  table.observe({}, {{{{1, 0, 0}, 1}, run_outcome::failed, 1}}, true, at_ms(2'000), at_ms(2'001));
  table.take_ends();
  CHECK(table.pace().slowdown() > 2.0);
  CHECK(table.failure_share() > 0.0);
  table.add(entry, make_order(2, 8'000), at_ms(2'010));
  table.add(entry, make_order(3, 8'000), at_ms(2'010));
  table.start_waiting(at_ms(2'010));
  CHECK(table.waiting() == 1);
  table.worker_restarted(at_ms(2'020));
  CHECK(table.waiting() == 0);
  CHECK(table.running() == 1); // The lists tell whether the new incarnation runs it.
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::not_started);
  CHECK(table.pace().slowdown() == doctest::Approx(1.0));
  CHECK(table.failure_share() == doctest::Approx(0.0));
}

} // namespace
} // namespace parsleylead

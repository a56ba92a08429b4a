// Tests how `run_table` resolves starts and stops without an answer.

#include <doctest/doctest.h>

#include <vector>

#include "../test_support.hpp"
#include "parsleylead/runs/run_table.hpp"

namespace parsleylead {
namespace {

constexpr run_id run{{1, 0, 0}, 1};

/// A table whose worker was sent the start of `run` at 0 ms.
run_table make_table_with_start() {
  run_table table;
  table.worker_replaced({8'000, 1'024, 0}, at_ms(0));
  table.set_accepting(true);
  start_order order;
  order.run = run;
  order.needs = {4'000, 64, 0};
  order.estimate = std::chrono::milliseconds(100);
  order.max_wait = std::chrono::milliseconds(200);
  table.add(1, order, at_ms(0));
  table.start_waiting(at_ms(0));
  table.take_calls();
  return table;
}

/// The runs that the table stops.
std::vector<run_id> stopped(run_table& table) {
  std::vector<run_id> runs;
  for (const auto& call : table.take_calls()) {
    if (call.call_kind == worker_call::kind::stop) {
      runs.push_back(call.run);
    }
  }
  return runs;
}

std::vector<start_resolution> resolutions(run_table& table) {
  std::vector<start_resolution> taken;
  for (const auto& each : table.take_resolved_starts()) {
    taken.push_back(each.resolution);
  }
  return taken;
}

TEST_CASE("a start whose answer is lost is not stopped if a list shows the run") {
  // Guards against stopping a run that is almost done.
  SUBCASE("as active, before the answer counts as lost") {
    auto table = make_table_with_start();
    table.observe({{run, 10}}, {}, true, at_ms(9), at_ms(10));
    table.start_unanswered(run, at_ms(40));
    table.start_waiting(at_ms(300));
    CHECK(stopped(table).empty());
    CHECK(resolutions(table) == std::vector{start_resolution::active});
  }
  SUBCASE("as active, after that") {
    auto table = make_table_with_start();
    table.start_unanswered(run, at_ms(40));
    table.observe({{run, 10}}, {}, true, at_ms(41), at_ms(42));
    table.start_waiting(at_ms(300));
    CHECK(stopped(table).empty());
    CHECK(resolutions(table) == std::vector{start_resolution::active});
  }
  SUBCASE("as ended") {
    auto table = make_table_with_start();
    table.start_unanswered(run, at_ms(40));
    table.observe({}, {{run, run_outcome::done, 1}}, true, at_ms(41), at_ms(42));
    CHECK(stopped(table).empty());
    CHECK(resolutions(table) == std::vector{start_resolution::ended});
    const auto ends = table.take_ends();
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].end.outcome == run_outcome::done);
  }
}

TEST_CASE("a start without an answer is stopped if a list requested later does not show it") {
  // Guards against a task that waits for a run which the worker may start at any time.
  auto table = make_table_with_start();
  // Requested before the start, and just after it on another connection.
  table.observe({}, {}, true, at_ms(-1), at_ms(1));
  table.observe({}, {}, true, at_ms(1), at_ms(2));
  table.start_unanswered(run, at_ms(40));
  CHECK(stopped(table).empty());
  table.observe({}, {}, true, at_ms(41), at_ms(42));
  CHECK(stopped(table) == std::vector{run});
  CHECK(resolutions(table) == std::vector{start_resolution::stopped});
  // Neither the list nor the stop alone allows another run.
  CHECK(table.take_ends().empty());
  table.stop_answered(run, true, at_ms(45));
  table.observe({}, {}, true, at_ms(44), at_ms(46));
  CHECK(table.take_ends().empty());
  table.observe({}, {}, true, at_ms(46), at_ms(47));
  const auto ends = table.take_ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end.outcome == run_outcome::not_started);
}

TEST_CASE("a start that an early list did not show is stopped only when its answer is overdue") {
  auto table = make_table_with_start();
  table.observe({}, {}, true, at_ms(9), at_ms(10));
  CHECK(stopped(table).empty());
  SUBCASE("overdue") {
    table.start_unanswered(run, at_ms(40));
    CHECK(stopped(table) == std::vector{run});
  }
  SUBCASE("answered") {
    table.start_answered(run, start_answer::started, at_ms(20));
    table.start_waiting(at_ms(300));
    CHECK(stopped(table).empty());
  }
}

TEST_CASE("a start without an answer is stopped if no list arrives") {
  // Guards against a worker that answers nothing and executes the start seconds later.
  auto table = make_table_with_start();
  table.start_unanswered(run, at_ms(40));
  table.start_waiting(at_ms(199));
  CHECK(stopped(table).empty());
  table.start_waiting(at_ms(200));
  CHECK(stopped(table) == std::vector{run});
}

TEST_CASE("a stop whose answer is lost is repeated at once") {
  auto table = make_table_with_start();
  table.start_answered(run, start_answer::unknown, at_ms(40));
  CHECK(stopped(table).size() == 1);
  table.stop_answered(run, false, at_ms(80));
  table.start_waiting(at_ms(80));
  CHECK(stopped(table).size() == 1);
  // A worker that refuses connections answers immediately.
  table.stop_answered(run, false, at_ms(81));
  table.start_waiting(at_ms(82));
  CHECK(stopped(table).empty());
}

TEST_CASE("an older list that arrives after the end of a run does not make it a foreign run") {
  // Guards against a worker that gets no work, and a stop of an ended run, because the answers of
  // two list requests overtake each other.
  auto table = make_table_with_start();
  table.start_answered(run, start_answer::started, at_ms(1));
  table.observe({}, {{run, run_outcome::done, 1}}, true, at_ms(10), at_ms(50));
  table.observe({{run, 99}}, {}, true, at_ms(40), at_ms(51));
  CHECK_FALSE(table.has_foreign_runs());
  CHECK(stopped(table).empty());
  // A list that was requested after the end is trusted.
  table.observe({{run, 99}}, {}, true, at_ms(52), at_ms(53));
  CHECK(table.has_foreign_runs());
}

} // namespace
} // namespace parsleylead

#include "parsleylead/session/commit_table.hpp"

#include <doctest/doctest.h>

#include <map>
#include <set>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

using namespace std::chrono_literals;
using sequences = std::vector<std::uint64_t>;

constexpr std::uint64_t agent = 77;
const monotonic_time t0 = monotonic_time{} + 1h;
const entry_key entry{"entry-1", 5};

session_key session(std::uint64_t counter) {
  return {entry, counter};
}

upstream_outcome answer(std::string text) {
  return {task_end::finished, std::move(text), {}, {}};
}

TEST_CASE("a sequence number starts at most once") {
  // Guards against a duplicated frame that runs a task twice.
  commit_table table(agent);
  REQUIRE(table.open_session(session(1), 0, {}, {}, t0).accepted);
  CHECK(table.accept(session(1), 3) == reason::none);
  CHECK(table.start(session(1), 3, t0, t0 + 1s));
  CHECK_FALSE(table.start(session(1), 3, t0, t0 + 1s));
  CHECK(table.accept(session(1), 3) == reason::sealed);
  CHECK(table.finish(entry, 3, answer("a")) == finish_result::deliver);
  CHECK_FALSE(table.start(session(1), 3, t0, t0 + 1s));
  table.acknowledge(entry, sequences{3});
  CHECK(table.accept(session(1), 3) == reason::sealed);
}

TEST_CASE("a later session fences the earlier one and reports every outstanding number") {
  // Guards against late frames of a replaced connection taking effect, and against lost results.
  commit_table table(agent);
  REQUIRE(table.open_session(session(1), 0, {}, {}, t0).accepted);
  for (const std::uint64_t sequence : {1, 2, 3}) {
    REQUIRE(table.accept(session(1), sequence) == reason::none);
  }
  REQUIRE(table.start(session(1), 1, t0, t0 + 1s));
  REQUIRE(table.start(session(1), 2, t0, t0 + 1s));
  table.finish(entry, 1, answer("one"));
  const auto opening = table.open_session(session(2), agent, sequences{1, 2, 3, 4}, {}, t0);
  REQUIRE(opening.accepted);
  CHECK(opening.sealed == sequences{3});
  CHECK(opening.tasks[0].state == resume_state::finished);
  CHECK(opening.tasks[0].outcome.answer == "one");
  CHECK(opening.tasks[1].state == resume_state::running);
  CHECK(opening.tasks[2].state == resume_state::sealed);
  CHECK(opening.tasks[3].state == resume_state::sealed);
  CHECK(table.accept(session(1), 4) == reason::stale_session);
  CHECK_FALSE(table.start(session(1), 3, t0, t0 + 1s));
  CHECK(table.accept(session(2), 4) == reason::sealed);
  CHECK(table.open_session(session(2), agent, {}, {}, t0).refusal == reason::stale_session);
}

TEST_CASE("an exhausted budget, a cancellation and a lost session seal a waiting task") {
  // Guards against a task that starts after its entry has reported it as not run.
  commit_table table(agent);
  REQUIRE(table.open_session(session(1), 0, {}, {}, t0).accepted);
  for (const std::uint64_t sequence : {1, 2, 3}) {
    REQUIRE(table.accept(session(1), sequence) == reason::none);
  }
  CHECK_FALSE(table.start(session(1), 1, t0 + 1s, t0 + 1s));
  CHECK_FALSE(table.start(session(1), 1, t0, t0 + 1s));
  CHECK(table.cancel(session(1), 2) == cancel_result::sealed);
  CHECK_FALSE(table.start(session(1), 2, t0, t0 + 1s));
  CHECK(table.cancel(session(1), 9) == cancel_result::sealed);
  CHECK(table.accept(session(1), 9) == reason::sealed);
  CHECK(table.disconnect_session(session(1), t0) == sequences{3});
  CHECK_FALSE(table.start(session(1), 3, t0, t0 + 1s));
}

TEST_CASE("dispatches of another agent incarnation or of expired state are unknown") {
  // Guards against reporting a task as sealed although it may have run.
  commit_table table(agent);
  const auto restarted = table.open_session(session(4), agent + 1, sequences{8}, {}, t0);
  CHECK(restarted.tasks[0].state == resume_state::unknown);
  CHECK(table.accept(session(4), 8) == reason::sealed);
  CHECK(table.accept(session(4), 9) == reason::none);
  REQUIRE(table.start(session(4), 9, t0, t0 + 1s));
  table.disconnect_session(session(4), t0);
  CHECK(table.expire(t0 + 10min) == 0);
  CHECK(table.finish(entry, 9, answer("x")) == finish_result::retained);
  CHECK(table.expire(t0 + 59s) == 0);
  CHECK(table.expire(t0 + 60s) == 1);
  CHECK(table.entry_count() == 0);
  const auto late = table.open_session(session(5), agent, sequences{9}, {}, t0 + 61s);
  CHECK(late.tasks[0].state == resume_state::unknown);
}

TEST_CASE("records are bounded, and evicted ones neither start nor count as not run") {
  // Guards against unbounded memory, and against a wrong "not run" after a record was evicted.
  commit_table table(agent, {.max_records = 8, .max_unacknowledged = 4});
  REQUIRE(table.open_session(session(1), 0, {}, {}, t0).accepted);
  for (std::uint64_t sequence = 1; sequence <= 100; ++sequence) {
    REQUIRE(table.accept(session(1), sequence) == reason::none);
    REQUIRE(table.start(session(1), sequence, t0, t0 + 1s));
    table.finish(entry, sequence, answer("x"));
  }
  CHECK(table.unacknowledged() == 4);
  CHECK(table.evicted_outcomes() == 96);
  CHECK(table.record_count() <= 8);
  CHECK(table.accept(session(1), 50) == reason::sealed);
  const auto opening = table.open_session(session(2), agent, sequences{50, 100}, {}, t0);
  CHECK(opening.tasks[0].state == resume_state::unknown);
  CHECK(opening.tasks[1].state == resume_state::finished);
}

// Runs random operations of two entry incarnations and compares the table with a model that records
// every started and every sealed number.
void check_operations(const std::vector<std::uint32_t>& operations) {
  commit_table table(agent, {.max_records = 12, .max_unacknowledged = 6});
  const std::vector<entry_key> entries{{"a", 1}, {"a", 2}};
  std::map<entry_key, std::uint64_t> counters;
  std::set<std::pair<entry_key, std::uint64_t>> started;
  std::set<std::pair<entry_key, std::uint64_t>> running;
  std::set<std::pair<entry_key, std::uint64_t>> sealed;
  auto now = t0;
  for (const auto random : operations) {
    const auto& entry_id = entries[random % 2];
    const std::uint64_t sequence = (random / 16) % 40;
    const bool from_fenced_session = (random / 1024) % 4 == 0 && counters[entry_id] > 0;
    const session_key key{entry_id, counters[entry_id] - (from_fenced_session ? 1 : 0)};
    const std::pair id{entry_id, sequence};
    switch ((random / 2) % 8) {
    case 0: {
      const session_key next{entry_id, ++counters[entry_id]};
      const sequences outstanding{sequence, sequence + 1};
      const auto opening = table.open_session(next, agent, outstanding, {}, now);
      RC_ASSERT(opening.accepted);
      for (const auto& task : opening.tasks) {
        const std::pair outstanding_id{entry_id, task.sequence};
        if (task.state == resume_state::sealed) {
          RC_ASSERT(!started.contains(outstanding_id));
          sealed.insert(outstanding_id);
        }
        RC_ASSERT((task.state == resume_state::running) == running.contains(outstanding_id));
      }
      break;
    }
    case 1:
      table.disconnect_session(key, now);
      break;
    case 2:
    case 3: {
      const auto accepted = table.accept(key, sequence);
      RC_ASSERT(!from_fenced_session || accepted == reason::stale_session);
      RC_ASSERT(accepted != reason::none || !sealed.contains(id));
      break;
    }
    case 4:
    case 5: {
      const bool start = table.start(key, sequence, now, now + ((random / 4096) % 4) * 1ms);
      if (start) {
        RC_ASSERT(!from_fenced_session);
        RC_ASSERT(!sealed.contains(id));
        RC_ASSERT(started.insert(id).second);
        running.insert(id);
      }
      break;
    }
    case 6:
      if (running.erase(id) > 0) {
        table.finish(entry_id, sequence, answer("x"));
      } else {
        table.acknowledge(entry_id, sequences{sequence});
      }
      break;
    default:
      if (table.cancel(key, sequence) == cancel_result::sealed) {
        RC_ASSERT(!started.contains(id));
        sealed.insert(id);
      }
      now += 1ms;
      break;
    }
    RC_ASSERT(table.running() == running.size());
    RC_ASSERT(table.unacknowledged() <= 12);
  }
}

TEST_CASE("random operations never start a number twice, nor a sealed one") {
  // Guards the commit point (P1, P4) against untested orders of events.
  CHECK(check_property(20261204, check_operations, 3000));
}

} // namespace
} // namespace parsleylead

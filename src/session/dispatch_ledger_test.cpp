#include <doctest/doctest.h>

#include <map>
#include <set>
#include <utility>

#include "../test_support.hpp"
#include "parsleylead/session/dispatch_ledger.hpp"

namespace parsleylead {
namespace {

const session_settings settings;

struct ledger_with_session {
  sequence_allocator numbers;
  dispatch_ledger ledger{settings, numbers};

  ledger_with_session() { ledger.resume(ledger.start_session(at_ms(0)).counter, 7, {}, at_ms(0)); }
  std::uint64_t send(std::uint32_t index, std::int64_t now) {
    return ledger.dispatch(test_id(1), {index, 1}, at_ms(now)).value();
  }
};

TEST_CASE("a silent session with outstanding work is probed, reopened and declared lost") {
  // Guards the timeouts of D7, which bound how long a broken connection delays work.
  ledger_with_session test;
  CHECK(test.ledger.next_action_at() == at_ms(30'000));
  CHECK(test.ledger.next_action(at_ms(10'000)) == session_action::none);
  test.send(0, 10'000);
  CHECK(test.ledger.next_action(at_ms(10'249)) == session_action::none);
  CHECK(test.ledger.next_action(at_ms(10'250)) == session_action::probe);
  CHECK_FALSE(test.ledger.can_dispatch());
  CHECK_FALSE(test.ledger.dispatch(test_id(1), {1, 1}, at_ms(10'251)).has_value());
  test.ledger.on_frame_received(at_ms(10'300));
  CHECK(test.ledger.can_dispatch());
  CHECK(test.ledger.next_action(at_ms(10'550)) == session_action::probe);
  CHECK(test.ledger.next_action(at_ms(11'049)) == session_action::none);
  CHECK(test.ledger.next_action(at_ms(11'050)) == session_action::reopen);
  CHECK(test.ledger.state() == session_state::resuming);
  CHECK(test.ledger.next_action(at_ms(11'051)) == session_action::none);
  test.ledger.on_reopen_failed(at_ms(11'051));
  CHECK(test.ledger.next_action(at_ms(11'151)) == session_action::reopen);
  CHECK(test.ledger.next_action(at_ms(12'151)) == session_action::reopen);
  CHECK(test.ledger.next_action(at_ms(13'151)) == session_action::reopen);
  CHECK(test.ledger.next_action_at() == at_ms(14'050));
  CHECK(test.ledger.next_action(at_ms(14'050)) == session_action::declare_lost);
  CHECK(test.ledger.mark_lost().size() == 1);
  CHECK(test.ledger.next_action(at_ms(99'999)) == session_action::none);
  CHECK_FALSE(test.ledger.finish(1, true).has_value());
  CHECK(test.ledger.duplicates() == 1);
}

TEST_CASE("a paused entry reopens the session once more before declaring it lost") {
  // Guards against tasks that are reported as unknown although only the entry was paused.
  ledger_with_session test;
  test.send(0, 0);
  test.ledger.on_disconnected(at_ms(100));
  CHECK(test.ledger.next_action(at_ms(100)) == session_action::reopen);
  CHECK(test.ledger.next_action(at_ms(60'000)) == session_action::reopen);
  CHECK(test.ledger.next_action(at_ms(60'500)) == session_action::declare_lost);
}

TEST_CASE("an idle session is probed at long intervals") {
  ledger_with_session test;
  CHECK(test.ledger.next_action(at_ms(29'999)) == session_action::none);
  CHECK(test.ledger.next_action(at_ms(30'000)) == session_action::probe);
}

TEST_CASE("a resume reports each outstanding dispatch") {
  // Guards against dispatches without a state after a resume, and against replies to earlier
  // sessions.
  ledger_with_session test;
  for (std::uint32_t index = 0; index < 5; ++index) {
    test.send(index, 0);
  }
  REQUIRE(test.ledger.finish(1, true).has_value());
  test.ledger.on_disconnected(at_ms(10));
  const auto superseded = test.ledger.start_session(at_ms(10));
  const auto hello = test.ledger.start_session(at_ms(20));
  CHECK(hello.counter > superseded.counter);
  CHECK(hello.agent_incarnation == 7);
  CHECK(hello.outstanding == std::vector<std::uint64_t>{2, 3, 4, 5});
  CHECK(hello.acknowledged == std::vector<std::uint64_t>{1});
  CHECK(test.ledger.resume(superseded.counter, 7, {}, at_ms(30)).empty());
  const auto outcomes = test.ledger.resume(hello.counter, 7,
                                           {{2, reported_state::finished},
                                            {3, reported_state::not_run},
                                            {4, reported_state::running},
                                            {1, reported_state::finished}},
                                           at_ms(30));
  REQUIRE(outcomes.size() == 4);
  CHECK(outcomes[0].dispatch.task == task_attempt{1, 1});
  CHECK(outcomes[1].state == reported_state::not_run);
  CHECK(outcomes[2].state == reported_state::running);
  CHECK(outcomes[3].state == reported_state::unknown);
  CHECK(test.ledger.outstanding() == 1);
  CHECK(test.ledger.duplicates() == 1);
  CHECK(test.ledger.take_acknowledgements() == std::vector<std::uint64_t>{2, 3});
  CHECK(test.ledger.take_acknowledgements().empty());
  CHECK(test.ledger.sequences_of(test_id(1)) == std::vector<std::uint64_t>{4});
}

TEST_CASE("dispatches are unknown after a restart of the agent") {
  // Guards against using the report of a new incarnation about dispatches of the old one.
  ledger_with_session test;
  test.send(0, 0);
  test.ledger.on_disconnected(at_ms(10));
  const auto outcomes = test.ledger.resume(test.ledger.start_session(at_ms(10)).counter, 8,
                                           {{1, reported_state::not_run}}, at_ms(20));
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].state == reported_state::unknown);
  CHECK(test.ledger.outstanding() == 0);
}

/// A model of an agent (design, D1), reduced to what the ledger can observe.
struct model_agent {
  std::uint64_t incarnation = 1;
  std::uint64_t counter = 0;
  std::set<std::uint64_t> running;
  std::set<std::uint64_t> finished;
  std::set<std::uint64_t> sealed;

  reported_state report(std::uint64_t sequence) {
    if (finished.contains(sequence)) {
      return reported_state::finished;
    }
    if (running.contains(sequence)) {
      return reported_state::running;
    }
    sealed.insert(sequence);
    return reported_state::not_run;
  }
};

TEST_CASE("random faults give each dispatch exactly one true outcome") {
  // Guards P1 and P4 across lost messages, broken connections and restarts of the agent.
  using event = std::pair<std::uint8_t, std::uint8_t>;
  CHECK(check_property(51, [](const std::vector<event>& operations) {
    sequence_allocator numbers;
    dispatch_ledger ledger(settings, numbers);
    model_agent agent;
    std::set<std::uint64_t> started;
    std::map<std::uint64_t, std::uint64_t> in_transit; // sequence -> session counter
    std::set<std::uint64_t> results;
    std::map<std::uint64_t, reported_state> outcomes;
    std::int64_t now = 0;
    const auto end = [&](std::uint64_t sequence, reported_state state) {
      RC_ASSERT(outcomes.emplace(sequence, state).second);
      RC_ASSERT(state != reported_state::finished || started.contains(sequence));
    };
    const auto pick = [](const auto& from, std::uint8_t choice) {
      return std::next(from.begin(), choice % from.size());
    };
    for (const auto& [operation, choice] : operations) {
      now += choice;
      switch (operation % 8) {
      case 0:
      case 1: // dispatch
        if (const auto sent = ledger.dispatch(test_id(choice), {choice, 1}, at_ms(now))) {
          RC_ASSERT(!outcomes.contains(*sent));
          in_transit[*sent] = ledger.counter();
        }
        break;
      case 2: // a dispatch arrives at the agent, possibly from a fenced session
        if (!in_transit.empty()) {
          const auto [sequence, counter] = *pick(in_transit, choice);
          in_transit.erase(sequence);
          if (counter == agent.counter) {
            RC_ASSERT(!agent.sealed.contains(sequence));
            RC_ASSERT(started.insert(sequence).second);
            agent.running.insert(sequence);
          }
        }
        break;
      case 3: // a task ends at the agent
        if (!agent.running.empty()) {
          const auto sequence = *pick(agent.running, choice);
          agent.running.erase(sequence);
          agent.finished.insert(sequence);
          results.insert(sequence);
        }
        break;
      case 4: // a result arrives, possibly again
        if (!results.empty()) {
          const auto sequence = *pick(results, choice);
          if (ledger.finish(sequence, true).has_value()) {
            end(sequence, reported_state::finished);
          }
        }
        break;
      case 5:
        ledger.on_disconnected(at_ms(now));
        break;
      case 6: // a new session is opened, if none is open
        if (!ledger.can_dispatch()) {
          const auto hello = ledger.start_session(at_ms(now));
          agent.counter = hello.counter;
          std::vector<dispatch_report> reply;
          const bool same_incarnation =
              hello.agent_incarnation == 0 || hello.agent_incarnation == agent.incarnation;
          for (const auto sequence : hello.outstanding) {
            reply.push_back(
                {sequence, same_incarnation ? agent.report(sequence) : reported_state::unknown});
          }
          const bool reply_lost = choice % 4 == 0;
          if (!reply_lost) {
            for (const auto& outcome :
                 ledger.resume(hello.counter, agent.incarnation, reply, at_ms(now))) {
              if (outcome.state != reported_state::running) {
                end(outcome.dispatch.sequence, outcome.state);
              }
            }
          }
        }
        break;
      default: // the agent restarts, or the session is declared lost if that is due
        if (choice % 4 == 0) {
          ++agent.incarnation;
          agent.counter = 0;
          agent.running.clear();
          agent.finished.clear();
          agent.sealed.clear();
        } else if (ledger.next_action(at_ms(now)) == session_action::declare_lost) {
          for (const auto& lost : ledger.mark_lost()) {
            end(lost.sequence, reported_state::unknown);
          }
        }
      }
      RC_ASSERT((ledger.state() != session_state::lost || ledger.outstanding() == 0));
    }
    for (const auto& [sequence, state] : outcomes) {
      RC_ASSERT(state != reported_state::not_run || !started.contains(sequence));
      RC_ASSERT(ledger.find(sequence) == nullptr);
    }
  }));
}

} // namespace
} // namespace parsleylead

#include "parsleylead/slot/slot_ledger.hpp"

#include <doctest/doctest.h>

#include <set>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

const slot_demand none{};

using credit_list = std::vector<session_credits>;

slot_result dispatch(slot_ledger& ledger, session_id session, slot_demand demand = none) {
  slot_actions actions;
  return ledger.dispatch(session, 0, demand, false, actions);
}

TEST_CASE("sessions share the slots evenly, and none are granted without an upstream") {
  // Guards against the first connected entry getting all slots.
  slot_ledger ledger;
  CHECK(ledger.open(1, 2).reply_credits == 0);
  CHECK(ledger.resize(8, 2).grants == credit_list{{1, 4}});
  CHECK(ledger.open(2, 2).reply_credits == 4);
  CHECK(ledger.free_slots() == 0);
  CHECK(ledger.close(1).grants.empty());
  CHECK(ledger.free_slots() == 4);
}

TEST_CASE("a dispatch spends a credit, else a free slot, else it is refused") {
  slot_ledger ledger;
  ledger.resize(2, 1);
  CHECK(ledger.open(1, 2).reply_credits == 1);
  CHECK(dispatch(ledger, 1) == slot_result::slot_taken);
  CHECK(ledger.credits(1) == 0);
  CHECK(dispatch(ledger, 1) == slot_result::slot_taken);
  CHECK(dispatch(ledger, 1) == slot_result::no_free_slot);
  CHECK(ledger.running() == 2);
}

TEST_CASE("a freed slot goes to the most urgent demand, else to the session of the result") {
  // Guards against idle slots while another entry waits, and against unnecessary grant messages.
  slot_ledger ledger;
  ledger.resize(2, 1);
  ledger.open(1, 1);
  ledger.open(2, 2);
  ledger.open(3, 3);
  REQUIRE(dispatch(ledger, 1) == slot_result::slot_taken);
  REQUIRE(dispatch(ledger, 1) == slot_result::slot_taken);
  CHECK(ledger.request_credits(2, {50, 1}).reply_credits == 0);
  CHECK(ledger.request_credits(3, {20, 1}).reply_credits == 0);
  auto ended = ledger.end_task(1);
  CHECK(ended.reply_credits == 0);
  CHECK(ended.grants == credit_list{{3, 1}});
  ended = ledger.end_task(1);
  CHECK(ended.grants == credit_list{{2, 1}});
  REQUIRE(dispatch(ledger, 3) == slot_result::slot_taken);
  ended = ledger.end_task(3);
  CHECK(ended.reply_credits == 1);
  CHECK(ended.grants.empty());
}

TEST_CASE("a session without demand retains at most its share and the remainder") {
  // Guards against one session retaining all slots after a burst.
  slot_ledger ledger;
  ledger.resize(5, 1);
  CHECK(ledger.open(1, 1).reply_credits == 5);
  ledger.open(2, 2);
  for (int i = 0; i < 5; ++i) {
    REQUIRE(dispatch(ledger, 1) == slot_result::slot_taken);
  }
  for (int i = 0; i < 5; ++i) {
    ledger.end_task(1);
  }
  CHECK(ledger.credits(1) == 3);
  CHECK(ledger.free_slots() == 2);
  CHECK(ledger.request_credits(2, {1, 2}).reply_credits == 2);
}

TEST_CASE("unused credits are recalled only from sessions without demand") {
  // Guards against sessions with demand that alternately recall each other's credits.
  slot_ledger ledger;
  ledger.resize(4, 1);
  ledger.open(1, 1);
  ledger.open(2, 2);
  const auto wanted = ledger.request_credits(2, {9, 3});
  CHECK(wanted.reply_credits == 0);
  CHECK(wanted.recalls == credit_list{{1, 3}});
  CHECK(ledger.request_credits(2, {9, 3}).recalls.empty());
  CHECK(ledger.on_recall_answer(1, 3, 2).grants == credit_list{{2, 2}});
  CHECK(ledger.credits(1) == 2);
  ledger.request_credits(1, {9, 1});
  CHECK(ledger.request_credits(2, {9, 3}).recalls.empty());
  CHECK(ledger.return_credits(1, 2).grants == credit_list{{2, 2}});
}

TEST_CASE("queued dispatches start in the order of arrival") {
  // Guards the baseline policies, whose dispatches queue at the agent without credits.
  slot_ledger ledger;
  ledger.resize(1, 1);
  ledger.open(1, 1);
  ledger.open(2, 2);
  slot_actions actions;
  CHECK(ledger.dispatch(2, 10, none, true, actions) == slot_result::slot_taken);
  CHECK(ledger.dispatch(1, 11, none, true, actions) == slot_result::queued);
  CHECK(ledger.dispatch(2, 12, none, true, actions) == slot_result::queued);
  CHECK(ledger.dispatch(2, 13, none, true, actions) == slot_result::queued);
  CHECK(ledger.remove_queued(12));
  CHECK(ledger.end_task(2).starts == std::vector<slot_ticket>{11});
  CHECK(ledger.end_task(1).starts == std::vector<slot_ticket>{13});
  CHECK(ledger.end_task(2).reply_credits == 0);
  CHECK(ledger.free_slots() == 1);
}

TEST_CASE("an absent upstream voids all credits, a smaller one recalls the excess") {
  slot_ledger ledger;
  ledger.resize(8, 1);
  ledger.open(1, 1);
  REQUIRE(dispatch(ledger, 1) == slot_result::slot_taken);
  CHECK(ledger.resize(4, 1).recalls == credit_list{{1, 4}});
  ledger.on_recall_answer(1, 4, 4);
  CHECK(ledger.granted() == 3);
  ledger.resize(0, 1);
  CHECK(ledger.credits(1) == 0);
  CHECK(dispatch(ledger, 1) == slot_result::no_free_slot);
  CHECK(ledger.end_task(1).reply_credits == 0);
  CHECK(ledger.resize(2, 1).grants == credit_list{{1, 2}});
}

// Applies random operations to the ledger and to a model of the credits that each entry holds, and
// compares both after each operation.
void check_operations(const std::vector<std::uint32_t>& operations) {
  slot_ledger ledger(4);
  std::map<session_id, std::uint32_t> entry_credits;
  std::multiset<session_id> running;
  std::map<slot_ticket, session_id> queued;
  session_id next_session = 1;
  slot_ticket next_ticket = 1;
  bool queueing = false;
  const auto apply_actions = [&](session_id requester, const slot_actions& actions) {
    if (entry_credits.contains(requester)) {
      entry_credits[requester] += actions.reply_credits;
    }
    for (const auto& change : actions.grants) {
      RC_ASSERT(entry_credits.contains(change.session));
      entry_credits[change.session] += change.credits;
    }
    for (const auto ticket : actions.starts) {
      RC_ASSERT(queued.contains(ticket));
      running.insert(queued.at(ticket));
      queued.erase(ticket);
    }
  };
  const auto void_credits = [&] {
    for (auto& [session, credits] : entry_credits) {
      credits = 0;
    }
  };
  for (const auto random : operations) {
    const auto pick = [&entry_credits](std::uint32_t number) {
      return std::next(entry_credits.begin(),
                       static_cast<std::ptrdiff_t>(number % entry_credits.size()))
          ->first;
    };
    const auto operation = (random / 8) % 10;
    if (entry_credits.empty() && operation != 1) {
      apply_actions(next_session, (entry_credits[next_session] = 0, ledger.open(next_session, 1)));
      ++next_session;
      continue;
    }
    const auto session = entry_credits.empty() ? 0 : pick(random);
    const slot_demand demand{(random / 128) % 4, (random / 512) % 4};
    switch (operation) {
    case 0:
      entry_credits[next_session] = 0;
      apply_actions(next_session, ledger.open(next_session, (random / 128) % 4));
      ++next_session;
      break;
    case 1: {
      const auto slots = (random / 128) % 7;
      if (slots == 0) {
        void_credits();
        queued.clear();
      }
      apply_actions(0, ledger.resize(slots, 2));
      break;
    }
    case 2:
      entry_credits.erase(session);
      std::erase_if(queued, [session](const auto& item) { return item.second == session; });
      apply_actions(0, ledger.close(session));
      queueing = queueing && !entry_credits.empty();
      break;
    case 3:
    case 4:
    case 5: {
      const bool queue_if_busy = (random / 4096) % 16 == 0;
      if (queue_if_busy && !queueing && ledger.slots() > 0) {
        queueing = true;
        void_credits();
      }
      const auto credits_before = entry_credits[session];
      slot_actions actions;
      const auto ticket = next_ticket++;
      const auto result = ledger.dispatch(session, ticket, demand, queue_if_busy, actions);
      if (result == slot_result::slot_taken) {
        entry_credits[session] -= credits_before > 0 ? 1 : 0;
        running.insert(session);
      } else if (result == slot_result::queued) {
        queued[ticket] = session;
      }
      RC_ASSERT(result != slot_result::no_free_slot || credits_before == 0);
      apply_actions(0, actions);
      break;
    }
    case 6:
    case 7:
      if (!running.empty()) {
        const auto owner =
            *std::next(running.begin(), static_cast<std::ptrdiff_t>(random % running.size()));
        running.erase(running.find(owner));
        apply_actions(owner, ledger.end_task(entry_credits.contains(owner) ? owner : 0));
      }
      break;
    case 8: {
      const auto actions = ledger.request_credits(session, demand);
      apply_actions(session, actions);
      for (const auto& recall : actions.recalls) {
        RC_ASSERT(recall.session != session);
        const auto returned = std::min(recall.credits, entry_credits.at(recall.session));
        entry_credits[recall.session] -= returned;
        apply_actions(0, ledger.on_recall_answer(recall.session, recall.credits, returned));
      }
      break;
    }
    default: {
      const auto returned = std::min(entry_credits[session], 1U);
      entry_credits[session] -= returned;
      apply_actions(0, ledger.return_credits(session, returned));
      break;
    }
    }
    RC_ASSERT(ledger.running() == running.size());
    RC_ASSERT(ledger.queued() == queued.size());
    std::uint32_t granted = 0;
    for (const auto& [id, credits] : entry_credits) {
      RC_ASSERT(ledger.credits(id) == credits);
      granted += credits;
    }
    RC_ASSERT(ledger.granted() == granted);
    RC_ASSERT(queued.empty() || ledger.free_slots() == 0);
  }
}

TEST_CASE("random operations keep credits and running tasks within the slots") {
  // Guards the ledger's invariants, whose violation aborts the process, and the agreement of agent
  // and entries on the number of credits.
  CHECK(check_property(20261204, check_operations, 3000));
}

} // namespace
} // namespace parsleylead

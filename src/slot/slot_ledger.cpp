#include "parsleylead/slot/slot_ledger.hpp"

#include <algorithm>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

void add_grant(slot_actions& actions, session_id session, std::uint32_t credits) {
  const auto position =
      std::find_if(actions.grants.begin(), actions.grants.end(),
                   [session](const session_credits& item) { return item.session == session; });
  if (position != actions.grants.end()) {
    position->credits += credits;
    return;
  }
  actions.grants.push_back({session, credits});
}

} // namespace

slot_actions slot_ledger::open(session_id session, std::size_t expected_sessions) {
  const auto [position, created] = sessions_.try_emplace(session);
  check_invariant(created, "a slot session was opened twice");
  slot_actions actions;
  if (!queueing_) {
    const auto initial = session_share(std::max(sessions_.size(), expected_sessions), false);
    actions.reply_credits = std::min(free_slots(), initial);
    grant_credits(position->second, actions.reply_credits);
  }
  check_invariants();
  return actions;
}

slot_actions slot_ledger::close(session_id session) {
  slot_actions actions;
  const auto position = sessions_.find(session);
  if (position == sessions_.end()) {
    return actions;
  }
  remove_credits(position->second, position->second.credits);
  sessions_.erase(position);
  std::erase_if(queue_, [session](const queued_dispatch& item) { return item.session == session; });
  if (sessions_.empty()) {
    queueing_ = false;
  }
  distribute(session, actions);
  check_invariants();
  return actions;
}

slot_result slot_ledger::dispatch(session_id session, slot_ticket ticket, slot_demand demand,
                                  bool queue_if_busy, slot_actions& actions) {
  const auto position = sessions_.find(session);
  if (position == sessions_.end() || slots_ == 0) {
    return slot_result::no_free_slot;
  }
  if (queue_if_busy && !queueing_) {
    start_queueing();
  }
  auto& state = position->second;
  auto result = slot_result::slot_taken;
  if (state.credits > 0) {
    remove_credits(state, 1);
    ++running_;
  } else if (free_slots() > 0 && queue_.empty()) {
    ++running_;
  } else if (queue_if_busy && queue_.size() < max_queued_) {
    queue_.push_back({session, ticket});
    result = slot_result::queued;
  } else {
    result = slot_result::no_free_slot;
  }
  store_demand(state, demand);
  // The reply to a dispatch is sent when its task ends, so credits granted now need a grant
  // message, also those of this session.
  distribute(0, actions);
  check_invariants();
  return result;
}

std::uint32_t slot_ledger::refundable_credits(session_id session) {
  // The entry counts the credit as spent; the ledger has not removed it.
  return credits(session) > 0 ? 1 : 0;
}

slot_actions slot_ledger::end_task(session_id session) {
  check_invariant(running_ > 0, "a task ended while no slot was in use");
  --running_;
  slot_actions actions;
  distribute(session, actions);
  const auto position = sessions_.find(session);
  if (position != sessions_.end() && !queueing_) {
    // Without demand elsewhere the session gets a credit with the result and needs no message to
    // use the slot again.
    const auto max_credits = session_share(sessions_.size(), true);
    const auto held_credits = position->second.credits;
    const auto added_credits =
        held_credits < max_credits ? std::min(free_slots(), max_credits - held_credits) : 0;
    grant_credits(position->second, added_credits);
    actions.reply_credits += added_credits;
  }
  check_invariants();
  return actions;
}

bool slot_ledger::remove_queued(slot_ticket ticket) {
  return std::erase_if(queue_,
                       [ticket](const queued_dispatch& item) { return item.ticket == ticket; }) > 0;
}

slot_actions slot_ledger::request_credits(session_id session, slot_demand demand) {
  slot_actions actions;
  const auto position = sessions_.find(session);
  if (position == sessions_.end()) {
    return actions;
  }
  store_demand(position->second, demand);
  distribute(session, actions);
  recall_credits_for(session, actions);
  check_invariants();
  return actions;
}

slot_actions slot_ledger::on_recall_answer(session_id session, std::uint32_t requested,
                                           std::uint32_t returned) {
  slot_actions actions;
  const auto position = sessions_.find(session);
  if (position == sessions_.end()) {
    return actions;
  }
  auto& state = position->second;
  state.recalled -= std::min(requested, state.recalled);
  remove_credits(state, std::min(returned, state.credits));
  // No reply follows, so all credits granted now need grant messages.
  distribute(0, actions);
  check_invariants();
  return actions;
}

slot_actions slot_ledger::return_credits(session_id session, std::uint32_t credits) {
  slot_actions actions;
  const auto position = sessions_.find(session);
  if (position == sessions_.end()) {
    return actions;
  }
  auto& state = position->second;
  remove_credits(state, std::min(credits, state.credits));
  state.demand = {};
  distribute(0, actions);
  check_invariants();
  return actions;
}

slot_actions slot_ledger::resize(std::uint32_t slots, std::size_t expected_sessions) {
  slot_actions actions;
  const bool was_absent = slots_ == 0;
  slots_ = slots;
  if (slots_ == 0) {
    void_credits();
    queue_.clear();
    for (auto& [session, state] : sessions_) {
      state.demand = {};
    }
    shrinking_ = running_ > 0;
    return actions;
  }
  shrinking_ = running_ + granted_ > slots_;
  if (shrinking_) {
    auto excess = running_ + granted_ - slots_;
    for (auto& [session, state] : sessions_) {
      const auto unused = state.credits - std::min(state.credits, state.recalled);
      const auto requested = std::min(excess, unused);
      if (requested > 0) {
        state.recalled += requested;
        excess -= requested;
        actions.recalls.push_back({session, requested});
      }
    }
  }
  distribute(0, actions);
  if (was_absent && !queueing_) {
    const auto initial = session_share(std::max(sessions_.size(), expected_sessions), false);
    for (auto& [session, state] : sessions_) {
      const auto credits = std::min(free_slots(), initial);
      if (credits > 0) {
        grant_credits(state, credits);
        add_grant(actions, session, credits);
      }
    }
  }
  check_invariants();
  return actions;
}

std::uint32_t slot_ledger::free_slots() const {
  const auto used = running_ + granted_;
  return slots_ > used ? slots_ - used : 0;
}

std::uint32_t slot_ledger::credits(session_id session) const {
  const auto position = sessions_.find(session);
  return position == sessions_.end() ? 0 : position->second.credits;
}

void slot_ledger::store_demand(session_state& state, slot_demand demand) {
  if (demand.waiting > 0 && state.demand.waiting == 0) {
    state.demand_order = next_demand_order_++;
  }
  state.demand = demand;
}

void slot_ledger::start_queueing() {
  queueing_ = true;
  void_credits();
}

void slot_ledger::void_credits() {
  for (auto& [session, state] : sessions_) {
    state.credits = 0;
    state.recalled = 0;
  }
  granted_ = 0;
}

void slot_ledger::remove_credits(session_state& state, std::uint32_t credits) {
  check_invariant(state.credits >= credits && granted_ >= credits,
                  "a session returned more credits than it held");
  state.credits -= credits;
  granted_ -= credits;
}

void slot_ledger::grant_credits(session_state& state, std::uint32_t credits) {
  check_invariant(credits <= free_slots(), "credits exceed the free slots");
  state.credits += credits;
  granted_ += credits;
}

slot_ledger::session_iterator slot_ledger::find_most_urgent() {
  auto best = sessions_.end();
  for (auto position = sessions_.begin(); position != sessions_.end(); ++position) {
    const auto& state = position->second;
    if (state.demand.waiting == 0) {
      continue;
    }
    const bool better = best == sessions_.end() || state.demand.key < best->second.demand.key ||
                        (state.demand.key == best->second.demand.key &&
                         state.demand_order < best->second.demand_order);
    if (better) {
      best = position;
    }
  }
  return best;
}

std::uint32_t slot_ledger::session_share(std::size_t sessions, bool with_remainder) const {
  const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(sessions, 1));
  return slots_ / count + (with_remainder ? slots_ % count : 0);
}

void slot_ledger::distribute(session_id requester, slot_actions& actions) {
  while (!queue_.empty() && free_slots() > 0) {
    actions.starts.push_back(queue_.front().ticket);
    queue_.pop_front();
    ++running_;
  }
  while (free_slots() > 0) {
    const auto next = find_most_urgent();
    if (next == sessions_.end()) {
      break;
    }
    grant_credits(next->second, 1);
    --next->second.demand.waiting;
    // Round-robin among sessions with equal keys.
    next->second.demand_order = next_demand_order_++;
    if (next->first == requester) {
      ++actions.reply_credits;
    } else {
      add_grant(actions, next->first, 1);
    }
  }
}

void slot_ledger::recall_credits_for(session_id session, slot_actions& actions) {
  auto missing = sessions_.at(session).demand.waiting;
  for (const auto& [other, state] : sessions_) {
    missing -= std::min(missing, state.recalled);
  }
  for (auto& [other, state] : sessions_) {
    if (other == session || state.demand.waiting > 0 || missing == 0) {
      continue;
    }
    const auto unused = state.credits - std::min(state.credits, state.recalled);
    const auto requested = std::min(missing, unused);
    if (requested > 0) {
      state.recalled += requested;
      missing -= requested;
      actions.recalls.push_back({other, requested});
    }
  }
}

void slot_ledger::check_invariants() {
  shrinking_ = shrinking_ && running_ + granted_ > slots_;
  std::uint32_t total = 0;
  for (const auto& [session, state] : sessions_) {
    total += state.credits;
  }
  check_invariant(total == granted_, "the credits of the sessions do not add up");
  check_invariant(shrinking_ || running_ + granted_ <= slots_,
                  "running tasks and credits exceed the slots");
}

} // namespace parsleylead

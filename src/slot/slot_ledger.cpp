#include "parsleylead/slot/slot_ledger.hpp"

#include <algorithm>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

void add_grant(slot_actions& actions, slot_session session, std::uint32_t credits) {
  const auto position =
      std::find_if(actions.grants.begin(), actions.grants.end(),
                   [session](const credit_change& item) { return item.session == session; });
  if (position != actions.grants.end()) {
    position->credits += credits;
    return;
  }
  actions.grants.push_back({session, credits});
}

} // namespace

slot_actions slot_ledger::open(slot_session session, std::size_t expected_sessions) {
  const auto [position, created] = sessions_.try_emplace(session);
  check_invariant(created, "a slot session was opened twice");
  slot_actions actions;
  if (!queueing_) {
    const auto initial = share(std::max(sessions_.size(), expected_sessions), false);
    actions.own_credits = std::min(free_slots(), initial);
    grant(position->second, actions.own_credits);
  }
  check();
  return actions;
}

slot_actions slot_ledger::close(slot_session session) {
  slot_actions actions;
  const auto position = sessions_.find(session);
  if (position == sessions_.end()) {
    return actions;
  }
  take_back(position->second, position->second.credits);
  sessions_.erase(position);
  std::erase_if(queue_, [session](const queued_dispatch& item) { return item.session == session; });
  if (sessions_.empty()) {
    queueing_ = false;
  }
  distribute(session, actions);
  check();
  return actions;
}

slot_result slot_ledger::dispatch(slot_session session, slot_ticket ticket, slot_demand demand,
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
    take_back(state, 1);
    ++running_;
  } else if (free_slots() > 0 && queue_.empty()) {
    ++running_;
  } else if (queue_if_busy && queue_.size() < max_queued_) {
    queue_.push_back({session, ticket});
    result = slot_result::queued;
  } else {
    result = slot_result::no_free_slot;
  }
  state_demand(state, demand);
  // No credit rides on a dispatch, so the session's own credits need a message here.
  distribute(0, actions);
  check();
  return result;
}

std::uint32_t slot_ledger::refuse(slot_session session) {
  // The entry counts the credit as spent, the ledger still counts it as granted.
  return credits(session) > 0 ? 1 : 0;
}

slot_actions slot_ledger::end_task(slot_session session) {
  check_invariant(running_ > 0, "a task ended while no slot was in use");
  --running_;
  slot_actions actions;
  distribute(session, actions);
  const auto position = sessions_.find(session);
  if (position != sessions_.end() && !queueing_) {
    // Without demand the slot stays with its session, which then needs no message to use it again.
    const auto ceiling = share(sessions_.size(), true);
    const auto held = position->second.credits;
    const auto kept = held < ceiling ? std::min(free_slots(), ceiling - held) : 0;
    grant(position->second, kept);
    actions.own_credits += kept;
  }
  check();
  return actions;
}

bool slot_ledger::remove_queued(slot_ticket ticket) {
  return std::erase_if(queue_,
                       [ticket](const queued_dispatch& item) { return item.ticket == ticket; }) > 0;
}

slot_actions slot_ledger::want(slot_session session, slot_demand demand) {
  slot_actions actions;
  const auto position = sessions_.find(session);
  if (position == sessions_.end()) {
    return actions;
  }
  state_demand(position->second, demand);
  distribute(session, actions);
  recall_for(session, actions);
  check();
  return actions;
}

slot_actions slot_ledger::recall_answered(slot_session session, std::uint32_t asked,
                                          std::uint32_t returned) {
  slot_actions actions;
  const auto position = sessions_.find(session);
  if (position == sessions_.end()) {
    return actions;
  }
  auto& state = position->second;
  state.recalled -= std::min(asked, state.recalled);
  take_back(state, std::min(returned, state.credits));
  // The session just gave credits up, so it gets none of them back: `own` is another session.
  distribute(0, actions);
  check();
  return actions;
}

slot_actions slot_ledger::give_back(slot_session session, std::uint32_t credits) {
  slot_actions actions;
  const auto position = sessions_.find(session);
  if (position == sessions_.end()) {
    return actions;
  }
  auto& state = position->second;
  take_back(state, std::min(credits, state.credits));
  state.demand = {};
  distribute(0, actions);
  check();
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
      const auto asked = std::min(excess, unused);
      if (asked > 0) {
        state.recalled += asked;
        excess -= asked;
        actions.recalls.push_back({session, asked});
      }
    }
  }
  distribute(0, actions);
  if (was_absent && !queueing_) {
    const auto initial = share(std::max(sessions_.size(), expected_sessions), false);
    for (auto& [session, state] : sessions_) {
      const auto credits = std::min(free_slots(), initial);
      if (credits > 0) {
        grant(state, credits);
        add_grant(actions, session, credits);
      }
    }
  }
  check();
  return actions;
}

std::uint32_t slot_ledger::free_slots() const {
  const auto used = running_ + granted_;
  return slots_ > used ? slots_ - used : 0;
}

std::uint32_t slot_ledger::credits(slot_session session) const {
  const auto position = sessions_.find(session);
  return position == sessions_.end() ? 0 : position->second.credits;
}

void slot_ledger::state_demand(session_state& state, slot_demand demand) {
  if (demand.waiting > 0 && state.demand.waiting == 0) {
    state.demand_order = next_demand_++;
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

void slot_ledger::take_back(session_state& state, std::uint32_t credits) {
  check_invariant(state.credits >= credits && granted_ >= credits,
                  "a session returned more credits than it held");
  state.credits -= credits;
  granted_ -= credits;
}

void slot_ledger::grant(session_state& state, std::uint32_t credits) {
  check_invariant(credits <= free_slots(), "credits exceed the free slots");
  state.credits += credits;
  granted_ += credits;
}

slot_ledger::session_position slot_ledger::most_urgent() {
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

std::uint32_t slot_ledger::share(std::size_t sessions, bool with_remainder) const {
  const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(sessions, 1));
  return slots_ / count + (with_remainder ? slots_ % count : 0);
}

void slot_ledger::distribute(slot_session own, slot_actions& actions) {
  while (!queue_.empty() && free_slots() > 0) {
    actions.starts.push_back(queue_.front().ticket);
    queue_.pop_front();
    ++running_;
  }
  while (free_slots() > 0) {
    const auto next = most_urgent();
    if (next == sessions_.end()) {
      break;
    }
    grant(next->second, 1);
    --next->second.demand.waiting;
    // Sessions with equal keys take turns.
    next->second.demand_order = next_demand_++;
    if (next->first == own) {
      ++actions.own_credits;
    } else {
      add_grant(actions, next->first, 1);
    }
  }
}

void slot_ledger::recall_for(slot_session session, slot_actions& actions) {
  auto missing = sessions_.at(session).demand.waiting;
  for (const auto& [other, state] : sessions_) {
    missing -= std::min(missing, state.recalled);
  }
  for (auto& [other, state] : sessions_) {
    if (other == session || state.demand.waiting > 0 || missing == 0) {
      continue;
    }
    const auto unused = state.credits - std::min(state.credits, state.recalled);
    const auto asked = std::min(missing, unused);
    if (asked > 0) {
      state.recalled += asked;
      missing -= asked;
      actions.recalls.push_back({other, asked});
    }
  }
}

void slot_ledger::check() {
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

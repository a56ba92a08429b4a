#include "parsleylead/session/dispatch_ledger.hpp"

#include <algorithm>
#include <utility>

namespace parsleylead {

std::optional<std::uint64_t> dispatch_ledger::dispatch(const uuid& submission, task_attempt task,
                                                       monotonic_time now) {
  if (!can_dispatch()) {
    return std::nullopt;
  }
  if (outstanding_.empty()) {
    outstanding_since_ = now;
  }
  const auto sequence = allocator_.next_sequence();
  outstanding_.emplace(sequence, outstanding_dispatch{sequence, submission, task, now});
  return sequence;
}

std::optional<outstanding_dispatch> dispatch_ledger::finish(std::uint64_t sequence,
                                                            bool acknowledge) {
  const auto found = outstanding_.find(sequence);
  if (found == outstanding_.end()) {
    ++duplicates_;
    return std::nullopt;
  }
  const auto ended = found->second;
  outstanding_.erase(found);
  if (acknowledge) {
    acknowledgements_.push_back(sequence);
  }
  return ended;
}

const outstanding_dispatch* dispatch_ledger::find(std::uint64_t sequence) const {
  const auto found = outstanding_.find(sequence);
  return found == outstanding_.end() ? nullptr : &found->second;
}

std::vector<std::uint64_t> dispatch_ledger::sequences_of(const uuid& submission) const {
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, dispatch] : outstanding_) {
    if (dispatch.submission == submission) {
      sequences.push_back(sequence);
    }
  }
  return sequences;
}

void dispatch_ledger::on_frame_received(monotonic_time now) {
  last_received_ = std::max(last_received_, now);
  if (state_ == session_state::probing) {
    state_ = session_state::open;
  }
}

void dispatch_ledger::on_disconnected(monotonic_time now) {
  if (state_ == session_state::open || state_ == session_state::probing) {
    start_resuming(now, now);
  } else {
    on_reopen_failed(now);
  }
}

void dispatch_ledger::on_reopen_failed(monotonic_time now) {
  if (state_ == session_state::resuming) {
    reopen_at_ = now + reopen_interval;
  }
}

session_action dispatch_ledger::next_action(monotonic_time now) {
  if (state_ == session_state::lost) {
    return session_action::none;
  }
  if (state_ == session_state::open) {
    if (now < next_probe_at()) {
      return session_action::none;
    }
    state_ = session_state::probing;
    probed_at_ = now;
    return session_action::probe;
  }
  if (state_ == session_state::probing) {
    if (now < probed_at_ + settings_.probe_timeout) {
      return session_action::none;
    }
    start_resuming(now, now);
  }
  const auto declare_lost_at = resuming_since_ + settings_.resume_timeout;
  if (now >= declare_lost_at + settings_.probe_timeout) {
    resuming_since_ = now - settings_.resume_timeout + settings_.probe_timeout;
  } else if (now >= declare_lost_at) {
    return session_action::declare_lost;
  }
  if (now < reopen_at_) {
    return session_action::none;
  }
  reopen_at_ = now + settings_.connect_timeout + settings_.probe_timeout;
  return session_action::reopen;
}

std::optional<monotonic_time> dispatch_ledger::next_action_at() const {
  switch (state_) {
  case session_state::open:
    return next_probe_at();
  case session_state::probing:
    return probed_at_ + settings_.probe_timeout;
  case session_state::resuming:
    return std::min(reopen_at_, resuming_since_ + settings_.resume_timeout);
  case session_state::lost:
    break;
  }
  return std::nullopt;
}

std::vector<std::uint64_t> dispatch_ledger::take_acknowledgements() {
  acknowledged_in_hello_ = 0;
  return std::exchange(acknowledgements_, {});
}

session_hello dispatch_ledger::start_session(monotonic_time now) {
  if (state_ != session_state::resuming) {
    start_resuming(now, now);
  }
  reopen_at_ = std::max(reopen_at_, now + settings_.connect_timeout + settings_.probe_timeout);
  counter_ = allocator_.next_counter();
  session_hello result{counter_, agent_incarnation_, {}, acknowledgements_};
  acknowledged_in_hello_ = acknowledgements_.size();
  for (const auto& [sequence, dispatch] : outstanding_) {
    result.outstanding.push_back(sequence);
  }
  return result;
}

std::vector<resumed_dispatch> dispatch_ledger::resume(std::uint64_t counter,
                                                      std::uint64_t agent_incarnation,
                                                      const std::vector<dispatch_report>& reply,
                                                      monotonic_time now) {
  std::vector<resumed_dispatch> outcomes;
  if (state_ != session_state::resuming || counter != counter_) {
    return outcomes;
  }
  acknowledgements_.erase(acknowledgements_.begin(),
                          acknowledgements_.begin() +
                              static_cast<std::ptrdiff_t>(acknowledged_in_hello_));
  acknowledged_in_hello_ = 0;
  std::map<std::uint64_t, reported_state> reported;
  const auto same_agent = agent_incarnation_ == 0 || agent_incarnation_ == agent_incarnation;
  if (!same_agent) {
    acknowledgements_.clear();
  } else {
    for (const auto& entry : reply) {
      duplicates_ += outstanding_.contains(entry.sequence) ? 0 : 1;
      reported.emplace(entry.sequence, entry.state);
    }
  }
  std::map<std::uint64_t, outstanding_dispatch> running;
  for (const auto& [sequence, dispatch] : outstanding_) {
    const auto found = reported.find(sequence);
    const auto state = found == reported.end() ? reported_state::unknown : found->second;
    outcomes.push_back({dispatch, state});
    if (state == reported_state::running) {
      running.emplace(sequence, dispatch);
    } else if (state != reported_state::unknown) {
      acknowledgements_.push_back(sequence);
    }
  }
  outstanding_ = std::move(running);
  agent_incarnation_ = agent_incarnation;
  state_ = session_state::open;
  last_received_ = now;
  outstanding_since_ = now;
  return outcomes;
}

std::vector<outstanding_dispatch> dispatch_ledger::mark_lost() {
  std::vector<outstanding_dispatch> lost;
  lost.reserve(outstanding_.size());
  for (const auto& [sequence, dispatch] : outstanding_) {
    lost.push_back(dispatch);
  }
  outstanding_.clear();
  acknowledgements_.clear();
  acknowledged_in_hello_ = 0;
  // A late reply to an earlier `start_session` must not open the session.
  counter_ = 0;
  state_ = session_state::lost;
  return lost;
}

monotonic_time dispatch_ledger::next_probe_at() const {
  if (outstanding_.empty()) {
    return last_received_ + settings_.idle_probe_interval;
  }
  return std::max(last_received_, outstanding_since_) + settings_.probe_after;
}

void dispatch_ledger::start_resuming(monotonic_time now, monotonic_time reopen_at) {
  state_ = session_state::resuming;
  resuming_since_ = now;
  reopen_at_ = reopen_at;
}

} // namespace parsleylead

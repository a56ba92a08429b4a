#include "parsleylead/session/commit_table.hpp"

#include <algorithm>
#include <utility>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {

commit_table::commit_table(std::uint64_t agent_incarnation, commit_table_limits limits)
    : agent_incarnation_(agent_incarnation), limits_(limits) {}

session_open_result commit_table::open_session(const session_key& session,
                                               std::uint64_t previous_agent,
                                               std::span<const std::uint64_t> outstanding,
                                               std::span<const std::uint64_t> acknowledged,
                                               monotonic_time now) {
  session_open_result opening;
  const auto [position, created] = entries_.try_emplace(session.entry);
  auto& state = position->second;
  if (!created && session.counter <= state.counter) {
    opening.refusal = reason::stale_session;
    return opening;
  }
  opening.accepted = true;
  state.counter = session.counter;
  state.connected = true;
  state.disconnected_at = now;
  opening.sealed = seal_waiting(state);
  acknowledge_records(state, acknowledged);
  const bool other_agent = previous_agent != 0 && previous_agent != agent_incarnation_;
  const bool expired = created && previous_agent == agent_incarnation_;
  if (other_agent || expired) {
    // These tasks may have run in another incarnation of the agent, or before the state expired.
    for (const auto sequence : outstanding) {
      if (!state.records.contains(sequence)) {
        state.unknown_watermark = std::max(state.unknown_watermark, sequence);
      }
    }
    state.sealed_watermark = std::max(state.sealed_watermark, state.unknown_watermark);
  }
  opening.tasks.reserve(outstanding.size());
  for (const auto sequence : outstanding) {
    opening.tasks.push_back(resume(state, sequence));
  }
  trim_records(state);
  return opening;
}

std::vector<std::uint64_t> commit_table::disconnect_session(const session_key& session,
                                                            monotonic_time now) {
  auto* state = find_current(session);
  if (state == nullptr) {
    return {};
  }
  state->connected = false;
  state->disconnected_at = now;
  return seal_waiting(*state);
}

bool commit_table::is_current(const session_key& session) const {
  const auto position = entries_.find(session.entry);
  return position != entries_.end() && position->second.connected &&
         position->second.counter == session.counter;
}

reason commit_table::accept(const session_key& session, std::uint64_t sequence) {
  auto* state = find_current(session);
  if (state == nullptr) {
    return reason::stale_session;
  }
  if (sequence <= state->sealed_watermark || state->records.contains(sequence)) {
    return reason::sealed;
  }
  state->records.emplace(sequence, record{record_state::waiting, session.counter, false, {}});
  ++state->waiting;
  trim_records(*state);
  return reason::none;
}

bool commit_table::start(const session_key& session, std::uint64_t sequence, monotonic_time now,
                         monotonic_time deadline) {
  auto* state = find_current(session);
  if (state == nullptr) {
    return false;
  }
  const auto position = state->records.find(sequence);
  if (position == state->records.end() || position->second.state != record_state::waiting) {
    return false;
  }
  auto& entry = position->second;
  check_invariant(entry.counter == state->counter, "a waiting task belongs to a fenced session");
  --state->waiting;
  if (now >= deadline) {
    entry.state = record_state::sealed;
    return false;
  }
  entry.state = record_state::running;
  ++state->running;
  ++running_;
  return true;
}

finish_result commit_table::finish(const entry_key& entry, std::uint64_t sequence,
                                   upstream_outcome outcome) {
  const auto found = entries_.find(entry);
  check_invariant(found != entries_.end(), "the entry of a running task was removed");
  auto& state = found->second;
  const auto position = state.records.find(sequence);
  check_invariant(position != state.records.end() &&
                      position->second.state == record_state::running,
                  "a task that was not running has finished");
  check_invariant(state.running > 0 && running_ > 0, "the count of running tasks is wrong");
  --state.running;
  --running_;
  position->second.state = record_state::finished;
  position->second.outcome = std::move(outcome);
  ++state.finished;
  evict_excess_outcomes(state);
  return state.connected ? finish_result::deliver : finish_result::retained;
}

void commit_table::acknowledge(const entry_key& entry, std::span<const std::uint64_t> sequences) {
  const auto found = entries_.find(entry);
  if (found != entries_.end()) {
    acknowledge_records(found->second, sequences);
    trim_records(found->second);
  }
}

void commit_table::acknowledge_all(const entry_key& entry) {
  const auto found = entries_.find(entry);
  if (found == entries_.end()) {
    return;
  }
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, item] : found->second.records) {
    if (item.state == record_state::finished) {
      sequences.push_back(sequence);
    }
  }
  acknowledge(entry, sequences);
}

cancel_result commit_table::cancel(const session_key& session, std::uint64_t sequence) {
  auto* state = find_current(session);
  if (state == nullptr) {
    return cancel_result::no_effect;
  }
  const auto position = state->records.find(sequence);
  if (position == state->records.end()) {
    if (sequence <= state->sealed_watermark) {
      return cancel_result::no_effect;
    }
    state->records.emplace(sequence, record{record_state::sealed, session.counter, false, {}});
    trim_records(*state);
    return cancel_result::sealed;
  }
  if (position->second.state == record_state::running) {
    return cancel_result::running;
  }
  if (position->second.state != record_state::waiting) {
    return cancel_result::no_effect;
  }
  position->second.state = record_state::sealed;
  --state->waiting;
  return cancel_result::sealed;
}

const upstream_outcome* commit_table::outcome(const entry_key& entry,
                                              std::uint64_t sequence) const {
  const auto found = entries_.find(entry);
  if (found == entries_.end()) {
    return nullptr;
  }
  const auto position = found->second.records.find(sequence);
  if (position == found->second.records.end() || position->second.state != record_state::finished) {
    return nullptr;
  }
  return &position->second.outcome;
}

bool commit_table::mark_sent(const entry_key& entry, std::uint64_t sequence) {
  const auto found = entries_.find(entry);
  if (found == entries_.end()) {
    return false;
  }
  const auto position = found->second.records.find(sequence);
  return position != found->second.records.end() && std::exchange(position->second.sent, true);
}

bool commit_table::is_running(const entry_key& entry, std::uint64_t sequence) const {
  const auto found = entries_.find(entry);
  if (found == entries_.end()) {
    return false;
  }
  const auto position = found->second.records.find(sequence);
  return position != found->second.records.end() && position->second.state == record_state::running;
}

std::size_t commit_table::expire(monotonic_time now, std::chrono::milliseconds retention) {
  std::size_t dropped = 0;
  for (auto position = entries_.begin(); position != entries_.end();) {
    const auto& state = position->second;
    const bool idle = !state.connected && state.running == 0;
    if (idle && now - state.disconnected_at >= retention) {
      dropped += state.finished;
      position = entries_.erase(position);
    } else {
      ++position;
    }
  }
  return dropped;
}

std::size_t commit_table::unacknowledged() const {
  std::size_t total = 0;
  for (const auto& [key, state] : entries_) {
    total += state.finished;
  }
  return total;
}

std::size_t commit_table::unacknowledged(const entry_key& entry) const {
  const auto found = entries_.find(entry);
  return found == entries_.end() ? 0 : found->second.finished;
}

std::size_t commit_table::record_count() const {
  std::size_t total = 0;
  for (const auto& [key, state] : entries_) {
    total += state.records.size();
  }
  return total;
}

commit_table::entry_state* commit_table::find_current(const session_key& session) {
  const auto position = entries_.find(session.entry);
  if (position == entries_.end() || !position->second.connected ||
      position->second.counter != session.counter) {
    return nullptr;
  }
  return &position->second;
}

std::vector<std::uint64_t> commit_table::seal_waiting(entry_state& state) {
  std::vector<std::uint64_t> sealed;
  if (state.waiting == 0) {
    return sealed;
  }
  for (auto& [sequence, item] : state.records) {
    if (item.state == record_state::waiting) {
      item.state = record_state::sealed;
      sealed.push_back(sequence);
    }
  }
  state.waiting = 0;
  return sealed;
}

resumed_task commit_table::resume(entry_state& state, std::uint64_t sequence) {
  resumed_task task{sequence, resume_state::sealed, {}};
  const auto position = state.records.find(sequence);
  if (position == state.records.end()) {
    if (sequence <= state.unknown_watermark) {
      task.state = resume_state::unknown;
    } else if (sequence > state.sealed_watermark) {
      state.records.emplace(sequence, record{record_state::sealed, state.counter, false, {}});
    }
    return task;
  }
  if (position->second.state == record_state::running) {
    task.state = resume_state::running;
  } else if (position->second.state == record_state::finished) {
    task.state = resume_state::finished;
    task.outcome = position->second.outcome;
  } else if (position->second.state == record_state::acknowledged) {
    task.state = resume_state::unknown;
  }
  return task;
}

void commit_table::acknowledge_records(entry_state& state,
                                       std::span<const std::uint64_t> sequences) {
  for (const auto sequence : sequences) {
    const auto position = state.records.find(sequence);
    if (position == state.records.end() || position->second.state != record_state::finished) {
      continue;
    }
    position->second.state = record_state::acknowledged;
    position->second.outcome = {};
    --state.finished;
  }
}

void commit_table::trim_records(entry_state& state) {
  auto position = state.records.begin();
  while (state.records.size() > limits_.max_records && position != state.records.end()) {
    const auto status = position->second.state;
    if (status != record_state::sealed && status != record_state::acknowledged) {
      ++position;
      continue;
    }
    if (status == record_state::acknowledged) {
      state.unknown_watermark = std::max(state.unknown_watermark, position->first);
    }
    state.sealed_watermark = std::max(state.sealed_watermark, position->first);
    position = state.records.erase(position);
  }
}

void commit_table::evict_excess_outcomes(entry_state& state) {
  while (state.finished > limits_.max_unacknowledged) {
    const auto oldest =
        std::find_if(state.records.begin(), state.records.end(),
                     [](const auto& item) { return item.second.state == record_state::finished; });
    check_invariant(oldest != state.records.end(), "the count of unacknowledged outcomes is wrong");
    state.unknown_watermark = std::max(state.unknown_watermark, oldest->first);
    state.sealed_watermark = std::max(state.sealed_watermark, oldest->first);
    state.records.erase(oldest);
    --state.finished;
    ++evicted_outcomes_;
  }
}

} // namespace parsleylead

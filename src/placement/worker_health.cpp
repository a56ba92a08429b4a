#include "parsleylead/placement/worker_health.hpp"

#include <algorithm>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {

void worker_health::add_worker(const std::string& worker) {
  workers_.try_emplace(worker);
}

std::vector<std::string> worker_health::remove_worker(const std::string& worker) {
  std::vector<std::string> readmitted;
  const auto found = workers_.find(worker);
  if (found == workers_.end()) {
    return readmitted;
  }
  clear_recent_results(found->second);
  ejected_count_ -= found->second.ejected ? 1 : 0;
  workers_.erase(found);
  while (ejected_count_ * 100 > workers_.size() * max_ejected_percent) {
    // The worker that was ejected first is re-admitted first.
    auto oldest = workers_.end();
    for (auto candidate = workers_.begin(); candidate != workers_.end(); ++candidate) {
      if (candidate->second.ejected &&
          (oldest == workers_.end() ||
           candidate->second.ejection_number < oldest->second.ejection_number)) {
        oldest = candidate;
      }
    }
    readmit(oldest->second);
    readmitted.push_back(oldest->first);
  }
  return readmitted;
}

worker_health::change worker_health::record(const std::string& worker, const std::string& kind,
                                            bool failed, monotonic_time now) {
  record_for_breaker(worker, kind, failed, now);
  const auto found = workers_.find(worker);
  if (found == workers_.end() || found->second.ejected) {
    return change::none;
  }
  auto& state = found->second;
  add_to_tallies(state, {kind, failed});
  if (state.recent_results.size() > result_window) {
    remove_from_tallies(state, state.recent_results.front());
    state.recent_results.pop_front();
  }
  if (!failed || !ejection_allowed() || !is_outlier(state)) {
    return change::none;
  }
  clear_recent_results(state);
  state.ejected = true;
  state.trial_running = false;
  state.backoff = min_backoff;
  state.trial_due_time = now + min_backoff;
  state.ejection_number = ++ejection_counter_;
  ++ejected_count_;
  return change::ejected;
}

bool worker_health::ejected(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() && found->second.ejected;
}

bool worker_health::trial_due(const std::string& worker, monotonic_time now) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() && found->second.ejected && !found->second.trial_running &&
         now >= found->second.trial_due_time;
}

void worker_health::begin_trial(const std::string& worker) {
  const auto found = workers_.find(worker);
  check_invariant(found != workers_.end() && found->second.ejected && !found->second.trial_running,
                  "worker_health: a trial is for an ejected worker without a running trial");
  found->second.trial_running = true;
}

worker_health::change worker_health::record_trial(const std::string& worker,
                                                  const std::string& kind, bool failed,
                                                  monotonic_time now) {
  record_for_breaker(worker, kind, failed, now);
  const auto found = workers_.find(worker);
  if (found == workers_.end() || !found->second.trial_running) {
    return change::none;
  }
  auto& state = found->second;
  if (!failed) {
    readmit(state);
    return change::readmitted;
  }
  state.trial_running = false;
  state.backoff = std::min(state.backoff * 2, max_backoff);
  state.trial_due_time = now + state.backoff;
  return change::none;
}

void worker_health::abandon_trial(const std::string& worker, monotonic_time now) {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || !found->second.trial_running) {
    return;
  }
  found->second.trial_running = false;
  found->second.trial_due_time = now + found->second.backoff;
}

std::optional<monotonic_time> worker_health::next_trial() const {
  std::optional<monotonic_time> next;
  for (const auto& [name, state] : workers_) {
    if (state.ejected && !state.trial_running &&
        (!next.has_value() || state.trial_due_time < *next)) {
      next = state.trial_due_time;
    }
  }
  return next;
}

bool worker_health::kind_suspended(const std::string& kind, monotonic_time now) const {
  const auto found = kinds_.find(kind);
  return found != kinds_.end() && found->second.suspended_until.has_value() &&
         now < *found->second.suspended_until;
}

void worker_health::add_to_tallies(worker_state& state, const result& value) {
  state.recent_results.push_back(value);
  state.failures += value.failed ? 1 : 0;
  auto& totals = kinds_[value.kind].totals;
  ++totals.results;
  totals.failures += value.failed ? 1 : 0;
}

void worker_health::remove_from_tallies(worker_state& state, const result& value) {
  state.failures -= value.failed ? 1 : 0;
  auto& totals = kinds_[value.kind].totals;
  --totals.results;
  totals.failures -= value.failed ? 1 : 0;
}

void worker_health::clear_recent_results(worker_state& state) {
  for (const auto& value : state.recent_results) {
    remove_from_tallies(state, value);
  }
  state.recent_results.clear();
}

void worker_health::record_for_breaker(const std::string& worker, const std::string& kind,
                                       bool failed, monotonic_time now) {
  auto& state = kinds_[kind];
  // Results of tasks that started before the breaker opened do not extend its open time.
  if (kind_suspended(kind, now)) {
    return;
  }
  if (!failed) {
    state.consecutive_failures = 0;
    state.failed_workers.clear();
    return;
  }
  ++state.consecutive_failures;
  state.failed_workers.insert(worker);
  if (state.consecutive_failures >= breaker_failures &&
      state.failed_workers.size() >= breaker_workers) {
    state.suspended_until = now + breaker_open_time;
    state.consecutive_failures = 0;
    state.failed_workers.clear();
  }
}

bool worker_health::is_outlier(const worker_state& state) const {
  if (state.failures < min_failures) {
    return false;
  }
  std::map<std::string, result_tally> own;
  for (const auto& value : state.recent_results) {
    auto& entry = own[value.kind];
    ++entry.results;
    entry.failures += value.failed ? 1 : 0;
  }
  result_tally others;
  for (const auto& [kind, entry] : own) {
    const auto& totals = kinds_.at(kind).totals;
    others.results += totals.results - entry.results;
    others.failures += totals.failures - entry.failures;
  }
  // Outlier: the others' failure rate is less than half of the worker's own. Without division:
  // others.failures / others.results < failures / results / 2.
  return others.results > 0 &&
         2 * others.failures * state.recent_results.size() < state.failures * others.results;
}

bool worker_health::ejection_allowed() const {
  return (ejected_count_ + 1) * 100 <= workers_.size() * max_ejected_percent;
}

void worker_health::readmit(worker_state& state) {
  state = worker_state();
  --ejected_count_;
}

} // namespace parsleylead

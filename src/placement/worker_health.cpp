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
  clear_window(found->second);
  ejected_ -= found->second.ejected ? 1 : 0;
  workers_.erase(found);
  while (ejected_ * 100 > workers_.size() * max_ejected_percent) {
    // The worker ejected first goes back first.
    auto oldest = workers_.end();
    for (auto each = workers_.begin(); each != workers_.end(); ++each) {
      if (each->second.ejected &&
          (oldest == workers_.end() || each->second.ejection < oldest->second.ejection)) {
        oldest = each;
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
  count(state, {kind, failed});
  if (state.recent.size() > window) {
    uncount(state, state.recent.front());
    state.recent.pop_front();
  }
  if (!failed || !may_eject() || !is_outlier(state)) {
    return change::none;
  }
  clear_window(state);
  state.ejected = true;
  state.on_trial = false;
  state.backoff = min_backoff;
  state.trial_at = now + min_backoff;
  state.ejection = ++ejections_;
  ++ejected_;
  return change::ejected;
}

bool worker_health::ejected(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() && found->second.ejected;
}

bool worker_health::trial_due(const std::string& worker, monotonic_time now) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() && found->second.ejected && !found->second.on_trial &&
         now >= found->second.trial_at;
}

void worker_health::begin_trial(const std::string& worker) {
  const auto found = workers_.find(worker);
  check_invariant(found != workers_.end() && found->second.ejected && !found->second.on_trial,
                  "an ejected worker has one trial at a time");
  found->second.on_trial = true;
}

worker_health::change worker_health::record_trial(const std::string& worker,
                                                  const std::string& kind, bool failed,
                                                  monotonic_time now) {
  record_for_breaker(worker, kind, failed, now);
  const auto found = workers_.find(worker);
  if (found == workers_.end() || !found->second.on_trial) {
    return change::none;
  }
  auto& state = found->second;
  if (!failed) {
    readmit(state);
    return change::readmitted;
  }
  state.on_trial = false;
  state.backoff = std::min(state.backoff * 2, max_backoff);
  state.trial_at = now + state.backoff;
  return change::none;
}

void worker_health::abandon_trial(const std::string& worker, monotonic_time now) {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || !found->second.on_trial) {
    return;
  }
  found->second.on_trial = false;
  found->second.trial_at = now + found->second.backoff;
}

std::optional<monotonic_time> worker_health::next_trial() const {
  std::optional<monotonic_time> next;
  for (const auto& [name, state] : workers_) {
    if (state.ejected && !state.on_trial && (!next.has_value() || state.trial_at < *next)) {
      next = state.trial_at;
    }
  }
  return next;
}

bool worker_health::kind_suspended(const std::string& kind, monotonic_time now) const {
  const auto found = kinds_.find(kind);
  return found != kinds_.end() && found->second.suspended_until.has_value() &&
         now < *found->second.suspended_until;
}

void worker_health::count(worker_state& state, const result& value) {
  state.recent.push_back(value);
  state.failures += value.failed ? 1 : 0;
  auto& all = kinds_[value.kind].all;
  ++all.results;
  all.failures += value.failed ? 1 : 0;
}

void worker_health::uncount(worker_state& state, const result& value) {
  state.failures -= value.failed ? 1 : 0;
  auto& all = kinds_[value.kind].all;
  --all.results;
  all.failures -= value.failed ? 1 : 0;
}

void worker_health::clear_window(worker_state& state) {
  for (const auto& value : state.recent) {
    uncount(state, value);
  }
  state.recent.clear();
}

void worker_health::record_for_breaker(const std::string& worker, const std::string& kind,
                                       bool failed, monotonic_time now) {
  auto& state = kinds_[kind];
  // Results of tasks that started before the stop do not extend it.
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
    state.suspended_until = now + breaker_time;
    state.consecutive_failures = 0;
    state.failed_workers.clear();
  }
}

bool worker_health::is_outlier(const worker_state& state) const {
  if (state.failures < min_failures) {
    return false;
  }
  std::map<std::string, tally> own;
  for (const auto& value : state.recent) {
    auto& entry = own[value.kind];
    ++entry.results;
    entry.failures += value.failed ? 1 : 0;
  }
  tally others;
  for (const auto& [kind, entry] : own) {
    const auto& all = kinds_.at(kind).all;
    others.results += all.results - entry.results;
    others.failures += all.failures - entry.failures;
  }
  // others.failures / others.results < failures / results / 2
  return others.results > 0 &&
         2 * others.failures * state.recent.size() < state.failures * others.results;
}

bool worker_health::may_eject() const {
  return (ejected_ + 1) * 100 <= workers_.size() * max_ejected_percent;
}

void worker_health::readmit(worker_state& state) {
  state = worker_state();
  --ejected_;
}

} // namespace parsleylead

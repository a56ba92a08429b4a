#include "parsleylead/placement/demand_tracker.hpp"

#include <algorithm>

namespace parsleylead {

void demand_tracker::add_worker(const std::string& worker) {
  // The time of the last `want` stays, so that reopened sessions do not repeat it faster.
  workers_[worker].told = 0;
  untold_.insert(worker);
}

void demand_tracker::remove_worker(const std::string& worker) {
  workers_.erase(worker);
  untold_.erase(worker);
}

void demand_tracker::set_demand(const demand& current) {
  if (!waiting_ && !current.none()) {
    ++rise_;
  }
  waiting_ = !current.none();
  waiting_tasks_ = current.waiting;
}

std::vector<std::string>
demand_tracker::wants_due(bool credit_available, monotonic_time now,
                          const std::function<bool(const std::string&)>& serves_waiting) {
  std::vector<std::string> due;
  next_due_.reset();
  if (!waiting_ || credit_available) {
    return due;
  }
  if (untold_rise_ != rise_) {
    untold_rise_ = rise_;
    untold_.clear();
    for (const auto& [name, state] : workers_) {
      if (state.told != rise_) {
        untold_.insert(untold_.end(), name);
      }
    }
  }
  if (batch_rise_ != rise_ || now >= batch_at_ + batch_interval) {
    batch_rise_ = rise_;
    batch_at_ = now;
    asked_ = 0;
  }
  std::vector<std::string> candidates(untold_.upper_bound(last_asked_), untold_.end());
  candidates.insert(candidates.end(), untold_.begin(), untold_.upper_bound(last_asked_));
  for (const auto& name : candidates) {
    if (asked_ >= waiting_tasks_ * wants_per_task) {
      const auto next_batch = batch_at_ + batch_interval;
      next_due_ = std::min(next_due_.value_or(next_batch), next_batch);
      break;
    }
    if (!serves_waiting(name)) {
      continue;
    }
    auto& state = workers_.at(name);
    const auto allowed_at = state.last_want.value_or(now - min_want_interval) + min_want_interval;
    if (allowed_at > now) {
      next_due_ = std::min(next_due_.value_or(allowed_at), allowed_at);
      continue;
    }
    state.told = rise_;
    state.last_want = now;
    ++asked_;
    last_asked_ = name;
    due.push_back(name);
  }
  for (const auto& name : due) {
    untold_.erase(name);
  }
  return due;
}

void demand_tracker::dispatched(const std::string& worker, const demand& carried) {
  const auto found = workers_.find(worker);
  if (found == workers_.end()) {
    return;
  }
  if (carried.none()) {
    found->second.told = 0;
    untold_.insert(worker);
  } else {
    found->second.told = rise_;
    untold_.erase(worker);
  }
}

void demand_tracker::granted(const std::string& worker) {
  const auto found = open_wants_.find(worker);
  if (found != open_wants_.end()) {
    found->second.granted = std::min(found->second.granted + 1, found->second.sent);
  }
}

void demand_tracker::spent(const std::string& worker) {
  const auto found = open_wants_.find(worker);
  if (found == open_wants_.end() || found->second.granted == 0) {
    return;
  }
  --found->second.granted;
  --found->second.sent;
}

std::uint64_t demand_tracker::take_wasted_wants() {
  if (waiting_) {
    return 0;
  }
  std::uint64_t wasted = 0;
  for (const auto& [worker, use] : open_wants_) {
    wasted += use.sent;
  }
  open_wants_.clear();
  return wasted;
}

std::uint32_t credits_to_give_back(const worker_view& worker, bool entry_leaving) {
  return worker.ejected || entry_leaving ? worker.credits : 0;
}

} // namespace parsleylead

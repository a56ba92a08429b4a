#include "parsleylead/placement/demand_tracker.hpp"

#include <algorithm>

namespace parsleylead {

void demand_tracker::add_worker(const std::string& worker) {
  // The time of the last `want` is kept, so that `min_want_interval` also holds across sessions.
  workers_[worker].informed_generation = 0;
  uninformed_workers_.insert(worker);
}

void demand_tracker::remove_worker(const std::string& worker) {
  workers_.erase(worker);
  uninformed_workers_.erase(worker);
}

void demand_tracker::set_demand(const demand& current) {
  if (!has_demand_ && !current.none()) {
    ++demand_generation_;
  }
  has_demand_ = !current.none();
  waiting_tasks_ = current.waiting;
}

std::vector<std::string>
demand_tracker::due_wants(bool credit_available, monotonic_time now,
                          const std::function<bool(const std::string&)>& serves_waiting) {
  std::vector<std::string> due;
  next_due_.reset();
  if (!has_demand_ || credit_available) {
    return due;
  }
  if (uninformed_generation_ != demand_generation_) {
    uninformed_generation_ = demand_generation_;
    uninformed_workers_.clear();
    for (const auto& [name, state] : workers_) {
      if (state.informed_generation != demand_generation_) {
        uninformed_workers_.insert(uninformed_workers_.end(), name);
      }
    }
  }
  if (batch_generation_ != demand_generation_ || now >= batch_start_ + batch_interval) {
    batch_generation_ = demand_generation_;
    batch_start_ = now;
    batch_wants_ = 0;
  }
  std::vector<std::string> candidates(uninformed_workers_.upper_bound(last_asked_worker_),
                                      uninformed_workers_.end());
  candidates.insert(candidates.end(), uninformed_workers_.begin(),
                    uninformed_workers_.upper_bound(last_asked_worker_));
  for (const auto& name : candidates) {
    if (batch_wants_ >= waiting_tasks_ * workers_asked_per_task) {
      const auto next_batch = batch_start_ + batch_interval;
      next_due_ = std::min(next_due_.value_or(next_batch), next_batch);
      break;
    }
    if (!serves_waiting(name)) {
      continue;
    }
    auto& state = workers_.at(name);
    const auto allowed_at =
        state.last_want_time.value_or(now - min_want_interval) + min_want_interval;
    if (allowed_at > now) {
      next_due_ = std::min(next_due_.value_or(allowed_at), allowed_at);
      continue;
    }
    state.informed_generation = demand_generation_;
    state.last_want_time = now;
    ++batch_wants_;
    last_asked_worker_ = name;
    due.push_back(name);
  }
  for (const auto& name : due) {
    uninformed_workers_.erase(name);
  }
  return due;
}

void demand_tracker::dispatch_sent(const std::string& worker, const demand& carried) {
  const auto found = workers_.find(worker);
  if (found == workers_.end()) {
    return;
  }
  if (carried.none()) {
    found->second.informed_generation = 0;
    uninformed_workers_.insert(worker);
  } else {
    found->second.informed_generation = demand_generation_;
    uninformed_workers_.erase(worker);
  }
}

void demand_tracker::credit_granted(const std::string& worker) {
  const auto found = open_wants_.find(worker);
  if (found != open_wants_.end()) {
    found->second.granted = std::min(found->second.granted + 1, found->second.sent);
  }
}

void demand_tracker::credit_spent(const std::string& worker) {
  const auto found = open_wants_.find(worker);
  if (found == open_wants_.end() || found->second.granted == 0) {
    return;
  }
  --found->second.granted;
  --found->second.sent;
}

std::uint64_t demand_tracker::take_wasted_want_count() {
  if (has_demand_) {
    return 0;
  }
  std::uint64_t wasted = 0;
  for (const auto& [worker, use] : open_wants_) {
    wasted += use.sent;
  }
  open_wants_.clear();
  return wasted;
}

std::uint32_t credits_to_return(const worker_view& worker, bool entry_leaving) {
  return worker.ejected || entry_leaving ? worker.credits : 0;
}

} // namespace parsleylead

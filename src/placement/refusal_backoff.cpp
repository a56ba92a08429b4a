#include "parsleylead/placement/refusal_backoff.hpp"

#include <algorithm>

namespace parsleylead {

void refusal_backoff::record_refusal(const std::string& worker, monotonic_time now) {
  auto& state = workers_[worker];
  if (state.active) {
    return;
  }
  state.backoff = std::clamp(state.backoff * 2, min_backoff, max_backoff);
  state.backoff_end = now + state.backoff;
  state.active = true;
}

bool refusal_backoff::active(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() && found->second.active;
}

std::vector<std::string> refusal_backoff::take_ended_backoffs(monotonic_time now) {
  std::vector<std::string> ended;
  for (auto& [worker, state] : workers_) {
    if (state.active && state.backoff_end <= now) {
      state.active = false;
      ended.push_back(worker);
    }
  }
  return ended;
}

std::optional<monotonic_time> refusal_backoff::next_backoff_end() const {
  std::optional<monotonic_time> next;
  for (const auto& [worker, state] : workers_) {
    if (state.active && (!next || state.backoff_end < *next)) {
      next = state.backoff_end;
    }
  }
  return next;
}

} // namespace parsleylead

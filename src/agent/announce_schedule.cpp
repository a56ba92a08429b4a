#include "announce_schedule.hpp"

#include <algorithm>

namespace parsleylead {

std::vector<endpoint> announce_schedule::due(const std::set<endpoint>& connected,
                                             monotonic_time now) {
  std::vector<endpoint> result;
  for (auto& [address, state] : entries_) {
    if (connected.contains(address)) {
      state.failures = 0;
      continue;
    }
    if (state.in_progress || now < state.next_announcement) {
      continue;
    }
    state.in_progress = true;
    state.interval = std::clamp(state.interval * 2, interval_, max_interval_);
    state.next_announcement = now + state.interval;
    result.push_back(address);
  }
  return result;
}

void announce_schedule::on_announced(const endpoint& address, bool reachable) {
  const auto position = entries_.find(address);
  if (position == entries_.end()) {
    return;
  }
  auto& state = position->second;
  state.in_progress = false;
  state.failures = reachable ? 0 : state.failures + 1;
  if (!state.seed && state.failures >= max_failures) {
    entries_.erase(position);
  }
}

void announce_schedule::reset(const endpoint& address) {
  const auto position = entries_.find(address);
  if (position != entries_.end()) {
    position->second.interval = std::chrono::milliseconds{0};
    position->second.next_announcement = {};
  }
}

std::vector<endpoint> announce_schedule::entries() const {
  std::vector<endpoint> result;
  for (const auto& [address, state] : entries_) {
    result.push_back(address);
  }
  return result;
}

} // namespace parsleylead

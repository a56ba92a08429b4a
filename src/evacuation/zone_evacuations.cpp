#include "parsleylead/evacuation/zone_evacuations.hpp"

#include <algorithm>
#include <utility>

namespace parsleylead {

std::vector<zone_change> zone_evacuations::merge(const evacuation_state& reported) {
  if (state_ && reported.as_of <= state_->as_of) {
    return {};
  }
  const auto previous = std::exchange(state_, reported);
  std::vector<zone_change> changes;
  for (const auto& zone : reported.zones) {
    if (!previous || !previous->zones.contains(zone)) {
      changes.push_back({zone, true});
    }
  }
  if (previous) {
    for (const auto& zone : previous->zones) {
      if (!reported.zones.contains(zone)) {
        changes.push_back({zone, false});
      }
    }
  }
  return changes;
}

std::vector<zone_change> zone_evacuations::apply_records(std::uint64_t as_of, bool complete,
                                                         const std::vector<zone_change>& records) {
  evacuation_state read{as_of, {}};
  if (!complete && state_) {
    // A peer may have reported some of these records before. The last record of each zone decides,
    // so applying them again changes nothing.
    read.zones = state_->zones;
  }
  for (const auto& [zone, evacuated] : records) {
    if (evacuated) {
      read.zones.insert(zone);
    } else {
      read.zones.erase(zone);
    }
  }
  return merge(read);
}

bool zone_evacuations::is_evacuated(std::string_view zone) const {
  return state_ && state_->zones.contains(std::string(zone));
}

std::string describe(const evacuation_state& state) {
  std::string text;
  for (const auto& zone : state.zones) {
    text += (text.empty() ? "" : " ") + zone;
  }
  return text;
}

} // namespace parsleylead

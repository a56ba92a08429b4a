#include "parsleylead/web/shed_order.hpp"

#include <tuple>

namespace parsleylead {

void shed_order::set(connection_id connection, request_phase phase, monotonic_time now) {
  const auto [found, added] = phases_.try_emplace(connection, phase, now);
  if (!added) {
    if (found->second.first == phase) {
      return;
    }
    const auto [old_phase, since] = found->second;
    by_age_.at(static_cast<std::size_t>(old_phase)).erase({since, connection});
    found->second = {phase, now};
  }
  by_age_.at(static_cast<std::size_t>(phase)).insert({now, connection});
}

void shed_order::remove(connection_id connection) {
  const auto found = phases_.find(connection);
  if (found == phases_.end()) {
    return;
  }
  const auto [phase, since] = found->second;
  by_age_.at(static_cast<std::size_t>(phase)).erase({since, connection});
  phases_.erase(found);
}

std::optional<shed_candidate> shed_order::oldest(request_phase phase) const {
  const auto& candidates = by_age_.at(static_cast<std::size_t>(phase));
  if (candidates.empty()) {
    return std::nullopt;
  }
  return shed_candidate{candidates.begin()->second, phase, candidates.begin()->first};
}

std::optional<shed_candidate> shed_order::next_for_memory() const {
  const auto incomplete = oldest(request_phase::incomplete);
  return incomplete ? incomplete : oldest(request_phase::complete);
}

std::optional<shed_candidate> shed_order::next_for_connection() const {
  const auto idle = oldest(request_phase::idle);
  const auto incomplete = oldest(request_phase::incomplete);
  if (!idle || !incomplete) {
    return idle ? idle : incomplete;
  }
  return idle->since <= incomplete->since ? idle : incomplete;
}

bool sheds_before(const shed_candidate& a, const shed_candidate& b) {
  return std::tuple(a.phase, a.since) < std::tuple(b.phase, b.since);
}

} // namespace parsleylead

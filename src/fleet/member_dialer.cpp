#include "parsleylead/fleet/member_dialer.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace parsleylead {

using std::chrono::milliseconds;

member_dialer::member_dialer(link_timing timing, std::string own_name, std::string own_zone,
                             std::string own_address, std::size_t max_links,
                             link_preference preference)
    : timing_(timing), own_name_(std::move(own_name)), own_zone_(std::move(own_zone)),
      own_address_(std::move(own_address)), max_links_(max_links), preference_(preference) {}

bool member_dialer::learn(const std::vector<fleet_member>& members, monotonic_time now) {
  bool changed = false;
  for (const auto& member : members) {
    if (member.address.empty() || member.address == own_address_) {
      continue;
    }
    const auto [position, added] = members_.try_emplace(member.address);
    auto& known = position->second;
    if (added) {
      known.last_reachable = now;
    }
    if (added) {
      known.member = member;
      known.next_attempt = now;
      known.backoff = timing_.reconnect_delay;
      changed = true;
    } else if (!member.name.empty() && !known.linked && known.member != member) {
      known.member = member;
      // There may be a new process at the address. The backoff stays, since reports of two
      // incarnations may alternate while the address is unreachable.
      known.next_attempt = std::min(known.next_attempt, now + timing_.reconnect_delay);
      changed = true;
    }
  }
  return changed;
}

bool member_dialer::confirm(const fleet_member& member, monotonic_time now) {
  if (member.address.empty() || member.address == own_address_) {
    return false;
  }
  const auto [position, added] = members_.try_emplace(member.address);
  auto& known = position->second;
  if (added) {
    known.next_attempt = now;
  }
  known.last_reachable = now;
  known.backoff = timing_.reconnect_delay;
  known.greeted = known.linked;
  known.member = member;
  return std::exchange(known.confirmed, member.incarnation) != member.incarnation;
}

std::vector<member_dialer::known_member*> member_dialer::by_preference() {
  // By failing, position (of each two, one in another zone), zone and hash.
  using rank = std::tuple<bool, std::size_t, bool, std::size_t>;
  std::vector<std::pair<rank, known_member*>> ranked;
  for (auto& [address, known] : members_) {
    const bool same_zone = known.member.availability_zone == own_zone_;
    // An entry that keeps failing does not use up a link.
    const bool failing = !known.linked && known.backoff >= timing_.max_reconnect_delay;
    ranked.push_back(
        {{failing, 0, !same_zone, std::hash<std::string>{}(own_name_ + "@" + address)}, &known});
  }
  const auto sort = [&] {
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
  };
  sort();
  if (preference_ == link_preference::all_zones) {
    std::size_t in_own_zone = 0;
    std::size_t in_others = 0;
    for (auto& [key, known] : ranked) {
      std::get<1>(key) = std::get<2>(key) ? in_others++ : in_own_zone++;
    }
    sort();
  }
  std::vector<known_member*> ordered;
  ordered.reserve(ranked.size());
  for (const auto& [key, known] : ranked) {
    ordered.push_back(known);
  }
  return ordered;
}

std::vector<std::string> member_dialer::due(monotonic_time now) {
  std::erase_if(members_, [&](const auto& each) {
    const auto& known = each.second;
    return !known.linked && !known.dialling && now - known.last_reachable > timing_.member_expiry;
  });
  std::vector<std::string> addresses;
  std::size_t used_links = 0;
  bool full = false;
  for (auto* each : by_preference()) {
    if (each->linked) {
      ++used_links;
      continue;
    }
    const bool failing = each->backoff >= timing_.max_reconnect_delay;
    full = full || (used_links >= max_links_ && !failing);
    if (full && each->requested_until <= now) {
      continue;
    }
    used_links += failing ? 0 : 1;
    if (!each->dialling && each->next_attempt <= now) {
      each->dialling = true;
      addresses.push_back(each->member.address);
    }
  }
  return addresses;
}

void member_dialer::linked(const std::string& address, monotonic_time now) {
  const auto found = members_.find(address);
  if (found != members_.end()) {
    found->second.dialling = false;
    found->second.linked = true;
    found->second.greeted = false;
    found->second.last_reachable = now;
  }
}

milliseconds member_dialer::refused_delay(const known_member& refused, monotonic_time now) const {
  // An entry that requests a link repeats the request.
  if (refused.requested_until > now || 2 * links() >= std::min(max_links_, members_.size())) {
    return refused.backoff;
  }
  const auto interval =
      std::max(timing_.reconnect_delay,
               timing_.scarce_dial_interval * static_cast<std::int64_t>(members_.size()));
  return std::min(refused.backoff, interval);
}

void member_dialer::lost(const std::string& address, monotonic_time now) {
  const auto found = members_.find(address);
  if (found == members_.end()) {
    return;
  }
  auto& known = found->second;
  const bool refused = !known.linked;
  if (known.linked && known.greeted) {
    known.last_reachable = now;
    known.backoff = std::chrono::milliseconds{0};
  }
  known.dialling = false;
  known.linked = false;
  known.next_attempt = now + (refused ? refused_delay(known, now) : known.backoff);
  known.backoff =
      std::clamp(known.backoff * 2, timing_.reconnect_delay, timing_.max_reconnect_delay);
}

bool member_dialer::request(const fleet_member& member, monotonic_time until,
                            std::size_t max_requested, monotonic_time now) {
  if (member.address.empty() || member.address == own_address_) {
    return false;
  }
  const auto known = members_.find(member.address);
  const bool requested = known != members_.end() && known->second.requested_until > now;
  if (!requested && requests(now) >= max_requested) {
    return false;
  }
  learn({member}, now);
  auto& target = members_.at(member.address);
  if (!requested && !target.linked) {
    target.next_attempt = now;
  }
  target.requested_until = std::max(target.requested_until, until);
  return true;
}

void member_dialer::extend_request(const std::string& address, monotonic_time until,
                                   monotonic_time now) {
  const auto found = members_.find(address);
  if (found != members_.end() && found->second.requested_until > now) {
    found->second.requested_until = std::max(found->second.requested_until, until);
  }
}

std::size_t member_dialer::requests(monotonic_time now) const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [now](const auto& each) { return each.second.requested_until > now; }));
}

bool member_dialer::is_preferred(const std::string& address) {
  const auto ranked = by_preference();
  const auto end =
      ranked.begin() + static_cast<std::ptrdiff_t>(std::min(max_links_, ranked.size()));
  return std::any_of(ranked.begin(), end,
                     [&](const known_member* each) { return each->member.address == address; });
}

std::vector<std::string> member_dialer::surplus(monotonic_time now) {
  std::vector<std::string> addresses;
  std::size_t kept = 0;
  for (const auto* each : by_preference()) {
    if (each->linked && each->greeted && ++kept > max_links_ && each->requested_until <= now) {
      addresses.push_back(each->member.address);
    }
  }
  return addresses;
}

std::vector<fleet_member> member_dialer::linked_members() const {
  std::vector<fleet_member> linked;
  for (const auto& [address, known] : members_) {
    if (known.linked && !known.member.name.empty()) {
      linked.push_back(known.member);
    }
  }
  return linked;
}

std::size_t member_dialer::links() const {
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(), [](const auto& each) { return each.second.linked; }));
}

} // namespace parsleylead

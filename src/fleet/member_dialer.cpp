#include "parsleylead/fleet/member_dialer.hpp"

#include <algorithm>
#include <functional>

namespace parsleylead {

member_dialer::member_dialer(link_timing timing, std::string own_name, std::string own_zone,
                             std::string own_address, std::size_t max_links)
    : timing_(timing), own_name_(std::move(own_name)), own_zone_(std::move(own_zone)),
      own_address_(std::move(own_address)), max_links_(max_links) {}

bool member_dialer::learn(const std::vector<fleet_member>& members, monotonic_time now) {
  bool news = false;
  for (const auto& each : members) {
    if (each.address.empty() || each.address == own_address_) {
      continue;
    }
    const auto [at, added] = members_.try_emplace(each.address);
    auto& known = at->second;
    if (added) {
      known.last_reachable = now;
    }
    if (added || (!each.name.empty() && known.member != each)) {
      known.member = each;
      // A new process at the address is worth an attempt at once.
      known.next_attempt = now;
      known.backoff = timing_.reconnect_delay;
      news = true;
    }
  }
  return news;
}

std::vector<member_dialer::known_member*> member_dialer::by_preference() {
  std::vector<std::pair<std::pair<int, std::size_t>, known_member*>> keyed;
  for (auto& [address, each] : members_) {
    const bool near = each.member.availability_zone == own_zone_;
    // An entry that has failed for a while makes room for the next one.
    const bool failing = !each.linked && each.backoff >= timing_.max_reconnect_delay;
    keyed.push_back(
        {{(failing ? 2 : 0) + (near ? 0 : 1), std::hash<std::string>{}(own_name_ + "@" + address)},
         &each});
  }
  std::sort(keyed.begin(), keyed.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<known_member*> all;
  all.reserve(keyed.size());
  for (const auto& [key, each] : keyed) {
    all.push_back(each);
  }
  return all;
}

std::vector<std::string> member_dialer::due(monotonic_time now) {
  std::erase_if(members_, [&](const auto& each) {
    const auto& known = each.second;
    return !known.linked && !known.dialling && now - known.last_reachable > timing_.member_expiry;
  });
  std::vector<std::string> addresses;
  std::size_t used = 0;
  for (auto* each : by_preference()) {
    if (each->linked) {
      ++used;
      continue;
    }
    const bool failing = each->backoff >= timing_.max_reconnect_delay;
    if (used >= max_links_ && !failing) {
      break;
    }
    used += failing ? 0 : 1;
    if (!each->dialling && each->next_attempt <= now && (used <= max_links_ || failing)) {
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
    found->second.backoff = timing_.reconnect_delay;
    found->second.last_reachable = now;
  }
}

void member_dialer::lost(const std::string& address, monotonic_time now) {
  const auto found = members_.find(address);
  if (found == members_.end()) {
    return;
  }
  auto& each = found->second;
  if (each.linked) {
    each.last_reachable = now;
    each.backoff = std::chrono::milliseconds{0};
  }
  each.dialling = false;
  each.linked = false;
  each.next_attempt = now + each.backoff;
  each.backoff = std::clamp(each.backoff * 2, timing_.reconnect_delay, timing_.max_reconnect_delay);
}

std::vector<fleet_member> member_dialer::linked_members() const {
  std::vector<fleet_member> all;
  for (const auto& [address, each] : members_) {
    if (each.linked && !each.member.name.empty()) {
      all.push_back(each.member);
    }
  }
  return all;
}

std::size_t member_dialer::links() const {
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(), [](const auto& each) { return each.second.linked; }));
}

} // namespace parsleylead

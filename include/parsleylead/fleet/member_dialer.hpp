#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/fleet_frame.hpp"
#include "parsleylead/fleet/link_timing.hpp"

namespace parsleylead {

/// The entries that a process knows, by address, and when to connect to them. Pure: the owner makes
/// the connections and reports how they went. Not thread-safe.
class member_dialer {
public:
  /// `own_address` is never dialled. At most `max_links` entries are dialled or linked at a time:
  /// first those of the own availability zone, the others in an order that differs for each name,
  /// so that the load of many processes spreads over all entries.
  member_dialer(link_timing timing, std::string own_name, std::string own_zone,
                std::string own_address, std::size_t max_links);

  /// Adds or renews what is known about entries. A member without a name is only an address.
  /// Returns whether anything new was learnt.
  bool learn(const std::vector<fleet_member>& members, monotonic_time now);

  /// Addresses to dial now. Each is marked as being dialled.
  std::vector<std::string> due(monotonic_time now);
  void linked(const std::string& address, monotonic_time now);
  /// The attempt failed or the link broke.
  void lost(const std::string& address, monotonic_time now);

  /// Members with a link, named ones only.
  std::vector<fleet_member> linked_members() const;
  std::size_t links() const;
  /// Links beyond the number stay open.
  void set_max_links(std::size_t links) { max_links_ = links; }
  std::size_t known() const { return members_.size(); }

private:
  struct known_member {
    fleet_member member;
    bool dialling = false;
    bool linked = false;
    std::chrono::milliseconds backoff{0};
    monotonic_time next_attempt{};
    monotonic_time last_reachable{};
  };

  std::vector<known_member*> by_preference();

  link_timing timing_;
  std::string own_name_;
  std::string own_zone_;
  std::string own_address_;
  std::size_t max_links_;
  std::map<std::string, known_member> members_;
};

} // namespace parsleylead

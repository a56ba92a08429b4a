#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/fleet_frame.hpp"
#include "parsleylead/fleet/link_timing.hpp"

namespace parsleylead {

/// Which entries a process prefers to link to.
enum class link_preference : std::uint8_t {
  /// Those of its own availability zone.
  own_zone,
  /// As many of its own availability zone as of others.
  all_zones,
};

/// Tracks the known entries by address and decides when to connect to them. Does no I/O: the caller
/// makes the connections and reports their outcome. Not thread-safe.
class member_dialer {
public:
  /// `own_address` is never dialled. At most `max_links` entries are dialled or linked at a time.
  /// Within a zone their order depends on `own_name`, so that many processes spread their links
  /// over all entries.
  member_dialer(link_timing timing, std::string own_name, std::string own_zone,
                std::string own_address, std::size_t max_links,
                link_preference preference = link_preference::own_zone);

  /// Adds or updates entries that others reported. A report may be outdated, so it changes nothing
  /// about an entry with a link. A member without a name is only an address to dial. Returns
  /// whether anything changed.
  bool learn(const std::vector<fleet_member>& members, monotonic_time now);
  /// The entry itself said who it is. Returns true the first time for each incarnation.
  bool confirm(const fleet_member& member, monotonic_time now);

  /// Returns the addresses to dial now and marks them as being dialled.
  std::vector<std::string> due(monotonic_time now);
  void linked(const std::string& address, monotonic_time now);
  /// The connection attempt failed or the link broke. A link that broke is dialled again at once,
  /// unless it ended before `confirm`.
  void lost(const std::string& address, monotonic_time now);

  /// Returns the addresses of the least preferred links beyond `max_links`, which come from
  /// connecting to seeds, to replacements of entries that have returned, and to entries whose
  /// requests have ended. The caller closes them and reports each with `lost`.
  std::vector<std::string> surplus(monotonic_time now);

  /// An entry requests a link until a time: it is dialled and its link is kept in addition to
  /// `max_links`. Does nothing and returns false if `max_requested` others have open requests.
  bool request(const fleet_member& member, monotonic_time until, std::size_t max_requested,
               monotonic_time now);
  /// Extends the request for a link if it has not ended.
  void extend_request(const std::string& address, monotonic_time until, monotonic_time now);
  /// Number of entries with open requests.
  std::size_t requests(monotonic_time now) const;
  /// Returns whether the entry is one of the `max_links` preferred ones.
  bool is_preferred(const std::string& address);

  /// Returns the members with a link whose name is known.
  std::vector<fleet_member> linked_members() const;
  std::size_t links() const;
  /// Existing links beyond the new limit stay open.
  void set_max_links(std::size_t links) { max_links_ = links; }
  std::size_t known() const { return members_.size(); }

private:
  struct known_member {
    fleet_member member;
    bool dialling = false;
    bool linked = false;
    /// `confirm` was called since the link was made.
    bool greeted = false;
    std::chrono::milliseconds backoff{0};
    monotonic_time next_attempt{};
    monotonic_time last_reachable{};
    /// When the entry's request for a link ends.
    monotonic_time requested_until{};
    /// Incarnation of the last `confirm`.
    std::optional<std::uint64_t> confirmed;
  };

  /// Returns the delay of the next attempt after a refused connection.
  std::chrono::milliseconds refused_delay(const known_member& refused, monotonic_time now) const;
  std::vector<known_member*> by_preference();

  link_timing timing_;
  std::string own_name_;
  std::string own_zone_;
  std::string own_address_;
  std::size_t max_links_;
  link_preference preference_;
  std::map<std::string, known_member> members_;
};

} // namespace parsleylead

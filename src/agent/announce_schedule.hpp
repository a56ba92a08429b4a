#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// Decides when the agent announces itself to which entry: at once, then with an interval that
/// doubles up to a maximum, as long as the entry has no session (design, D7).
class announce_schedule {
public:
  announce_schedule(std::chrono::milliseconds interval, std::chrono::milliseconds max_interval)
      : interval_(interval), max_interval_(max_interval) {}

  /// Adds an entry from the settings; it is never forgotten.
  void add_seed(const endpoint& address) { entries_[address].seed = true; }

  /// Adds an entry that another process told of. It is forgotten after `max_failures` failures in a
  /// row, so that replaced entries do not pile up.
  void add(const endpoint& address) { entries_.try_emplace(address); }

  /// Entries to announce to now; each one is then busy until `on_announced`. `connected` holds the
  /// addresses of the entries that have a session.
  std::vector<endpoint> due(const std::set<endpoint>& connected, monotonic_time now);

  /// An announcement ended.
  void on_announced(const endpoint& address, bool reachable);

  /// A session of the entry ended: announce again at once, from the shortest interval on.
  void reset(const endpoint& address);

  std::size_t size() const { return entries_.size(); }
  std::vector<endpoint> entries() const;

private:
  static constexpr std::uint32_t max_failures = 20;

  struct entry_state {
    bool seed = false;
    bool in_progress = false;
    std::uint32_t failures = 0;
    std::chrono::milliseconds interval{0};
    monotonic_time next_announcement{};
  };

  std::chrono::milliseconds interval_;
  std::chrono::milliseconds max_interval_;
  std::map<endpoint, entry_state> entries_;
};

} // namespace parsleylead

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// Schedules the agent's announcements to each entry without a session: immediately, then with
/// exponential backoff up to a maximum interval (design, D7).
class announce_schedule {
public:
  announce_schedule(std::chrono::milliseconds interval, std::chrono::milliseconds max_interval)
      : interval_(interval), max_interval_(max_interval) {}

  /// Adds an entry from the settings; it is never removed.
  void add_seed(const endpoint& address) { entries_[address].seed = true; }

  /// Adds an entry learned from another process. It is removed after `max_failures` consecutive
  /// failures, so that replaced entries don't accumulate.
  void add(const endpoint& address) { entries_.try_emplace(address); }

  /// Returns the entries to announce to now and marks them as in progress until `on_announced`.
  /// `connected` holds the addresses of the entries that have a session.
  std::vector<endpoint> due(const std::set<endpoint>& connected, monotonic_time now);

  /// Ends the announcement in progress to the entry.
  void on_announced(const endpoint& address, bool reachable);

  /// Restarts the backoff after a session of the entry ended; the next announcement is due at once.
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

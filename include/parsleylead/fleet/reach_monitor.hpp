#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/run_types.hpp"
#include "parsleylead/fleet/worker_search.hpp"

namespace parsleylead {

struct reach_settings {
  /// Idle workers are requested while less than this share of the CPU in reach is free, or less
  /// than what arrives within `arrival_time`.
  double min_free_share = 0.25;
  std::chrono::milliseconds arrival_time{100};
  /// Requested sessions are released when, without them, this share of the CPU in reach would be
  /// free.
  double release_free_share = 0.5;
  /// Interval of the checks.
  std::chrono::milliseconds check_interval{20};
  /// Delay before the next request; doubles up to `max_interval` while no worker is added.
  std::chrono::milliseconds first_interval{100};
  std::chrono::milliseconds max_interval{2'000};
  /// Arrivals are counted over this time to twice as long.
  std::chrono::milliseconds arrival_window{500};
  /// Tasks of a shape that has not been placed for this long need no workers in reserve.
  std::chrono::milliseconds retention{3'000};
  /// Bounds the shapes of tasks that are watched.
  std::size_t max_shapes = 8;
  /// An entry with this many sessions of agents requests no idle workers. Each session costs a
  /// descriptor and up to 25 status reports a second.
  std::size_t max_sessions = 96;
  /// After a turn of the event loop was this late, the process has too little CPU to request
  /// sessions in advance for `overload_time`. A process with a small share of a CPU is suspended
  /// for less than 100 ms at a time.
  std::chrono::milliseconds max_loop_delay{100};
  std::chrono::milliseconds overload_time{1'000};
};

/// Returns the settings for a process that may have this many descriptors. The rest of them is for
/// callers, links to other entries and files. Thread-safe.
reach_settings limit_sessions(reach_settings settings, std::size_t max_descriptors);

/// CPU of the usable workers in reach that meet a requirement, in thousandths of a CPU. Counts only
/// multiples of the CPU that the requirement needs.
struct cpu_in_reach {
  double total = 0;
  double free = 0;
  /// The same without the sessions that were requested. Free is what would be left if the runs of
  /// those were placed here.
  double lasting_total = 0;
  double lasting_free = 0;
};

/// Decides when an entry requests idle workers before tasks wait: compares the free CPU in reach
/// with what the entry placed recently. Does no I/O. Not thread-safe.
class reach_monitor {
public:
  /// Returns the CPU in reach for a requirement.
  using reach_measure = std::function<cpu_in_reach(const worker_requirement&)>;

  explicit reach_monitor(reach_settings settings = {}) : settings_(settings) {}

  /// A task was placed.
  void placed(const worker_requirement& requirement, monotonic_time now);
  /// The event loop of the process was late.
  void loop_delayed(std::chrono::milliseconds delay, monotonic_time now);
  /// Returns the request to make now, if any. `sessions` is the number of sessions with agents. Has
  /// to be called at least every few tens of milliseconds, and does nothing within `check_interval`
  /// of the latest check.
  std::optional<worker_search::due_request> update(site_access access, std::size_t sessions,
                                                   const reach_measure& measure,
                                                   monotonic_time now);

  /// Returns whether a requested session with the worker is to be kept.
  bool is_needed(const worker_description& worker) const;

private:
  /// Returns whether the descriptors and the CPU of the process allow further sessions.
  bool may_add_session(std::size_t sessions, monotonic_time now) const;

  struct shape {
    worker_requirement requirement;
    monotonic_time last_placed{};
    /// CPU placed since `window_start`, and in the window before.
    monotonic_time window_start{};
    double current = 0;
    double previous = 0;
    /// Idle workers are needed now.
    bool low = false;
    /// Requested sessions are kept.
    bool keeps_sessions = false;
  };

  void advance_window(shape& each, monotonic_time now) const;
  /// Returns the CPU that arrives within `arrival_time`.
  double arrivals(const shape& each, monotonic_time now) const;
  /// Updates the state of a shape, and returns the free share of the CPU in reach.
  double check(shape& each, const cpu_in_reach& reach, monotonic_time now) const;

  reach_settings settings_;
  std::vector<shape> shapes_;
  std::optional<monotonic_time> checked_;
  std::optional<monotonic_time> overloaded_at_;
  monotonic_time next_request_{};
  std::chrono::milliseconds interval_{0};
  std::uint32_t attempts_ = 0;
  std::size_t sessions_at_request_ = 0;
};

} // namespace parsleylead

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// Exponential backoff for workers that refuse tasks because their upstream is gone. Such a worker
/// refuses at once and therefore looks idle: without a backoff every waiting task would be placed
/// on it until its placements are used up. Not thread-safe.
class refusal_backoff {
public:
  static constexpr std::chrono::milliseconds min_backoff{100};
  /// Less than the lease of an announcement (3 s), after which the agent reports that it has no
  /// upstream.
  static constexpr std::chrono::milliseconds max_backoff{1600};

  /// Starts a backoff because the worker refused a task. Refusals during a backoff do not extend
  /// it.
  void record_refusal(const std::string& worker, monotonic_time now);
  /// Resets the backoff because the worker ran a task; the next one starts with `min_backoff`.
  void record_run(const std::string& worker) { workers_.erase(worker); }
  void remove_worker(const std::string& worker) { workers_.erase(worker); }

  bool active(const std::string& worker) const;
  /// Ends the backoffs that are due and returns their workers, which may be tried again.
  std::vector<std::string> take_ended_backoffs(monotonic_time now);
  /// Time at which the next backoff ends.
  std::optional<monotonic_time> next_backoff_end() const;

private:
  struct worker_state {
    std::chrono::milliseconds backoff{0};
    monotonic_time backoff_end;
    bool active = false;
  };
  std::map<std::string, worker_state> workers_;
};

} // namespace parsleylead

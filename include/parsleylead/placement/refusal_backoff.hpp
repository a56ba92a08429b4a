#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// Keeps tasks away from a worker that refuses them because its upstream is gone. Such a refusal
/// comes at once, so the worker would look idle and use up the placements of every waiting task.
/// Not thread-safe.
class refusal_backoff {
public:
  static constexpr std::chrono::milliseconds min_backoff{100};
  /// Below the lease of an announcement (3 s), after which the agent says that it has no upstream.
  static constexpr std::chrono::milliseconds max_backoff{1600};

  /// The worker refused a task. Refusals while the backoff lasts do not extend it.
  void record_refusal(const std::string& worker, monotonic_time now);
  /// The worker ran a task: the next refusal starts with `min_backoff` again.
  void record_run(const std::string& worker) { workers_.erase(worker); }
  void remove_worker(const std::string& worker) { workers_.erase(worker); }

  bool active(const std::string& worker) const;
  /// Ends what is over and returns the workers that may be tried again.
  std::vector<std::string> take_ended_backoffs(monotonic_time now);
  /// When the next backoff ends.
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

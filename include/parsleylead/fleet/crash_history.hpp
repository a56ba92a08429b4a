#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/run_types.hpp"

namespace parsleylead {

/// Settings of a `crash_history`.
struct crash_policy {
  /// The weight of a crash halves in this time. A service may have a single quarantined worker,
  /// which is down for about 3.2 s after a crash: two crashes of it have to confine a queue.
  std::chrono::duration<double> half_life{4.0};
  /// A queue is confined once the weights of its crashes reach this sum: two within 4 s.
  double confine_above = 1.5;
  /// A confined queue is released once the sum has fallen to this.
  double release_below = 0.75;
  /// Largest sum, so that a queue is released 6 s after its last crash at the latest.
  double max_weight = 2.0;
};

/// Decides which queues are confined to few workers because their tasks crash workers, so that
/// other queues keep theirs.
///
/// A worker that crashes for another reason must not confine a queue. Evidence against a queue is
/// therefore only a crash under an isolated task, and, once the queue is confined, a crash of a
/// worker that ran tasks of this queue alone. Not thread-safe.
class crash_history {
public:
  explicit crash_history(crash_policy policy = {}) : policy_(policy) {}

  void record(const crash_report& report, monotonic_time now);
  /// Updates which queues are confined. Returns whether that has changed.
  bool update(monotonic_time now);
  /// `queue`: see `queue_hash`.
  bool is_confined(std::uint32_t queue) const;
  bool any_confined() const { return confined_count_ > 0; }

private:
  struct record_of_queue {
    double weight = 0;
    monotonic_time updated{};
    bool confined = false;
  };

  double weight_at(const record_of_queue& record, monotonic_time now) const;

  crash_policy policy_;
  std::unordered_map<std::uint32_t, record_of_queue> queues_;
  std::size_t confined_count_ = 0;
};

} // namespace parsleylead

#pragma once

#include <cstddef>
#include <optional>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// Detects that the agents of an entry are still connecting, so that the workers in reach say
/// little about the capacity that it will have: for 1.5 s after it was without a usable worker, and
/// as long as the number of usable workers has reached a new maximum within the last 0.3 s. Workers
/// that leave and return are no growth. Not thread-safe.
class reach_growth {
public:
  /// Records the present number of usable workers. Has to be called every few tens of milliseconds.
  void observe(std::size_t usable_workers, monotonic_time now);
  /// Returns whether the agents are still connecting; true before the first observation.
  bool is_connecting(monotonic_time now) const;

private:
  /// When there was last no usable worker.
  std::optional<monotonic_time> last_without_;
  /// Maximum since then.
  std::size_t most_workers_ = 0;
  monotonic_time last_growth_{};
};

} // namespace parsleylead

#pragma once

#include <chrono>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// Estimates how slow a worker is compared with the callers' estimates, from the progress of all
/// its runs. Weights observations by exponential decay. Detects a worker that makes no progress
/// within a few reports, before any of its runs has ended. Not thread-safe.
class pace_estimate {
public:
  /// Records that a run completed `achieved` of its estimated time within `spent`.
  void record(std::chrono::duration<double> spent, std::chrono::duration<double> achieved,
              monotonic_time now);

  /// Returns the time spent per unit of estimated time; 1 without observations.
  double slowdown() const;

private:
  double spent_s_ = 0;
  double achieved_s_ = 0;
  monotonic_time last_{};
};

} // namespace parsleylead

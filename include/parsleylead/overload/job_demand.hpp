#pragma once

#include <chrono>
#include <cstdint>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// What a waiting job requires, and until when its result is of use.
struct job_demand {
  std::uint64_t id = 0;
  /// Priority set by the operators; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// A result after this time is late.
  monotonic_time objective;
  /// A result after this time is of no use; `monotonic_time::max()` for a durable job.
  monotonic_time late_limit;
  /// When the caller stops waiting for the result; `monotonic_time::max()` for a durable job.
  monotonic_time deadline;
  /// CPU milliseconds of the tasks that are neither placed nor done.
  double work_cpu_ms = 0;
  /// Estimated time of the longest chain of steps that are not done.
  std::chrono::milliseconds remaining_path{0};
  /// A task may have been started, or the job is durable: it must not be refused.
  bool committed = false;
};

/// Returns the time by which the job may start later than `now` and still be useful, negative if it
/// can no longer be useful. Thread-safe.
std::chrono::milliseconds slack(const job_demand& job, monotonic_time now);

/// Returns whether the job can reach its objective if it runs without waiting. Thread-safe.
bool can_be_on_time(const job_demand& job, monotonic_time now);

/// Returns whether the job can end before its result is of no use, if it runs without waiting.
/// Thread-safe.
bool can_be_useful(const job_demand& job, monotonic_time now);

/// Order of waiting jobs, a strict weak ordering for a fixed `now`: jobs that have to run now to be
/// on time, then those that are late and still useful, then those that are on time even if they
/// wait, then those that are of no use; within each group by priority, then by objective.
/// Thread-safe.
bool runs_before(const job_demand& a, const job_demand& b, monotonic_time now);

} // namespace parsleylead

#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>

namespace parsleylead {

/// Time for deadlines, leases and time-outs; unaffected by changes of the wall clock.
using monotonic_time = std::chrono::steady_clock::time_point;

/// Wall-clock time, for records and keys only.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Longest time that a job or a queue may state; longer ones count as this one. Three of them and a
/// `monotonic_time` can be added without an overflow.
inline constexpr std::chrono::milliseconds longest_duration = std::chrono::hours(24 * 366 * 50);

/// Returns a number of milliseconds as a duration between 0 and `longest_duration`. Thread-safe.
inline std::chrono::milliseconds bounded_milliseconds(double count) {
  const auto longest = static_cast<double>(longest_duration.count());
  return std::chrono::milliseconds(
      std::llround(count > 0 ? std::min(count, longest) : 0.0)); // Not a number counts as 0.
}

/// Current time for leases and time-outs. Unlike `steady_clock`, it also advances while the host is
/// suspended. Thread-safe.
inline monotonic_time lease_now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return monotonic_time(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

/// Current wall-clock time in milliseconds. Thread-safe.
inline wall_time wall_now() {
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace parsleylead

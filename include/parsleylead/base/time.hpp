#pragma once

#include <chrono>
#include <ctime>

namespace parsleylead {

/// Time for deadlines, leases and time-outs; unaffected by changes of the wall clock.
using monotonic_time = std::chrono::steady_clock::time_point;

/// Wall-clock time, for records and keys only.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

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

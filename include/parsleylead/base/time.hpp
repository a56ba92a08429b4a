#pragma once

#include <chrono>

namespace parsleylead {

/// Time for deadlines, leases and time-outs; unaffected by changes of the wall clock.
using monotonic_time = std::chrono::steady_clock::time_point;

/// Wall-clock time, for records and keys only.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Current wall-clock time in milliseconds. Thread-safe.
inline wall_time wall_now() {
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace parsleylead

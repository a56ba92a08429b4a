#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "parsleylead/admission/limits.hpp"
#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// This entry's data about one worker.
struct worker_view {
  /// Name of the worker's agent.
  std::string id;
  std::set<std::string> kinds;
  std::string availability_zone;
  std::uint32_t slots = 0;
  std::uint32_t cores = 0;
  std::uint64_t memory_mb = 0;
  /// Unused credits of this entry.
  std::uint32_t credits = 0;
  /// Expected ends of this entry's tasks in flight at the worker.
  std::multiset<monotonic_time> expected_ends;
  /// Tasks of other entries at the worker, as reported with the last result, and the time of that
  /// report.
  std::uint32_t other_tasks = 0;
  monotonic_time other_tasks_time;
  /// Run time relative to an average worker; below 1 is faster.
  double run_time_factor = 1;
  /// Not usable: ejected by `worker_health`, or without a usable session.
  bool ejected = false;

  std::size_t in_flight() const { return expected_ends.size(); }
  /// Whether a task with these needs fits on the worker. A worker that declares no cores or memory
  /// has no limit for them.
  bool fits(const worker_requirements& needs) const;
};

} // namespace parsleylead

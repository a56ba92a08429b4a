#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace parsleylead {

/// Limits of a kind over the whole site; an absent value means no limit.
struct admission_limits {
  /// Tasks dispatched and not ended.
  std::optional<std::uint64_t> in_flight;
  /// Waiting tasks.
  std::optional<std::uint64_t> queue;
  /// Accepted tasks per second.
  std::optional<std::uint64_t> rate_per_s;
  /// Tasks of one job. Not shared among entries.
  std::optional<std::uint64_t> job_tasks;
  /// Longest time budget, also the default. Not shared among entries.
  std::optional<std::chrono::milliseconds> budget;

  bool operator==(const admission_limits&) const = default;
};

/// Quota of an owner over all its kinds and the whole site.
struct admission_quota {
  std::optional<std::uint64_t> in_flight;
  std::optional<std::uint64_t> rate_per_s;

  bool operator==(const admission_quota&) const = default;
};

/// What one task needs of a worker.
struct worker_requirements {
  std::uint32_t cores = 0;
  std::uint64_t memory_mb = 0;

  bool operator==(const worker_requirements&) const = default;
};

} // namespace parsleylead

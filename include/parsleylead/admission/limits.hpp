#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace parsleylead {

/// Limits of a kind for all entries of a site together; an absent value means no limit.
struct admission_limits {
  /// Tasks that are dispatched and have not ended.
  std::optional<std::uint64_t> in_flight;
  /// Waiting tasks.
  std::optional<std::uint64_t> queue;
  /// Accepted tasks per second.
  std::optional<std::uint64_t> rate_per_s;
  /// Tasks of one job. Applies in full at each entry.
  std::optional<std::uint64_t> job_tasks;
  /// Longest and default time budget of a job. Applies in full at each entry.
  std::optional<std::chrono::milliseconds> budget;

  bool operator==(const admission_limits&) const = default;
};

/// Limits of an owner for all its kinds and all entries of a site together.
struct admission_quota {
  std::optional<std::uint64_t> in_flight;
  std::optional<std::uint64_t> rate_per_s;

  bool operator==(const admission_quota&) const = default;
};

/// Resources that one task requires of a worker.
struct worker_requirements {
  std::uint32_t cores = 0;
  std::uint64_t memory_mb = 0;

  bool operator==(const worker_requirements&) const = default;
};

} // namespace parsleylead

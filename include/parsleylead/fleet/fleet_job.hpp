#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/fleet/run_types.hpp"

namespace parsleylead {

/// Tasks of the same shape within a job.
struct job_step {
  std::uint32_t count = 0;
  resource_needs needs;
  /// The caller's estimate of one task's run time.
  std::chrono::milliseconds estimate{0};
  /// Numbers of earlier steps that have to be done first.
  std::vector<std::uint32_t> depends_on;
  /// A label that the worker must have; empty for none.
  std::string required_label;
  /// The rack that holds the data; empty for none. Other racks are slower.
  std::string preferred_rack;
  /// At most this many tasks of the step run on one worker; 0 for no limit.
  std::uint32_t max_per_worker = 0;
};

/// The terms that the operators' routes give to a job.
struct job_terms {
  /// Name of the route.
  std::string queue;
  std::string service;
  /// Time beyond the work itself within which the job should end.
  std::chrono::milliseconds target{0};
  /// Factor on the work itself within which the job should end.
  double stretch = 1.0;
  /// Failed runs of one task after which the job has failed.
  std::uint32_t max_attempts = 1;
  /// The operators' order of importance: 0 comes first.
  std::uint32_t priority = 0;
};

/// What is known of one task of a durable job.
struct task_progress {
  bool done = false;
  /// Runs that ended as failed.
  std::uint32_t failures = 0;
  /// The latest attempt whose end is part of this progress.
  std::uint32_t ended_attempt = 0;

  bool operator==(const task_progress&) const = default;
};

/// Each epoch has this many attempt numbers of a task: at the fastest pace of 60 ms for an order
/// that an agent returns, they last an hour.
inline constexpr std::uint32_t attempts_per_epoch = 1U << 16U;

/// What the owner of a durable job adds to it.
struct job_ownership {
  std::uint64_t epoch = 0;
  /// Attempts up to this number may have been used by earlier owners.
  std::uint32_t prior_attempts = 0;
  /// By step and task; empty if nothing has run.
  std::vector<std::vector<task_progress>> progress;
};

/// A job in memory. Without `tenure` it is answered when it has ended, and kept nowhere else.
struct fleet_job {
  std::uint64_t id = 0;
  job_terms terms;
  /// Passed to each task as it is.
  std::string payload;
  std::vector<job_step> steps;
  /// The caller waits at most this long for the answer. Not used for durable jobs.
  std::chrono::milliseconds answer_timeout{0};
  /// For a durable job: it is never refused or given up for its time.
  std::optional<job_ownership> ownership;
};

/// How a job ended for its caller.
enum class job_verdict : std::uint8_t {
  completed,
  /// A task failed as often as its terms allow, or the job cannot be done in time.
  failed,
  /// Nothing was started, and nothing will be.
  not_run,
  /// Nothing can be said that holds: runs may have been lost while this process stood still.
  unknown,
  cancelled,
};

/// Why a job was not run or given up; for logs and metrics.
enum class job_cause : std::uint8_t {
  none,
  attempts_used_up,
  deadline_passed,
  objective_out_of_reach,
  no_capable_worker,
  backlog_full,
  process_stalled,
};

inline const char* to_string(job_verdict verdict) {
  switch (verdict) {
  case job_verdict::completed:
    return "completed";
  case job_verdict::failed:
    return "failed";
  case job_verdict::not_run:
    return "not_run";
  case job_verdict::cancelled:
    return "cancelled";
  default:
    return "unknown";
  }
}

inline const char* to_string(job_cause cause) {
  switch (cause) {
  case job_cause::attempts_used_up:
    return "attempts_used_up";
  case job_cause::deadline_passed:
    return "deadline_passed";
  case job_cause::objective_out_of_reach:
    return "objective_out_of_reach";
  case job_cause::no_capable_worker:
    return "no_capable_worker";
  case job_cause::backlog_full:
    return "backlog_full";
  case job_cause::process_stalled:
    return "process_stalled";
  default:
    return "none";
  }
}

/// The result of one job, with what an engineer needs to explain it.
struct job_result {
  std::uint64_t id = 0;
  job_verdict verdict = job_verdict::completed;
  job_cause cause = job_cause::none;
  /// When a caller whose job was not run may try again with better chances.
  std::chrono::milliseconds retry_after{0};
  std::chrono::milliseconds elapsed{0};
  std::chrono::milliseconds objective{0};
  std::uint32_t tasks = 0;
  std::uint32_t starts = 0;
  std::uint32_t failed_runs = 0;
  std::uint32_t lost_runs = 0;
  std::uint32_t moved_runs = 0;
  /// The longest time that a task waited for its first start.
  std::chrono::milliseconds longest_wait{0};
  /// Worker of the task that ended last.
  std::string last_worker;
};

} // namespace parsleylead

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/fleet/run_types.hpp"

namespace parsleylead {

/// A group of tasks of a job that have the same resource needs and constraints.
struct job_step {
  std::uint32_t count = 0;
  resource_needs needs;
  /// The caller's estimate of one task's run time.
  std::chrono::milliseconds estimate{0};
  /// Indices of earlier steps that must be done before this one starts.
  std::vector<std::uint32_t> depends_on;
  /// Label that a worker must have; empty if any worker will do.
  std::string required_label;
  /// Rack that holds the data, where tasks run faster; empty for none.
  std::string preferred_rack;
  /// Maximum number of this step's tasks on one worker; 0 for no limit.
  std::uint32_t max_per_worker = 0;
};

/// Service terms of a job, taken from the operators' routes.
struct job_terms {
  /// Name of the route.
  std::string queue;
  std::string service;
  /// Constant part of the objective, added to `stretch` times the work.
  std::chrono::milliseconds target{0};
  /// Factor on the work in the objective.
  double stretch = 1.0;
  /// Number of failed runs of one task after which the job fails.
  std::uint32_t max_attempts = 1;
  /// Priority set by the operators; 0 is the highest.
  std::uint32_t priority = 0;
};

/// Progress of one task of a durable job.
struct task_progress {
  bool done = false;
  /// Attempts whose runs failed, in ascending order. An end counts once, however often and in
  /// whatever order ends are reported.
  std::vector<std::uint32_t> failed_attempts;
  /// Latest attempt whose end is included in this progress.
  std::uint32_t ended_attempt = 0;
  /// Latest attempt that was given up as lost, so that the task may have been started again. An end
  /// that a worker still reports for it, or for an earlier attempt, must not be used.
  std::uint32_t lost_attempt = 0;
  /// Attempts under which a worker crashed, in ascending order. Each counts once, too.
  std::vector<std::uint32_t> crashed_attempts;

  bool operator==(const task_progress&) const = default;
};

/// Adds an attempt to a list in ascending order. Returns false if the list contains it. Thread-safe
/// for different lists.
bool add_attempt(std::vector<std::uint32_t>& attempts, std::uint32_t attempt);
/// Returns whether a list in ascending order contains the attempt. Thread-safe.
bool contains_attempt(const std::vector<std::uint32_t>& attempts, std::uint32_t attempt);

/// Number of attempts of a task that each epoch reserves. They last for an hour if an agent returns
/// every order after 60 ms, the shortest possible time.
inline constexpr std::uint32_t attempts_per_epoch = 1U << 16U;

/// State that the owner of a durable job passes on when it runs the job.
struct job_ownership {
  std::uint64_t epoch = 0;
  /// Earlier owners may have used attempts up to and including this number.
  std::uint32_t prior_attempts = 0;
  /// Indexed by step and task; empty if no task has run.
  std::vector<std::vector<task_progress>> progress;
};

/// Returns the estimated time of the longest chain of dependent steps. Precondition: each step
/// depends on earlier ones only.
std::chrono::milliseconds critical_path(const std::vector<job_step>& steps);
/// The same for the steps that are not done. `remaining_tasks`: number of tasks that are not done,
/// by step. Precondition: it has an element for each step.
std::chrono::milliseconds remaining_path(const std::vector<job_step>& steps,
                                         const std::vector<std::uint32_t>& remaining_tasks);

/// A job in memory. Without `ownership` it is not stored anywhere: its callers get the result when
/// it ends.
struct fleet_job {
  std::uint64_t id = 0;
  job_terms terms;
  /// Passed to each task unchanged.
  std::string payload;
  std::vector<job_step> steps;
  /// Longest time that the caller waits for the result. Not used for durable jobs.
  std::chrono::milliseconds answer_timeout{0};
  /// Set for a durable job only. Such a job is never refused or expired.
  std::optional<job_ownership> ownership;
};

/// Returns the approximate memory that the job holds while it is open, in bytes. Thread-safe.
std::size_t memory_of(const fleet_job& job);

/// Result of a job as its caller sees it.
enum class job_verdict : std::uint8_t {
  completed,
  /// A task used up its attempts, or crashed its workers.
  failed,
  /// No task was started, and none will be.
  not_run,
  /// Tasks were started, and whether all of them would be done is not known: the caller's deadline
  /// passed, this process was stalled, it stops, or the job was given up after the crash of a
  /// worker.
  unknown,
  cancelled,
};

/// Why a job was not run, or ended without completing; for logs and metrics.
enum class job_cause : std::uint8_t {
  none,
  attempts_used_up,
  deadline_passed,
  /// The result would be of no use by the time it is ready.
  objective_out_of_reach,
  /// Refused, so that a job whose refusal would cost its caller more can be useful.
  displaced,
  no_capable_worker,
  backlog_full,
  process_stalled,
  host_stopping,
  /// Workers crashed under a task.
  crashes_workers,
  /// Tasks of the job's queue crash workers, and the few that run them are busy or down.
  queue_confined,
  /// The availability zone of the only workers that can run the job is evacuated.
  zone_evacuated,
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
  case job_cause::displaced:
    return "displaced";
  case job_cause::no_capable_worker:
    return "no_capable_worker";
  case job_cause::backlog_full:
    return "backlog_full";
  case job_cause::process_stalled:
    return "process_stalled";
  case job_cause::host_stopping:
    return "host_stopping";
  case job_cause::crashes_workers:
    return "crashes_workers";
  case job_cause::queue_confined:
    return "queue_confined";
  case job_cause::zone_evacuated:
    return "zone_evacuated";
  default:
    return "none";
  }
}

/// Result of one job, with the figures needed to analyse its latency.
struct job_result {
  std::uint64_t id = 0;
  job_verdict verdict = job_verdict::completed;
  job_cause cause = job_cause::none;
  /// Suggested delay before a caller whose job was not run submits it again.
  std::chrono::milliseconds retry_after{0};
  std::chrono::milliseconds elapsed{0};
  std::chrono::milliseconds objective{0};
  std::uint32_t priority = 0;
  std::uint32_t tasks = 0;
  /// For a job that was not run: CPU milliseconds of its tasks, the expected time until its turn,
  /// and the longest wait with which it would still have been useful, negative if none would do.
  double work_cpu_ms = 0;
  std::chrono::milliseconds expected_wait{0};
  std::chrono::milliseconds slack{0};
  std::uint32_t starts = 0;
  std::uint32_t failed_runs = 0;
  std::uint32_t lost_runs = 0;
  /// Number of the lost runs whose worker crashed.
  std::uint32_t crashed_runs = 0;
  std::uint32_t moved_runs = 0;
  /// Longest time that a task waited for its first placement.
  std::chrono::milliseconds longest_wait{0};
  /// Id of the worker whose run ended last.
  std::string last_worker;
};

} // namespace parsleylead

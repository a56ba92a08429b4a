#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/fleet/fleet_job.hpp"

namespace parsleylead {

/// Why a task is not placed on a worker.
enum class worker_exclusion : std::uint8_t {
  none,
  /// The session with its agent is closed.
  no_session,
  /// The worker has not announced itself, or does not answer.
  unreachable,
  /// The worker or its agent is shutting down, or the agent closes the session.
  not_accepting,
  zone_evacuated,
  other_service,
  lacks_label,
  /// Its whole capacity is below the needs.
  too_small,
  /// The queue is confined to quarantined workers, or the worker is kept for a confined queue.
  quarantine,
  no_free_cpu,
  /// The limit of the step's tasks on one worker is reached.
  worker_limit,
  /// The worker is slow after its start and has its share of tasks.
  cold,
};

const char* to_string(worker_exclusion exclusion);

/// How a worker compares for one task.
struct worker_assessment {
  worker_exclusion exclusion = worker_exclusion::none;
  /// Expected run time of the task, if the worker is not excluded.
  std::chrono::duration<double, std::milli> run_time{0};
  /// The worker with the lowest score is chosen. A random share of up to `score_jitter` of the run
  /// time is added.
  double score = 0;
};

/// A worker that an entry knows, for one step of a job.
struct explained_worker {
  std::string agent;
  std::string availability_zone;
  worker_assessment assessment;
  double free_cpu_millis = 0;
  std::uint32_t capacity_cpu_millis = 0;
  double slowdown = 1.0;
};

struct explained_step {
  /// The best worker first, excluded ones last.
  std::vector<explained_worker> workers;
};

/// What an entry would do with a job now.
struct placement_explanation {
  /// Set if the job would be refused.
  std::optional<job_cause> refusal;
  /// Some of its workers are unknown yet: the entry would search for them.
  bool searches = false;
  std::chrono::milliseconds objective{0};
  std::chrono::milliseconds critical_path{0};
  /// Time until capacity becomes free for the job.
  std::chrono::milliseconds expected_wait{0};
  std::size_t waiting_tasks = 0;
  std::vector<explained_step> steps;
};

} // namespace parsleylead

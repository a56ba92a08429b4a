#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleylead {

/// Resources of a task or a worker.
struct resource_needs {
  std::uint32_t cpu_millis = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t gpus = 0;

  bool operator==(const resource_needs&) const = default;
};

/// Returns whether `needs` fits into `capacity` in addition to `used`.
inline bool fits(const resource_needs& needs, const resource_needs& used,
                 const resource_needs& capacity) {
  return needs.cpu_millis + used.cpu_millis <= capacity.cpu_millis &&
         needs.memory_mb + used.memory_mb <= capacity.memory_mb &&
         needs.gpus + used.gpus <= capacity.gpus;
}

inline void add_needs(resource_needs& sum, const resource_needs& more) {
  sum.cpu_millis += more.cpu_millis;
  sum.memory_mb += more.memory_mb;
  sum.gpus += more.gpus;
}

/// Precondition: `less` was added to `sum` before.
inline void subtract_needs(resource_needs& sum, const resource_needs& less) {
  sum.cpu_millis -= less.cpu_millis;
  sum.memory_mb -= less.memory_mb;
  sum.gpus -= less.gpus;
}

/// Returns the larger one of each resource.
inline resource_needs max_needs(const resource_needs& a, const resource_needs& b) {
  return {std::max(a.cpu_millis, b.cpu_millis), std::max(a.memory_mb, b.memory_mb),
          std::max(a.gpus, b.gpus)};
}

/// One task of one job.
struct task_key {
  std::uint64_t job = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  bool operator==(const task_key&) const = default;
  // clang-tidy 14 reports the generated comparison with 0 as a null pointer.
  std::strong_ordering
  operator<=>(const task_key&) const = default; // NOLINT(modernize-use-nullptr)
};

/// One run of a task. `attempt` begins at 1 and increases with each start of the task.
struct run_id {
  task_key task;
  std::uint32_t attempt = 1;

  bool operator==(const run_id&) const = default;
};

struct task_key_hash {
  std::size_t operator()(const task_key& key) const {
    constexpr std::uint64_t mix = 0x9e3779b97f4a7c15ULL; // 2^64 divided by the golden ratio
    return static_cast<std::size_t>(key.job ^
                                    (key.index + 1 + (std::uint64_t{key.step} << 32U)) * mix);
  }
};

/// Order to an agent to start a task.
struct start_order {
  run_id run;
  std::string payload;
  resource_needs needs;
  /// The caller's estimate of the run time.
  std::chrono::milliseconds estimate{0};
  /// Time left until the latest start that meets the job's objective; negative if it has passed.
  std::chrono::milliseconds due_in{0};
  /// The agent returns the order if it could not start the task within this time.
  std::chrono::milliseconds max_wait{0};
  /// Priority set by the operators; 0 is the highest.
  std::uint32_t priority = 0;
  /// Epoch in which the owner of a durable job sends this order; 0 for other jobs.
  std::uint64_t epoch = 0;
  /// The worker runs nothing else at the same time, because the task may crash it.
  bool isolated = false;
  /// `queue_hash` of the job's queue.
  std::uint32_t queue = 0;
};

/// Returns a number that identifies a queue in messages. Equal in all processes. Thread-safe.
constexpr std::uint32_t queue_hash(std::string_view queue) {
  std::uint32_t hash = 2'166'136'261U; // FNV-1a
  for (const char character : queue) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 16'777'619U;
  }
  return hash;
}

/// A crash of a worker that ran tasks of one queue only.
struct crash_report {
  /// `queue_hash` of the queue.
  std::uint32_t queue = 0;
  /// The worker ran a single task, which had been ordered to run isolated.
  bool isolated = false;

  bool operator==(const crash_report&) const = default;
};

/// Number of a partition of the durable jobs; each partition has one owner at a time.
using partition_number = std::uint32_t;

/// An owner's claim to a partition. The epoch of a partition increases with each claim.
struct partition_claim {
  partition_number partition = 0;
  std::uint64_t epoch = 0;

  bool operator==(const partition_claim&) const = default;
};

/// Epoch of a claim that withdraws the sender's earlier one. Processes of earlier versions ignore
/// it, as it is below all others.
inline constexpr std::uint64_t withdrawn_epoch = 0;

/// Returns the partition of a durable job. Precondition: `partitions` > 0. Thread-safe.
inline partition_number partition_of(std::uint64_t job, std::uint32_t partitions) {
  constexpr std::uint64_t mix = 0x9e3779b97f4a7c15ULL; // 2^64 divided by the golden ratio
  return static_cast<partition_number>(((job * mix) >> 32U) % partitions);
}

/// How a run ended. The numeric values are those of schema/fleet.capnp.
enum class run_outcome : std::uint8_t {
  done = 0,
  failed = 1,
  stopped = 2,
  /// Killed because its lease ended, or lost with its worker.
  lost = 3,
  /// Not started, and never will be.
  not_started = 4,
};

inline const char* to_string(run_outcome outcome) {
  switch (outcome) {
  case run_outcome::done:
    return "done";
  case run_outcome::failed:
    return "failed";
  case run_outcome::stopped:
    return "stopped";
  case run_outcome::lost:
    return "lost";
  default:
    return "not_started";
  }
}

/// Why a run counts as lost. The numeric values are those of schema/fleet.capnp.
enum class loss_cause : std::uint8_t {
  /// The run is not lost, or its agent does not state the cause.
  none = 0,
  /// The worker listed the end: the lease lapsed, or the run was broken off.
  listed = 1,
  /// The worker answers and no longer lists the run.
  not_listed = 2,
  /// The worker has restarted since the run was started, and does not list it.
  worker_restarted = 3,
  /// Another worker answers at the address.
  worker_replaced = 4,
  /// The worker did not answer until its leases had expired.
  worker_silent = 5,
  /// As `worker_silent`, and the worker refused connections. It may have crashed; a later report of
  /// the same end says whether it has.
  connection_refused = 6,
  /// The agent was out of reach until the leases of its worker had expired.
  agent_lost = 7,
};

inline const char* to_string(loss_cause cause) {
  switch (cause) {
  case loss_cause::listed:
    return "listed";
  case loss_cause::not_listed:
    return "not_listed";
  case loss_cause::worker_restarted:
    return "worker_restarted";
  case loss_cause::worker_replaced:
    return "worker_replaced";
  case loss_cause::worker_silent:
    return "worker_silent";
  case loss_cause::connection_refused:
    return "connection_refused";
  case loss_cause::agent_lost:
    return "agent_lost";
  default:
    return "none";
  }
}

/// Report of an agent that a run has ended.
struct run_end {
  run_id run;
  run_outcome outcome = run_outcome::done;
  std::chrono::milliseconds ran{0};
  std::chrono::milliseconds waited{0};
  /// The worker retains the end until the owner of the job's partition has stored it.
  bool held = false;
  /// The worker crashed while the run was active.
  bool worker_crashed = false;
  /// The run was started so shortly before the crash that it may be the cause.
  bool suspect = false;
  loss_cause cause = loss_cause::none;
};

/// Acknowledgement of an end that an agent holds.
struct end_ack {
  run_id run;
  /// The task was started again before this end was known, so the end was discarded. The agent must
  /// not confirm it to the worker before the worker's lease has expired.
  bool superseded = false;

  bool operator==(const end_ack&) const = default;
};

/// A run that takes far longer than estimated, with its progress.
struct slow_run {
  run_id run;
  std::uint32_t percent = 0;
  std::chrono::milliseconds ran{0};
};

/// Properties of a worker that rarely change.
struct worker_description {
  std::string worker_id;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  resource_needs capacity;
  /// The worker's incarnation that has these properties; 0 if it states none.
  std::int64_t incarnation = 0;

  bool operator==(const worker_description&) const = default;
};

/// What a task requires of its worker.
struct worker_requirement {
  /// Empty for any service.
  std::string service;
  /// Label that the worker must have; empty if none is required.
  std::string label;
  resource_needs needs;

  bool operator==(const worker_requirement&) const = default;
};

/// Returns whether a worker may run tasks of a service that need a label, unless it is empty, and
/// resources. Thread-safe.
inline bool meets(const worker_description& worker, std::string_view service,
                  std::string_view label, const resource_needs& needs) {
  return worker.service == service && fits(needs, {}, worker.capacity) &&
         (label.empty() ||
          std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end());
}

/// Thread-safe.
inline bool meets(const worker_description& worker, const worker_requirement& requirement) {
  return meets(worker, requirement.service.empty() ? worker.service : requirement.service,
               requirement.label, requirement.needs);
}

/// Status report of an agent about its worker.
struct worker_status {
  /// The worker has announced itself and answers requests.
  bool present = false;
  /// The worker accepts new tasks: neither it nor its agent is shutting down, and its present
  /// incarnation has announced itself.
  bool accepting = false;
  worker_description description;
  /// False if `description` is omitted because it did not change since the session's last report.
  bool has_description = true;
  /// Resources of the runs that are starting, running or stopping.
  resource_needs committed;
  /// CPU that new orders wait for at the agent: see `run_table::queued_cpu_millis`.
  std::uint32_t queued_cpu_millis = 0;
  /// CPU demand of the receiver's own runs and waiting orders.
  std::uint32_t own_cpu_millis = 0;
  /// Moving average of the ratio of run time to estimate.
  double slowdown = 1.0;
  /// Share of failed runs among recent ones, 0 to 1.
  double failure_share = 0.0;
  /// The worker is still slow after its start.
  bool cold = false;
  /// The worker has restarted and not announced itself since: `description` is that of its earlier
  /// incarnation.
  bool undescribed = false;
};

} // namespace parsleylead

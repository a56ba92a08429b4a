#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace parsleylead {

/// Resources of a task or a worker.
struct resource_needs {
  std::uint32_t cpu_millis = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t gpus = 0;

  bool operator==(const resource_needs&) const = default;
};

/// Whether `needs` fits into `capacity` beside what is `used` already.
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

/// One task of one job.
struct task_key {
  std::uint64_t job = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  bool operator==(const task_key&) const = default;
  // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
  std::strong_ordering
  operator<=>(const task_key&) const = default; // NOLINT(modernize-use-nullptr)
};

/// One start of one task. `attempt` begins at 1 and rises with each start of the task.
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

/// Order to an agent to start one task.
struct start_order {
  run_id run;
  std::string payload;
  resource_needs needs;
  /// The caller's estimate of the run time.
  std::chrono::milliseconds estimate{0};
  /// Time left until the latest start that meets the job's objective; negative once it has passed.
  std::chrono::milliseconds due_in{0};
  /// The agent returns the order unstarted after this time.
  std::chrono::milliseconds max_wait{0};
  /// The operators' order of importance: 0 comes first.
  std::uint32_t priority = 0;
  /// Tenure in which the owner of a durable job gives this order; 0 for other jobs.
  std::uint64_t epoch = 0;
};

/// Part of all durable jobs that has one owner at a time.
using partition_number = std::uint32_t;

/// One owner's tenure of a partition. Epochs of a partition rise with each owner.
struct partition_claim {
  partition_number partition = 0;
  std::uint64_t epoch = 0;

  bool operator==(const partition_claim&) const = default;
};

/// The partition of a durable job. Precondition: `partitions` > 0. Thread-safe.
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
  /// Never started, and never will be.
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

/// Report of an agent that a run has ended.
struct run_end {
  run_id run;
  run_outcome outcome = run_outcome::done;
  std::chrono::milliseconds ran{0};
  std::chrono::milliseconds waited{0};
  /// The agent keeps the end at the worker until the owner of the job's partition has stored it.
  bool held = false;
};

/// Answer to an end that an agent holds.
struct end_ack {
  run_id run;
  /// The task was started again before this end was known: the worker must not confirm the end
  /// before a lease has ended, as one that nobody took note of.
  bool superseded = false;

  bool operator==(const end_ack&) const = default;
};

/// A run that takes far longer than expected, with the share of its work that is done.
struct slow_run {
  run_id run;
  std::uint32_t percent = 0;
  std::chrono::milliseconds ran{0};
};

/// What seldom changes about a worker.
struct worker_description {
  std::string worker_id;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  resource_needs capacity;

  bool operator==(const worker_description&) const = default;
};

/// What an agent reports about its worker.
struct worker_status {
  /// A worker has announced itself and answers.
  bool present = false;
  /// The worker takes new tasks: it is not leaving, and neither is its agent.
  bool accepting = false;
  worker_description description;
  /// `about` is left out of a report if it is the same as in the session's last one.
  bool has_description = true;
  /// Running, starting and stopping.
  resource_needs committed;
  /// Processor demand of the orders that wait at the agent.
  std::uint32_t queued_cpu_millis = 0;
  /// Part of `committed` and the queue that belongs to the receiver of the report.
  std::uint32_t own_cpu_millis = 0;
  /// Moving average of run time over the estimate.
  double slowdown = 1.0;
  /// Share of failed runs among the latest ones, 0 to 1.
  double failure_share = 0.0;
};

} // namespace parsleylead

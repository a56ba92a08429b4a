#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/overload/job_demand.hpp"

namespace parsleylead {

using wait_time = std::chrono::duration<double, std::milli>;

/// CPU of a worker in reach, in thousandths of a core.
struct worker_cpu {
  /// Demand of the runs of all entries.
  double busy_millis = 0;
  /// Demand of this entry's runs.
  double own_millis = 0;
  /// Ratio of run time to estimate.
  double slowdown = 1.0;
};

/// Returns the rate at which the waiting work of this entry is done, in CPU milliseconds of
/// estimated work per millisecond: the CPU of its own runs, or its fair share of the busy CPU if
/// that is more. `entries_per_worker`: number of entries that share a worker, at least 1.
/// Thread-safe.
double drain_rate(const std::vector<worker_cpu>& workers, std::uint32_t entries_per_worker);

/// A job that the plan refuses.
struct job_refusal {
  job_demand job;
  /// The job could be useful; it is refused so that another one is.
  bool for_another = false;
  /// Expected time until its turn.
  wait_time wait{0};
};

/// Returns the jobs to refuse so that the others can be useful. Goes through the jobs in the order
/// of `runs_before`, with the work before each of them done at the drain rate. If a job would wait
/// for longer than its slack, jobs before it that are not committed are refused if that makes it
/// useful and costs less: up to eight of lower priority, or one of the same priority with more
/// work, unless only that one can be on time. Of these, the lowest priority goes first, then the
/// one with the most work. Otherwise the job itself is refused unless it is committed. Refuses
/// nothing if the drain rate is 0, which is the case while nothing runs. Takes O(n log n).
/// Thread-safe.
std::vector<job_refusal> plan_backlog(std::vector<job_demand> waiting, double drain_rate,
                                      monotonic_time now);

/// Decision on a new job. Either it is refused, or jobs that wait may be refused instead.
struct admission {
  std::optional<job_refusal> refusal;
  /// Waiting jobs to refuse.
  std::vector<job_refusal> refused_instead;
};

/// Decides with `plan_backlog` whether a new job is accepted. Thread-safe.
admission admit(const job_demand& submitted, std::vector<job_demand> waiting, double drain_rate,
                monotonic_time now);

/// Returns the expected time until it is the job's turn among the waiting ones; 0 if the drain rate
/// is 0. Takes O(n). Thread-safe.
wait_time expected_wait(const job_demand& job, const std::vector<job_demand>& waiting,
                        double drain_rate, monotonic_time now);

/// Returns the delay after which a job that was refused now would be accepted if no further work
/// arrives: the time by which its expected wait exceeds its slack at submission, at least 1 s and
/// at most 5 s. Thread-safe.
std::chrono::milliseconds retry_after(wait_time wait, std::chrono::milliseconds initial_slack);

} // namespace parsleylead

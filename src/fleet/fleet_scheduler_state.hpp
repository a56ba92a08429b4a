#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "parsleylead/fleet/fleet_scheduler.hpp"
#include "parsleylead/overload/job_demand.hpp"

namespace parsleylead {

using double_ms = std::chrono::duration<double, std::milli>;

inline double ms(std::chrono::nanoseconds value) {
  return double_ms(value).count();
}

// An isolated order that was returned this often is sent again as an ordinary one: long runs of
// other tasks must not keep it waiting.
inline constexpr std::uint32_t max_returned_isolated_orders = 2;

struct fleet_scheduler::worker {
  std::string agent;
  std::string availability_zone;
  /// In another availability zone than this entry.
  bool remote = false;
  bool connected = false;
  /// Its availability zone is evacuated.
  bool evacuated = false;
  worker_status status;
  /// CPU demand of this entry's runs on the worker.
  std::uint32_t own_cpu_millis = 0;
  /// Number of this entry's isolated runs on the worker.
  std::uint32_t isolated_runs = 0;
  bool quarantined = false;
  /// The agent opened the session on request.
  bool requested = false;
  std::unordered_map<task_key, std::uint32_t, task_key_hash> runs;
  /// Runs that were placed up to `lost_before` count as lost at `release_at`.
  std::optional<monotonic_time> release_at;
  monotonic_time lost_before{};
  /// Runs that were placed up to `restarted_at` belong to an earlier agent process. The present one
  /// does not know them, so they count as lost at `restart_release_at`, whatever sessions follow.
  std::optional<monotonic_time> restart_release_at;
  monotonic_time restarted_at{};
};

struct fleet_scheduler::task {
  struct unexplained_loss {
    std::uint32_t attempt = 0;
    /// The run had been ordered to run isolated.
    bool isolated = false;
    /// The worker refused connections.
    bool crash_suspected = false;
  };
  /// `lost`: the run of a durable task was lost, and that is not stored yet.
  enum class state : std::uint8_t { blocked, ready, placed, lost, done };
  state current_state = state::blocked;
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0;
  std::uint32_t moves = 0;
  /// Number of workers that crashed under the task.
  std::uint32_t crashes = 0;
  /// One of them ran nothing else.
  bool crashed_alone = false;
  /// Runs lost at workers that did not answer and may have crashed.
  std::vector<unexplained_loss> unexplained_losses;
  /// The task is not placed before this time.
  monotonic_time withheld_until{};
  /// The task has to run with nothing beside it.
  bool needs_isolation = false;
  std::uint32_t returned_isolated_orders = 0;
  /// The latest order was an isolated one.
  bool isolated = false;
  bool stop_requested = false;
  worker_index worker = 0;
  monotonic_time placed{};
  std::vector<worker_index> avoided_workers;

  /// Removes an unexplained loss; returns it if there is one of this attempt.
  std::optional<unexplained_loss> take_unexplained_loss(std::uint32_t attempt) {
    const auto found =
        std::find_if(unexplained_losses.begin(), unexplained_losses.end(),
                     [attempt](const unexplained_loss& each) { return each.attempt == attempt; });
    if (found == unexplained_losses.end()) {
      return std::nullopt;
    }
    const auto taken = *found;
    unexplained_losses.erase(found);
    return taken;
  }

  /// Number of workers that crashed under the task or are suspected of that.
  std::uint32_t possible_crashes() const {
    return crashes + static_cast<std::uint32_t>(std::count_if(
                         unexplained_losses.begin(), unexplained_losses.end(),
                         [](const unexplained_loss& each) { return each.crash_suspected; }));
  }

  bool is_to_be_isolated() const {
    return needs_isolation && returned_isolated_orders < max_returned_isolated_orders;
  }
};

struct fleet_scheduler::job {
  fleet_job spec;
  std::uint32_t queue = 0;
  monotonic_time arrived;
  monotonic_time objective;
  /// A result after this time is of no use.
  monotonic_time late_limit;
  /// When the caller stops waiting for the result.
  monotonic_time deadline;
  /// Estimated time of the longest chain of steps that are not done.
  std::chrono::milliseconds remaining_path{0};
  std::vector<std::vector<task>> tasks;
  /// Number of tasks that are not done, by step.
  std::vector<std::uint32_t> remaining_tasks;
  /// Number of tasks in the states `ready` and `placed`.
  std::uint32_t ready = 0;
  std::uint32_t placed = 0;
  /// A run that was or may have been started has ended.
  bool any_run_ended = false;
  /// This process was stalled while tasks of the job were placed.
  bool stalled = false;
  bool suspended = false;
  /// The job waits for workers to be found.
  bool awaits_workers = false;
  /// A task of the job has to run isolated, or had to.
  bool has_suspects = false;
  job_result result;

  bool is_durable() const { return spec.ownership.has_value(); }

  bool may_have_run() const { return any_run_ended || placed > 0; }

  /// The job's demand without its work.
  job_demand limits() const {
    const bool durable = is_durable();
    return {spec.id,        spec.terms.priority,
            objective,      durable ? monotonic_time::max() : late_limit,
            deadline,       0,
            remaining_path, durable || may_have_run()};
  }

  /// CPU milliseconds of the tasks that are neither placed nor done. Tasks that have to run
  /// isolated are not included: they wait for other workers.
  double waiting_work_cpu_ms() const {
    double work = 0;
    for (std::size_t step = 0; step < tasks.size(); ++step) {
      const auto waiting = std::count_if(tasks[step].begin(), tasks[step].end(), [](const auto& t) {
        return (t.current_state == task::state::ready || t.current_state == task::state::blocked) &&
               !t.is_to_be_isolated();
      });
      work += static_cast<double>(waiting) * spec.steps[step].needs.cpu_millis *
              ms(spec.steps[step].estimate) / 1'000;
    }
    return work;
  }
};

/// The waiting jobs of a service as of a point in time.
struct fleet_scheduler::backlog_view {
  monotonic_time at;
  std::string service;
  std::vector<job_demand> waiting;
  double drain_rate = 0;
};

/// What one call of `place_waiting` has found out about the workers, so that it asks once for jobs
/// that need the same. Placements only take resources away, so what did not fit will not.
struct fleet_scheduler::placement_pass {
  struct misfit {
    resource_needs needs;
    /// Workers have these resources, but not free.
    bool waits_for_resources = false;
  };
  /// Tasks that may run on the same workers.
  struct group {
    std::vector<misfit> misfits;
    int unplaced_jobs = 0;

    const misfit* find_misfit(const resource_needs& needs) const {
      const auto found = std::find_if(misfits.begin(), misfits.end(), [&](const misfit& each) {
        return fits(each.needs, {}, needs);
      });
      return found == misfits.end() ? nullptr : &*found;
    }
  };
  /// By service, required label, and whether the queue is confined. The names are those of open
  /// jobs, which a pass does not remove.
  std::map<std::tuple<std::string_view, std::string_view, bool>, group> groups;
};

} // namespace parsleylead

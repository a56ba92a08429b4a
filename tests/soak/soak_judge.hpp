#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "standin-platform/worker_service.hpp"

namespace parsleylead::soak {

/// No task may be started in an evacuated zone later than this after the store has acknowledged the
/// operator's record.
inline constexpr std::chrono::milliseconds evacuation_bound{5'000};

/// Checks the guarantees of the system against what callers and workers observe. Not thread-safe.
class soak_judge : public standin::worker_observer {
public:
  void job_submitted(const std::string& job, const std::string& payload, std::uint32_t tasks,
                     bool durable);
  /// A task of the job crashes each worker that starts it.
  void job_is_deadly(const std::string& job, const std::string& task);
  void job_completed(const std::string& job);
  /// The caller was told that no task of this submission ran.
  void job_refused(const std::string& job);
  /// The caller was told that the job is stored.
  void job_accepted(const std::string& job) { jobs_.at(job).accepted = true; }
  /// The caller was told that the job is cancelled.
  void job_cancelled(const std::string& job);
  /// A request was sent whole and its connection ended, or its deadline passed, without a complete
  /// response. `job` is empty if the request submits none.
  void request_lost(const std::string& request, const std::string& job,
                    const std::string& circumstances);
  /// A query for a durable job returned that the job failed.
  void job_reported_failed(const std::string& job);
  /// Durable jobs that were accepted and not cancelled.
  std::vector<std::string> accepted_jobs() const;
  /// The caller submits the same job again, possibly to another entry. A refusal then speaks for
  /// that submission only: tasks of an earlier one may have run.
  void job_resubmitted(const std::string& job) { resubmitted_jobs_.insert(job); }

  /// The store has acknowledged that the zone of these workers is evacuated.
  void zone_evacuated(const std::vector<std::string>& workers);
  /// The operator takes the evacuation of the zone of these workers back.
  void evacuation_ended(const std::vector<std::string>& workers);
  /// `is_late` says whether the worker just executes an order that it had left unanswered. Such
  /// starts are no violation of an evacuation.
  void set_late_orders(std::function<bool(const std::string& worker)> is_late) {
    is_late_ = std::move(is_late);
  }
  /// Whether the worker has started a task since the last evacuation of its zone ended, if any did.
  bool started_since_evacuation(const std::string& worker) const;
  /// Starts elsewhere while an evacuation had been in force for longer than its bound.
  std::size_t starts_beside_evacuation() const { return starts_beside_evacuation_; }

  void run_started(const std::string& worker, const std::string& task, std::uint64_t run,
                   const std::string& payload) override;
  void run_ended(const std::string& worker, const std::string& task, std::uint64_t run,
                 const std::string& outcome) override;
  void completion_acknowledged(const std::string& task, std::uint64_t run) override;
  void overloaded(const std::string& worker) override;

  /// Records a violated guarantee with the time since the start of the run.
  void record_violation(const std::string& description);
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t starts() const { return starts_; }
  /// Highest number of workers that crashed under a deadly task of a durable job.
  int max_durable_crashes() const;

private:
  struct job_record {
    std::string payload;
    std::uint32_t tasks = 0;
    bool started = false;
    bool refused = false;
    bool accepted = false;
    bool durable = false;
    /// Name of the task that crashes its workers, or empty.
    std::string deadly_task;
    /// Number of workers that crashed under a task, by task.
    std::map<std::string, int> crashes;
    /// Starts of the deadly task after max_crashes workers had crashed under it.
    int starts_beyond_budget = 0;
    std::optional<std::chrono::steady_clock::time_point> cancelled;
    /// Number of failed runs, by task.
    std::map<std::string, int> failed_runs;
    /// Runs that completed, by task.
    std::map<std::string, std::set<std::uint64_t>> completed_runs;
  };

  void check_evacuation(const std::string& worker, const std::string& task);
  void check_crash_budget(job_record& record, const std::string& task);

  std::map<std::string, job_record> jobs_;
  /// Tasks whose end was acknowledged to the worker, see worker_observer.
  std::set<std::string> noted_tasks_;
  /// Runs that completed before another run of their task was started, as (task, run).
  std::set<std::pair<std::string, std::uint64_t>> superseded_runs_;
  std::set<std::string> resubmitted_jobs_;
  struct active_run {
    std::string worker;
    std::chrono::steady_clock::time_point started_at;
  };

  /// When the evacuation of the zone was acknowledged, by host of its workers.
  std::map<std::string, std::chrono::steady_clock::time_point> evacuated_since_;
  std::set<std::string> idle_since_evacuation_;
  std::function<bool(const std::string&)> is_late_;
  std::size_t starts_beside_evacuation_ = 0;
  std::chrono::steady_clock::time_point started_at_ = std::chrono::steady_clock::now();
  std::map<std::string, active_run> active_runs_;
  std::vector<std::string> violations_;
  std::size_t starts_ = 0;
};

} // namespace parsleylead::soak

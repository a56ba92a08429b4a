#include "soak_judge.hpp"

#include <algorithm>

namespace parsleylead::soak {
namespace {

using std::chrono::milliseconds;

// Failed runs of a task after which its job fails; equals max_attempts in the routes that soak_site
// publishes.
constexpr int max_task_attempts = 4;
// Rule BUDGET: a task that crashes the workers that start it must not be started
// excessive_starts times more after max_crashes workers have crashed under it.
constexpr int max_crashes = 3;
constexpr int excessive_starts = 3;
// A job may be shown as failed once this many workers have crashed under its deadly task.
constexpr int min_crashes_to_give_up = 2;
// No task of a job may start later than this after the caller was told that the job is cancelled.
constexpr milliseconds cancel_deadline{3'000};

std::string job_of(const std::string& task) {
  return task.substr(0, task.find('.'));
}

/// Returns the host of a worker: a replaced worker "worker-1" is called "worker-1-2".
std::string host_of(const std::string& worker) {
  return worker.substr(0, worker.find('-', worker.find('-') + 1));
}

} // namespace

void soak_judge::record_violation(const std::string& description) {
  const auto elapsed =
      std::chrono::round<milliseconds>(std::chrono::steady_clock::now() - started_at_);
  violations_.push_back(std::to_string(elapsed.count()) + " ms: " + description);
}

void soak_judge::job_submitted(const std::string& job, const std::string& payload,
                               std::uint32_t tasks, bool durable) {
  auto& record = jobs_[job];
  record.durable = durable;
  record.payload = payload;
  record.tasks = tasks;
}

void soak_judge::job_is_deadly(const std::string& job, const std::string& task) {
  jobs_.at(job).deadly_task = task;
}

int soak_judge::max_durable_crashes() const {
  int most = 0;
  for (const auto& [name, record] : jobs_) {
    if (const auto found = record.crashes.find(record.deadly_task);
        record.durable && found != record.crashes.end()) {
      most = std::max(most, found->second);
    }
  }
  return most;
}

void soak_judge::job_completed(const std::string& job) {
  const auto& record = jobs_.at(job);
  if (!record.deadly_task.empty()) {
    record_violation("job " + job + " was reported as completed although its task " +
                     record.deadly_task + " only crashes workers");
  }
  const auto completed_tasks = static_cast<std::size_t>(
      std::count_if(record.completed_runs.begin(), record.completed_runs.end(),
                    [](const auto& task) { return !task.second.empty(); }));
  if (completed_tasks != record.tasks) {
    record_violation("job " + job + " was reported as completed although only " +
                     std::to_string(completed_tasks) + " of " + std::to_string(record.tasks) +
                     " tasks completed");
  }
}

void soak_judge::job_cancelled(const std::string& job) {
  jobs_.at(job).cancelled = std::chrono::steady_clock::now();
}

void soak_judge::request_lost(const std::string& request, const std::string& job,
                              const std::string& circumstances) {
  std::string description = "a request (" + request + (job.empty() ? "" : " " + job) +
                            ") got no complete response, " + circumstances;
  if (!job.empty()) {
    description += jobs_.at(job).started ? "; a task had started" : "; no task had started";
  }
  record_violation(description);
}

void soak_judge::job_reported_failed(const std::string& job) {
  const auto& record = jobs_.at(job);
  const auto& failed_runs = record.failed_runs;
  if (const auto crashes = record.crashes.find(record.deadly_task);
      crashes != record.crashes.end() && crashes->second >= min_crashes_to_give_up) {
    return;
  }
  if (std::none_of(failed_runs.begin(), failed_runs.end(),
                   [](const auto& task) { return task.second >= max_task_attempts; })) {
    int most_crashes = 0;
    for (const auto& [task, crashes] : record.crashes) {
      most_crashes = std::max(most_crashes, crashes);
    }
    record_violation("job " + job +
                     " was reported as failed although no task used up its attempts; at most " +
                     std::to_string(most_crashes) + " workers crashed under one of its tasks");
  }
}

std::vector<std::string> soak_judge::accepted_jobs() const {
  std::vector<std::string> accepted;
  for (const auto& [name, record] : jobs_) {
    if (record.accepted && !record.cancelled) {
      accepted.push_back(name);
    }
  }
  return accepted;
}

void soak_judge::completion_acknowledged(const std::string& task, std::uint64_t run) {
  noted_tasks_.insert(task);
  if (superseded_runs_.contains({task, run})) {
    record_violation("the end of an earlier run of task " + task +
                     " was acknowledged after the task was restarted");
  }
}

void soak_judge::job_refused(const std::string& job) {
  auto& record = jobs_.at(job);
  record.refused = true;
  if (record.started && !resubmitted_jobs_.contains(job)) {
    record_violation("job " + job +
                     " was refused as not run although one of its tasks had started");
  }
}

void soak_judge::run_started(const std::string& worker, const std::string& task,
                             std::uint64_t /*run*/, const std::string& payload) {
  ++starts_;
  const auto found = jobs_.find(job_of(task));
  if (found == jobs_.end()) {
    record_violation("task " + task + " was started although its job was never submitted");
    return;
  }
  found->second.started = true;
  if (found->second.payload != payload) {
    record_violation("task " + task +
                     " was started with a payload that differs from the submitted one");
  }
  if (found->second.refused && !resubmitted_jobs_.contains(found->first)) {
    record_violation("task " + task + " was started after its job was refused");
  }
  if (found->second.cancelled &&
      std::chrono::steady_clock::now() - *found->second.cancelled > cancel_deadline) {
    record_violation("task " + task + " was started too long after its job was cancelled");
  }
  check_crash_budget(found->second, task);
  check_evacuation(worker, task);
  // A job that is not durable may run again from the start when its caller resubmits it.
  if (found->second.accepted) {
    for (const auto completed_run : found->second.completed_runs[task]) {
      superseded_runs_.emplace(task, completed_run);
    }
    if (noted_tasks_.contains(task)) {
      record_violation("task " + task + " was started after its end had been acknowledged");
    }
  }
  const auto [previous, added] =
      active_runs_.emplace(task, active_run{worker, std::chrono::steady_clock::now()});
  if (!added) {
    const auto previous_age = std::chrono::round<milliseconds>(std::chrono::steady_clock::now() -
                                                               previous->second.started_at);
    record_violation("task " + task + " was started on " + worker +
                     " while it had been running on " + previous->second.worker + " for " +
                     std::to_string(previous_age.count()) + " ms" +
                     (resubmitted_jobs_.contains(found->first) ? ", its job was sent twice" : ""));
  }
}

void soak_judge::zone_evacuated(const std::vector<std::string>& workers) {
  for (const auto& worker : workers) {
    evacuated_since_.emplace(host_of(worker), std::chrono::steady_clock::now());
  }
}

void soak_judge::evacuation_ended(const std::vector<std::string>& workers) {
  for (const auto& worker : workers) {
    evacuated_since_.erase(host_of(worker));
    idle_since_evacuation_.insert(host_of(worker));
  }
}

bool soak_judge::started_since_evacuation(const std::string& worker) const {
  return !idle_since_evacuation_.contains(host_of(worker));
}

void soak_judge::check_evacuation(const std::string& worker, const std::string& task) {
  const auto now = std::chrono::steady_clock::now();
  const auto in_force = [now](const auto& each) { return now - each.second > evacuation_bound; };
  const auto own = evacuated_since_.find(host_of(worker));
  if (own == evacuated_since_.end()) {
    idle_since_evacuation_.erase(host_of(worker));
    starts_beside_evacuation_ +=
        std::any_of(evacuated_since_.begin(), evacuated_since_.end(), in_force) ? 1 : 0;
  } else if (in_force(*own) && !(is_late_ && is_late_(worker))) {
    const auto age = std::chrono::round<milliseconds>(now - own->second);
    record_violation("task " + task + " was started on " + worker + " " +
                     std::to_string(age.count()) +
                     " ms after the evacuation of its zone was acknowledged");
  }
}

void soak_judge::check_crash_budget(job_record& record, const std::string& task) {
  if (!record.durable || task != record.deadly_task || record.crashes[task] < max_crashes) {
    return;
  }
  if (++record.starts_beyond_budget == excessive_starts) {
    record_violation("task " + task + " was started " + std::to_string(excessive_starts) +
                     " times more after " + std::to_string(max_crashes) +
                     " workers had crashed under it");
  }
}

void soak_judge::run_ended(const std::string& worker, const std::string& task, std::uint64_t run,
                           const std::string& outcome) {
  if (const auto active = active_runs_.find(task);
      active != active_runs_.end() && active->second.worker == worker) {
    active_runs_.erase(active);
  }
  if (outcome == "done") {
    jobs_[job_of(task)].completed_runs[task].insert(run);
  } else if (outcome == "failed") {
    ++jobs_[job_of(task)].failed_runs[task];
  } else if (outcome == "crashed") {
    ++jobs_[job_of(task)].crashes[task];
  }
}

void soak_judge::overloaded(const std::string& worker) {
  record_violation("worker " + worker + " was given more runs than its capacity allows");
}

} // namespace parsleylead::soak

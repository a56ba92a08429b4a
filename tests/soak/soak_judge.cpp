#include "soak_judge.hpp"

#include <algorithm>

namespace parsleylead::soak {
namespace {

using std::chrono::milliseconds;

// Failed runs of a task after which its job has failed; the soak's routes say so.
constexpr int max_attempts = 4;
// Tasks of a cancelled job are no longer started after this time.
constexpr milliseconds cancel_limit{3'000};

std::string job_of(const std::string& task) {
  return task.substr(0, task.find('.'));
}

} // namespace

void soak_judge::violation(const std::string& what) {
  const auto at = std::chrono::round<milliseconds>(std::chrono::steady_clock::now() - began_);
  violations_.push_back(std::to_string(at.count()) + " ms: " + what);
}

void soak_judge::submitted(const std::string& job, const std::string& payload,
                           std::uint32_t tasks) {
  auto& record = jobs_[job];
  record.payload = payload;
  record.tasks = tasks;
}

void soak_judge::completed(const std::string& job) {
  const auto& record = jobs_.at(job);
  const auto done = static_cast<std::size_t>(
      std::count_if(record.done.begin(), record.done.end(),
                    [](const auto& each) { return !each.second.empty(); }));
  if (done != record.tasks) {
    violation("job " + job + " was answered as completed with " + std::to_string(done) + " of " +
              std::to_string(record.tasks) + " tasks done");
  }
}

void soak_judge::cancelled(const std::string& job) {
  jobs_.at(job).cancelled = std::chrono::steady_clock::now();
}

void soak_judge::shown_failed(const std::string& job) {
  const auto& failures = jobs_.at(job).failures;
  if (std::none_of(failures.begin(), failures.end(),
                   [](const auto& each) { return each.second >= max_attempts; })) {
    violation("job " + job + " is shown as failed without cause");
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

void soak_judge::done_noted(const std::string& task, std::uint64_t run) {
  noted_.insert(task);
  if (repeated_.contains({task, run})) {
    violation("the end of task " + task + " was taken note of after the task was started again");
  }
}

void soak_judge::refused(const std::string& job) {
  auto& record = jobs_.at(job);
  record.refused = true;
  if (record.started && !again_.contains(job)) {
    violation("job " + job + " was refused as not run after a task of it had started");
  }
}

void soak_judge::run_started(const std::string& worker, const std::string& task,
                             std::uint64_t /*run*/, const std::string& payload) {
  ++starts_;
  const auto found = jobs_.find(job_of(task));
  if (found == jobs_.end()) {
    violation("task " + task + " was started, but nobody submitted its job");
    return;
  }
  found->second.started = true;
  if (found->second.payload != payload) {
    violation("task " + task + " was started with another payload");
  }
  if (found->second.refused && !again_.contains(found->first)) {
    violation("task " + task + " was started after its job was refused");
  }
  if (found->second.cancelled &&
      std::chrono::steady_clock::now() - *found->second.cancelled > cancel_limit) {
    violation("task " + task + " was started long after its job was cancelled");
  }
  // Jobs that need not be stored may run again from the start when they are sent again.
  if (found->second.accepted) {
    for (const auto done : found->second.done[task]) {
      repeated_.emplace(task, done);
    }
    if (noted_.contains(task)) {
      violation("task " + task + " was started after its end was taken note of");
    }
  }
  const auto [at, added] =
      running_.emplace(task, active_run{worker, std::chrono::steady_clock::now()});
  if (!added) {
    const auto since =
        std::chrono::round<milliseconds>(std::chrono::steady_clock::now() - at->second.began);
    violation("task " + task + " was started on " + worker + " while it ran on " +
              at->second.worker + " for " + std::to_string(since.count()) + " ms" +
              (again_.contains(found->first) ? ", its job was sent twice" : ""));
  }
}

void soak_judge::run_ended(const std::string& worker, const std::string& task, std::uint64_t run,
                           const std::string& how) {
  if (const auto at = running_.find(task); at != running_.end() && at->second.worker == worker) {
    running_.erase(at);
  }
  if (how == "done") {
    jobs_[job_of(task)].done[task].insert(run);
  } else if (how == "failed") {
    ++jobs_[job_of(task)].failures[task];
  }
}

void soak_judge::overloaded(const std::string& worker) {
  violation("worker " + worker + " was told to run more than it has room for");
}

} // namespace parsleylead::soak

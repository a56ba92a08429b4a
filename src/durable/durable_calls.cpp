// Durable jobs: calls of callers, ends of runs, and lookup of partition holders.

#include <algorithm>
#include <map>
#include <utility>

#include "durable_state.hpp"
#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Delay within which ends of single tasks are batched into one append. The last end of a job,
// submissions and cancellations are stored at once. Without faults, ends have to be acknowledged
// within 100 ms.
constexpr milliseconds progress_delay{40};
// The cached holders of partitions are read again after the first time and not used after the
// second.
constexpr milliseconds holders_refresh_age{1'000};
constexpr milliseconds max_holders_age{30'000};

std::size_t task_count(const fleet_job& job) {
  std::size_t tasks = 0;
  for (const auto& step : job.steps) {
    tasks += step.count;
  }
  return tasks;
}

/// Returns whether an end or a loss of a run is stored.
bool has_progress(const durable_record& record) {
  return std::any_of(record.progress.begin(), record.progress.end(), [](const auto& step) {
    return std::any_of(step.begin(), step.end(),
                       [](const auto& task) { return task != task_progress{}; });
  });
}

/// Returns the epoch whose owner used the attempt.
std::uint64_t epoch_of_attempt(const durable_record& record, std::uint32_t attempt) {
  return record.first_epoch + (attempt > 0 ? attempt - 1 : 0) / attempts_per_epoch;
}

} // namespace

const char* to_string(durable_answer answer) {
  switch (answer) {
  case durable_answer::accepted:
    return "accepted";
  case durable_answer::pending:
    return "pending";
  case durable_answer::running:
    return "running";
  case durable_answer::completed:
    return "completed";
  case durable_answer::failed:
    return "failed";
  case durable_answer::cancelled:
    return "cancelled";
  case durable_answer::no_such_job:
    return "no_such_job";
  case durable_answer::not_owner:
    return "not_owner";
  case durable_answer::refused:
    return "refused";
  default:
    return "unknown";
  }
}

void durable_jobs::submit(fleet_job job, monotonic_time now, const reply& done) {
  now_ = now;
  auto* partition = find_partition(job.id);
  if (partition == nullptr) {
    done(durable_answer::not_owner);
    return;
  }
  const auto id = job.id;
  const auto known = partition->jobs.find(id);
  if (known != partition->jobs.end() && known->second.stored) {
    done(durable_answer::accepted);
    return;
  }
  // While appends fail, a queued submission would only be refused later.
  if (known == partition->jobs.end() &&
      (open_jobs_ >= settings_.max_open_jobs ||
       open_tasks_ + task_count(job) > settings_.max_open_tasks || partition->append_failing)) {
    events_.write("job_refused", "job", format_job(id), "open_jobs", open_jobs_, "open_tasks",
                  open_tasks_, "store_failing", partition->append_failing);
    done(durable_answer::refused);
    return;
  }
  auto waiting = std::make_shared<pending_reply>(
      pending_reply{done, now + 2 * settings_.store_timeout, false});
  pending_replies_.push_back(waiting);
  const auto [slot, added] = partition->jobs.try_emplace(id);
  auto& added_job = slot->second;
  added_job.submitters.push_back(std::move(waiting));
  if (!added) {
    return; // A repeated submission, before the store has answered.
  }
  added_job.record.job = std::move(job);
  add_open(added_job.record);
  added_job.record.first_epoch = partition->epoch;
  added_job.record.progress = empty_progress(added_job.record.job);
  queue_change(*partition,
               {store_change::kind::submission, id, now, now,
                [this, id](bool stored) {
                  auto* current = find_writable(id);
                  if (current == nullptr) {
                    return; // The partition was dropped and the callers were answered.
                  }
                  auto& stored_job = current->jobs.at(id);
                  const auto callers = std::exchange(stored_job.submitters, {});
                  if (stored) {
                    stored_job.stored = true;
                    if (current->owned()) {
                      start_job(*current, stored_job);
                    }
                  } else {
                    remove_open(stored_job.record);
                    current->jobs.erase(id);
                  }
                  events_.write(stored ? "job_accepted" : "job_refused", "job", format_job(id),
                                "partition", current->number, "epoch", current->epoch);
                  metrics_.add("parsleylead_entry_durable_jobs_total",
                               {{"answer", stored ? "accepted" : "refused"}});
                  for (const auto& caller : callers) {
                    caller->answer(stored ? durable_answer::accepted : durable_answer::refused);
                  }
                }},
               now);
}

void durable_jobs::cancel(std::uint64_t id, monotonic_time now, const reply& done) {
  now_ = now;
  auto* partition = find_partition(id);
  if (partition == nullptr) {
    done(durable_answer::not_owner);
    return;
  }
  const auto found = partition->jobs.find(id);
  if (found == partition->jobs.end() || found->second.forgotten) {
    done(durable_answer::no_such_job);
    return;
  }
  auto& job = found->second;
  if (job.record.ended) {
    done(query(id));
    return;
  }
  if (!job.stored) {
    done(durable_answer::unknown); // The store has not answered its submission yet.
    return;
  }
  auto waiting = std::make_shared<pending_reply>(
      pending_reply{done, now + 2 * settings_.store_timeout, false});
  pending_replies_.push_back(waiting);
  if (!job.pending_verdict) {
    job.pending_verdict = job_verdict::cancelled;
  }
  queue_change(*partition,
               {store_change::kind::job, id, now, now,
                [this, id, waiting](bool) {
                  if (auto* current = find_writable(id)) {
                    close_job(*current, id);
                    waiting->answer(state_of(*current, id)); // Also while it is being released.
                  }
                }},
               now);
}

/// Returns the progress to keep of a job that ends. A task that is not done may have been started
/// again after the attempts that were lost, or were those of earlier owners: `ended_attempt` is set
/// above them, so that their ends are still superseded.
std::vector<std::vector<task_progress>>
durable_jobs::final_progress(const partition_state& partition, const durable_record& record) {
  const auto earlier_epochs =
      std::max(partition.restart_epoch, record.first_epoch) - record.first_epoch;
  const auto earlier_attempts = static_cast<std::uint32_t>(earlier_epochs * attempts_per_epoch);
  auto progress = record.progress;
  for (auto& step : progress) {
    for (auto& task : step) {
      const auto restarted = std::max(task.lost_attempt, earlier_attempts);
      if (!task.done && restarted > 0) {
        task.ended_attempt = std::max(task.ended_attempt, restarted + 1);
      }
    }
  }
  return progress;
}

void durable_jobs::add_open(const durable_record& record) {
  ++open_jobs_;
  open_tasks_ += task_count(record.job);
}

void durable_jobs::remove_open(const durable_record& record) {
  --open_jobs_;
  open_tasks_ -= task_count(record.job);
}

/// Ends a job whose result has been stored.
void durable_jobs::close_job(partition_state& partition, std::uint64_t id) {
  auto& job = partition.jobs.at(id);
  if (std::exchange(job.running, false)) {
    port_.drop_job(id);
  }
  if (job.record.ended) {
    return;
  }
  remove_open(job.record);
  job.record.progress = final_progress(partition, job.record);
  job.record.job = {};
  job.record.ended = job.pending_verdict;
  partition.ended.emplace_back(now_ + settings_.ended_retention, id);
  events_.write("durable_job_ended", "job", format_job(id), "verdict",
                to_string(*job.pending_verdict));
}

std::vector<partition_counts> durable_jobs::waiting_jobs() const {
  std::vector<partition_counts> all;
  for (const auto& [number, partition] : partitions_) {
    if (!partition->claimed) {
      continue;
    }
    std::map<std::string, std::uint32_t> by_queue;
    for (const auto& [id, job] : partition->jobs) {
      if (job.is_open() && !has_progress(job.record) && !port_.has_begun(id)) {
        ++by_queue[job.record.job.terms.queue];
      }
    }
    auto& counted = all.emplace_back();
    counted.claim = {number, partition->epoch};
    for (const auto& [queue, jobs] : by_queue) {
      counted.counts.push_back({queue, jobs});
    }
  }
  return all;
}

durable_answer durable_jobs::query(std::uint64_t id) const {
  const auto* partition = find_partition(id);
  return partition == nullptr ? durable_answer::not_owner : state_of(*partition, id);
}

durable_answer durable_jobs::state_of(const partition_state& partition, std::uint64_t id) const {
  const auto found = partition.jobs.find(id);
  if (found == partition.jobs.end() || found->second.forgotten) {
    return durable_answer::no_such_job;
  }
  const auto& job = found->second;
  if (job.record.ended) {
    switch (*job.record.ended) {
    case job_verdict::completed:
      return durable_answer::completed;
    case job_verdict::failed:
      return durable_answer::failed;
    default:
      return durable_answer::cancelled;
    }
  }
  if (!job.stored) {
    return durable_answer::unknown;
  }
  const bool begun =
      job.pending_verdict || port_.has_begun(id) || job.record.first_epoch != partition.epoch;
  return begun ? durable_answer::running : durable_answer::pending;
}

/// Returns whether the end's task was started again before the end was known, because its agent
/// could not be reached, and would not have been if it had been known.
bool durable_jobs::is_superseded(const partition_state& partition, const durable_job& job,
                                 const run_end& end, bool is_current) {
  const auto attempt = end.run.attempt;
  const auto& task = job.record.progress[end.run.task.step][end.run.task.index];
  const bool done = end.outcome == run_outcome::done;
  if (!done && contains_attempt(task.failed_attempts, attempt)) {
    return false;
  }
  if (attempt <= task.ended_attempt && (done || job.record.ended)) {
    return attempt < task.ended_attempt;
  }
  if (job.record.ended) {
    return false;
  }
  // Stored losses and the restart epoch tell of the starts of earlier owners.
  if (attempt <= task.lost_attempt ||
      epoch_of_attempt(job.record, attempt) < partition.restart_epoch) {
    return true;
  }
  if (!job.running || is_current) {
    return false;
  }
  // A failure that uses up the task's attempts would have prevented a later start.
  return done ? !task.done : task.failed_attempts.size() + 1 >= job.record.job.terms.max_attempts;
}

/// Returns the progress of a task whose job has not ended, or null.
task_progress* durable_jobs::find_open_task(partition_state& partition, const task_key& task) {
  const auto found = partition.jobs.find(task.job);
  if (found == partition.jobs.end() || found->second.record.ended) {
    return nullptr;
  }
  auto& progress = found->second.record.progress;
  const bool known = task.step < progress.size() && task.index < progress[task.step].size();
  return known ? &progress[task.step][task.index] : nullptr;
}

/// Adds an end that is not superseded to the job's progress.
void durable_jobs::count_end(durable_job& job, const run_end& end, bool is_current) {
  auto& task = job.record.progress[end.run.task.step][end.run.task.index];
  const bool counts_as_current = is_current || !job.running;
  if (end.outcome == run_outcome::done) {
    if (task.done || !counts_as_current) {
      return;
    }
    task.done = true;
  } else if (!add_attempt(task.failed_attempts, end.run.attempt)) {
    return;
  } else if (!counts_as_current) {
    port_.failure_counted(end.run);
  }
  task.ended_attempt = std::max(task.ended_attempt, end.run.attempt);
}

void durable_jobs::run_ended(worker_index worker, const run_end& end, bool is_current,
                             monotonic_time now) {
  now_ = now;
  auto* partition = find_writable(end.run.task.job);
  if (partition == nullptr) {
    return; // The partition's owner acknowledges the end.
  }
  const auto id = end.run.task.job;
  const auto found = partition->jobs.find(id);
  if (found == partition->jobs.end() || end.run.task.step >= found->second.record.progress.size() ||
      end.run.task.index >= found->second.record.progress[end.run.task.step].size()) {
    port_.acknowledge_end(worker, {end.run, false}); // No such task is known.
    return;
  }
  auto& job = found->second;
  const bool superseded = is_superseded(*partition, job, end, is_current);
  if (superseded || job.record.ended) {
    events_.write("end_after_restart", "run", format_run(end.run), "outcome",
                  to_string(end.outcome), "superseded", superseded);
    port_.acknowledge_end(worker, {end.run, superseded});
    return;
  }
  count_end(job, end, is_current);
  // An end that was applied before is stored or queued. Changes of a partition are stored in order,
  // so the acknowledgement below is sent after that.
  queue_change(*partition,
               {store_change::kind::job, id, now, now,
                [this, worker, run = end.run](bool) {
                  port_.acknowledge_end(worker, {run, false});
                }},
               now, progress_delay);
}

void durable_jobs::crash_reported(worker_index worker, const run_id& run, bool is_current,
                                  monotonic_time now) {
  now_ = now;
  auto* partition = find_writable(run.task.job);
  if (partition == nullptr) {
    return; // The partition's owner acknowledges the report.
  }
  auto* task = find_open_task(*partition, run.task);
  if (task == nullptr) {
    port_.acknowledge_end(worker, {run, false});
    return;
  }
  if (add_attempt(task->crashed_attempts, run.attempt)) {
    events_.write("crash_counted", "run", format_run(run), "epoch", partition->epoch, "crashes",
                  task->crashed_attempts.size());
    if (!is_current && partition->jobs.at(run.task.job).running) {
      port_.crash_counted(run);
    }
  }
  queue_change(*partition,
               {store_change::kind::job, run.task.job, now, now,
                [this, worker, run](bool) {
                  port_.acknowledge_end(worker, {run, false});
                }},
               now, progress_delay);
}

void durable_jobs::run_lost(const lost_run& lost, monotonic_time now) {
  now_ = now;
  const auto& run = lost.run;
  auto* partition = find_writable(run.task.job);
  if (partition == nullptr || !partition->jobs.contains(run.task.job)) {
    return; // The next owner starts the task, and is told of a crash by the agent.
  }
  auto& job = partition->jobs.at(run.task.job);
  auto& task = job.record.progress.at(run.task.step).at(run.task.index);
  task.lost_attempt = std::max(task.lost_attempt, run.attempt);
  if (lost.worker_crashed) {
    add_attempt(task.crashed_attempts, run.attempt);
  }
  events_.write("run_lost", "run", format_run(run), "epoch", partition->epoch, "crashes",
                task.crashed_attempts.size());
  queue_change(*partition,
               {store_change::kind::job, run.task.job, now, now,
                [this, run](bool) {
                  if (find_partition(run.task.job) != nullptr) {
                    port_.restart_task(run);
                  }
                }},
               now);
}

void durable_jobs::job_ended(const job_result& result, monotonic_time now) {
  now_ = now;
  const bool final =
      result.verdict == job_verdict::completed || result.verdict == job_verdict::failed;
  auto* partition = final ? find_writable(result.id) : nullptr;
  if (partition == nullptr || !partition->jobs.contains(result.id)) {
    return;
  }
  auto& job = partition->jobs.at(result.id);
  if (!std::exchange(job.running, false)) {
    return; // A job with the same id that is not durable.
  }
  if (job.pending_verdict) {
    return; // The job was cancelled, and that result is being stored.
  }
  job.pending_verdict = result.verdict;
  queue_change(*partition,
               {store_change::kind::job, result.id, now, now,
                [this, id = result.id](bool) {
                  if (auto* current = find_writable(id)) {
                    close_job(*current, id);
                  }
                }},
               now);
}

void durable_jobs::find_holder(std::uint64_t job, monotonic_time now,
                               const std::function<void(std::optional<std::string>)>& done) {
  const auto answer = [this, number = partition_number_of(job), done](monotonic_time time) {
    const auto found = std::find_if(holders_.begin(), holders_.end(), [number](const auto& holder) {
      return holder.partition == number;
    });
    const bool usable =
        holders_read_at_ != monotonic_time{} && time - holders_read_at_ < max_holders_age;
    done(usable && found != holders_.end() ? std::optional(found->member) : std::nullopt);
  };
  if (holders_read_at_ != monotonic_time{} && now - holders_read_at_ < holders_refresh_age) {
    answer(now);
    return;
  }
  holder_requests_.emplace_back([this, answer] { answer(settings_.clock()); });
  if (holder_requests_.size() > 1) {
    return; // A read is already pending.
  }
  log_.holders(settings_.group, [this, alive = std::weak_ptr<int>(alive_)](
                                    absl::StatusOr<std::vector<partition_holder>> holders) {
    if (alive.expired()) {
      return;
    }
    if (holders.ok()) {
      holders_ = std::move(*holders);
      holders_read_at_ = settings_.clock();
    } else {
      events_.write("holders_not_read", "cause", std::string(holders.status().message()));
    }
    for (const auto& request : std::exchange(holder_requests_, {})) {
      request();
    }
  });
}

} // namespace parsleylead

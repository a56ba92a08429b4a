#include "fleet_scheduler_state.hpp"

#include <algorithm>
#include <utility>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds quarantine_update_interval{250};

} // namespace

fleet_scheduler::fleet_scheduler(fleet_policy policy, std::string availability_zone,
                                 std::uint64_t seed)
    : policy_(policy), availability_zone_(std::move(availability_zone)), random_(seed),
      search_(policy.search), reach_(policy.reach), crash_history_(policy.crashes) {}

fleet_scheduler::~fleet_scheduler() = default;

bool fleet_scheduler::is_open(std::uint64_t id) const {
  return jobs_.contains(id);
}

std::unique_ptr<fleet_scheduler::job> fleet_scheduler::make_job(fleet_job spec,
                                                                monotonic_time now) const {
  auto created = std::make_unique<job>();
  auto& open_job = *created;
  open_job.arrived = now;
  open_job.deadline = spec.ownership ? monotonic_time::max() : now + spec.answer_timeout;
  open_job.spec = std::move(spec);
  open_job.queue = queue_hash(open_job.spec.terms.queue);
  open_job.remaining_path = critical_path(open_job.spec.steps);
  for (const auto& step : open_job.spec.steps) {
    open_job.tasks.emplace_back(step.count);
    open_job.remaining_tasks.push_back(step.count);
    open_job.result.tasks += step.count;
  }
  const auto& terms = open_job.spec.terms;
  const auto objective =
      bounded_milliseconds(static_cast<double>(open_job.remaining_path.count()) * terms.stretch +
                           static_cast<double>(terms.target.count()));
  open_job.result.id = open_job.spec.id;
  open_job.result.priority = open_job.spec.terms.priority;
  open_job.result.objective = objective;
  open_job.objective = now + objective;
  open_job.late_limit = now + std::chrono::round<milliseconds>(objective * policy_.late_factor);
  return created;
}

void fleet_scheduler::submit(fleet_job spec, monotonic_time now) {
  check_invariant(!jobs_.contains(spec.id), "entry: a job with this id is already open");
  if (first_submission_ == monotonic_time{}) {
    first_submission_ = now;
  }
  auto created = make_job(std::move(spec), now);
  auto& open_job = *created;
  last_submissions_[open_job.spec.terms.service][open_job.spec.terms.queue] = now;
  jobs_.emplace(open_job.spec.id, std::move(created));
  if (open_job.is_durable()) {
    restore_progress(open_job);
    return;
  }
  for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
    require_worker(open_job, step, now);
  }
  if (lacks_worker(open_job, false, now)) {
    finish(open_job, job_verdict::not_run, cause_of_absence(open_job), now);
    return;
  }
  if (backlog_ + awaiting_tasks_ + open_job.result.tasks > policy_.max_backlog) {
    finish(open_job, job_verdict::not_run, job_cause::backlog_full, now);
    return;
  }
  if (!all_workers_reachable(open_job)) {
    open_job.awaits_workers = true;
    awaiting_tasks_ += open_job.result.tasks;
    awaiting_jobs_.push_back(open_job.spec.id);
    return;
  }
  admit(open_job, now);
}

void fleet_scheduler::handle_awaiting_jobs(monotonic_time now) {
  for (const auto id : std::exchange(awaiting_jobs_, {})) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second->awaits_workers) {
      continue;
    }
    auto& open_job = *found->second;
    for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
      require_worker(open_job, step, now);
    }
    if (lacks_worker(open_job, false, now)) {
      finish(open_job, job_verdict::not_run, cause_of_absence(open_job), now);
    } else if (all_workers_reachable(open_job)) {
      stop_awaiting(open_job);
      admit(open_job, now);
    } else {
      awaiting_jobs_.push_back(id);
    }
  }
}

void fleet_scheduler::stop_awaiting(job& open_job) {
  if (std::exchange(open_job.awaits_workers, false)) {
    awaiting_tasks_ -= open_job.result.tasks;
  }
}

void fleet_scheduler::restore_progress(job& open_job) {
  const auto& ownership = *open_job.spec.ownership;
  bool failed = false;
  for (std::uint32_t step = 0; step < open_job.tasks.size(); ++step) {
    for (std::uint32_t index = 0; index < open_job.tasks[step].size(); ++index) {
      auto& restored = open_job.tasks[step][index];
      restored.attempts = ownership.prior_attempts;
      if (ownership.progress.empty()) {
        continue;
      }
      const auto& known = ownership.progress.at(step).at(index);
      restored.failures = static_cast<std::uint32_t>(known.failed_attempts.size());
      restored.crashes = static_cast<std::uint32_t>(known.crashed_attempts.size());
      restored.needs_isolation = restored.crashes > 0;
      open_job.has_suspects = open_job.has_suspects || restored.needs_isolation;
      open_job.any_run_ended = open_job.any_run_ended || known.ended_attempt > 0;
      if (known.done) {
        restored.current_state = task::state::done;
        --open_job.remaining_tasks[step];
      }
      failed = failed || (!known.done && restored.failures >= open_job.spec.terms.max_attempts);
    }
  }
  const auto now = open_job.arrived;
  if (failed) {
    finish(open_job, job_verdict::failed, job_cause::attempts_used_up, now);
  } else if (std::all_of(open_job.remaining_tasks.begin(), open_job.remaining_tasks.end(),
                         [](auto left) { return left == 0; })) {
    finish(open_job, job_verdict::completed, job_cause::none, now);
  } else {
    open_job.remaining_path = remaining_path(open_job.spec.steps, open_job.remaining_tasks);
    enable_ready_steps(open_job);
  }
}

void fleet_scheduler::suspend(std::uint64_t id) {
  auto& open_job = *jobs_.at(id);
  open_job.suspended = true;
  backlog_ -= open_job.ready;
  open_job.ready = 0;
  for (std::uint32_t step = 0; step < open_job.tasks.size(); ++step) {
    for (std::uint32_t index = 0; index < open_job.tasks[step].size(); ++index) {
      auto& placed_task = open_job.tasks[step][index];
      if (placed_task.current_state == task::state::placed && !placed_task.stop_requested) {
        placed_task.stop_requested = true;
        stops_.push_back({placed_task.worker, {{id, step, index}, placed_task.attempts}, true});
      }
    }
  }
}

bool fleet_scheduler::is_placed(std::uint64_t id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second->placed > 0;
}

bool fleet_scheduler::has_begun(std::uint64_t id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second->may_have_run();
}

void fleet_scheduler::enable_ready_steps(job& open_job) {
  if (open_job.suspended) {
    return;
  }
  for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
    const auto& dependencies = open_job.spec.steps[step].depends_on;
    if (!std::all_of(dependencies.begin(), dependencies.end(), [&](std::uint32_t earlier) {
          return open_job.remaining_tasks.at(earlier) == 0;
        })) {
      continue;
    }
    for (auto& blocked_task : open_job.tasks[step]) {
      if (blocked_task.current_state == task::state::blocked) {
        blocked_task.current_state = task::state::ready;
        ++open_job.ready;
        ++backlog_;
      }
    }
  }
}

void fleet_scheduler::cancel(std::uint64_t id, monotonic_time /*now*/) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  stop_awaiting(*found->second);
  stop_runs(*found->second);
  backlog_ -= found->second->ready;
  jobs_.erase(found);
}

void fleet_scheduler::end_open_jobs(job_cause cause, monotonic_time now) {
  std::vector<std::uint64_t> ended;
  for (const auto& [id, open_job] : jobs_) {
    if (!open_job->is_durable()) {
      ended.push_back(id);
    }
  }
  for (const auto id : ended) {
    auto& open_job = *jobs_.at(id);
    finish(open_job, open_job.may_have_run() ? job_verdict::unknown : job_verdict::not_run, cause,
           now);
  }
}

void fleet_scheduler::stop_runs(job& open_job) {
  for (std::uint32_t step = 0; step < open_job.tasks.size(); ++step) {
    for (std::uint32_t index = 0; index < open_job.tasks[step].size(); ++index) {
      auto& placed_task = open_job.tasks[step][index];
      if (placed_task.current_state == task::state::placed) {
        stops_.push_back(
            {placed_task.worker, {{open_job.spec.id, step, index}, placed_task.attempts}, false});
        unplace(open_job, step, index);
      }
    }
  }
}

void fleet_scheduler::finish(job& open_job, job_verdict verdict, job_cause cause,
                             monotonic_time now) {
  stop_awaiting(open_job);
  stop_runs(open_job);
  backlog_ -= open_job.ready;
  auto& result = open_job.result;
  result.verdict = verdict;
  result.cause = cause;
  result.elapsed = std::chrono::round<milliseconds>(now - open_job.arrived);
  if (verdict == job_verdict::not_run) {
    explain_refusal(open_job, cause, now);
  }
  results_.push_back(std::move(result));
  const auto id = open_job.spec.id; // `erase` destroys the job and with it a key that refers to it.
  jobs_.erase(id);
}

fleet_scheduler::task* fleet_scheduler::find_task(const run_id& run, worker_index placed_on) {
  const auto found = jobs_.find(run.task.job);
  if (found == jobs_.end() || run.task.step >= found->second->tasks.size() ||
      run.task.index >= found->second->tasks[run.task.step].size()) {
    return nullptr;
  }
  auto& candidate = found->second->tasks[run.task.step][run.task.index];
  const bool current = candidate.current_state == task::state::placed &&
                       candidate.worker == placed_on && candidate.attempts == run.attempt;
  return current ? &candidate : nullptr;
}

void fleet_scheduler::requeue(job& open_job, std::uint32_t step, std::uint32_t index,
                              monotonic_time now) {
  if (open_job.suspended) {
    return;
  }
  if (open_job.stalled && !open_job.is_durable()) {
    // The caller may have submitted the job elsewhere meanwhile: another run could overlap with it.
    finish(open_job, job_verdict::unknown, job_cause::process_stalled, now);
    return;
  }
  open_job.tasks[step][index].current_state = task::state::ready;
  ++open_job.ready;
  ++backlog_;
}

void fleet_scheduler::task_done(job& open_job, std::uint32_t step, monotonic_time now) {
  if (--open_job.remaining_tasks[step] > 0) {
    return;
  }
  if (std::all_of(open_job.remaining_tasks.begin(), open_job.remaining_tasks.end(),
                  [](auto left) { return left == 0; })) {
    finish(open_job, job_verdict::completed, job_cause::none, now);
    return;
  }
  open_job.remaining_path = remaining_path(open_job.spec.steps, open_job.remaining_tasks);
  enable_ready_steps(open_job);
}

bool fleet_scheduler::run_ended(worker_index index, const run_end& end, monotonic_time now) {
  auto* ended_task = find_task(end.run, index);
  if (ended_task == nullptr) {
    explain_loss(end, now);
    return false;
  }
  auto& open_job = *jobs_.at(end.run.task.job);
  const auto [id, step, number] = end.run.task;
  unplace(open_job, step, number);
  open_job.result.last_worker = workers_[index]->status.description.worker_id;
  open_job.any_run_ended = open_job.any_run_ended || end.outcome != run_outcome::not_started;
  switch (end.outcome) {
  case run_outcome::done:
    ended_task->current_state = task::state::done;
    task_done(open_job, step, now);
    return true;
  case run_outcome::failed:
    ++open_job.result.failed_runs;
    ended_task->avoided_workers.push_back(index);
    if (++ended_task->failures >= open_job.spec.terms.max_attempts) {
      finish(open_job, job_verdict::failed, job_cause::attempts_used_up, now);
      return true;
    }
    break;
  case run_outcome::not_started:
    // Other entries used the worker's free resources first; its next report accounts for them.
    // An order that is returned sooner was not kept waiting by long runs: its worker crashed, for
    // example.
    ended_task->returned_isolated_orders +=
        ended_task->isolated && end.waited >= policy_.max_isolated_wait ? 1 : 0;
    break;
  default:
    open_job.result.lost_runs += ended_task->stop_requested ? 0 : 1;
    if (end.outcome == run_outcome::lost) {
      given_up_runs_.push_back({end.run, workers_[index]->agent, end.cause, end.worker_crashed});
    }
    if (end.worker_crashed) {
      if (record_crash(open_job, *ended_task, end.suspect, ended_task->isolated)) {
        finish(open_job, job_verdict::failed, job_cause::crashes_workers, now);
        return true;
      }
    } else if (end.cause == loss_cause::connection_refused ||
               end.cause == loss_cause::worker_silent) {
      record_unexplained_loss(open_job, *ended_task, end, now);
    }
    if ((end.worker_crashed || end.cause == loss_cause::connection_refused) &&
        !open_job.is_durable() && is_confined(open_job.spec.terms)) {
      // Another run would be late and could cost another worker. The task may be sound, so that
      // the caller may submit the job again.
      finish(open_job, job_verdict::unknown, job_cause::queue_confined, now);
      return true;
    }
    if (open_job.is_durable() && end.outcome == run_outcome::lost) {
      // The worker may still report that the run was done.
      ended_task->current_state = task::state::lost;
      lost_runs_.push_back({end.run, end.worker_crashed});
      return true;
    }
    break;
  }
  requeue(open_job, step, number, now);
  return true;
}

void fleet_scheduler::tick(monotonic_time now) {
  if (now - quarantine_updated_ >= quarantine_update_interval) {
    update_quarantine(now);
  }
  const bool has_own_worker = std::any_of(workers_.begin(), workers_.end(), [](const auto& each) {
    return !each->requested && is_usable(*each);
  });
  if (has_own_worker || last_own_worker_ == monotonic_time{}) {
    last_own_worker_ = now;
  } else if (now - last_own_worker_ >= policy_.own_session_wait) {
    // The entry keeps some sessions that it requests, so that it stays ready.
    search_.add({}, now);
  }
  observe_reach(now);
  release_lost_runs(now);
  expire_jobs(now);
  place_waiting(now);
}

} // namespace parsleylead

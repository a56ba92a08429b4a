#include "fleet_scheduler_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleylead {
namespace {

// From this number of crashes on a task runs isolated, even if other runs were more suspect.
constexpr std::uint32_t isolating_crashes = 2;

} // namespace

void fleet_scheduler::worker_crashed(const crash_report& report, monotonic_time now) {
  crash_history_.record(report, now);
  update_quarantine(now);
}

void fleet_scheduler::update_quarantine(monotonic_time now) {
  quarantine_updated_ = now;
  std::map<std::string, std::vector<worker*>> workers_of_service;
  for (const auto& each : workers_) {
    each->quarantined = false;
    if (each->connected && !each->evacuated) {
      workers_of_service[each->status.description.service].push_back(each.get());
    }
  }
  for (auto& [service, members] : workers_of_service) {
    const auto count = std::max<std::size_t>(
        1, std::lround(policy_.quarantine_share * static_cast<double>(members.size())));
    std::sort(members.begin(), members.end(), [](const worker* a, const worker* b) {
      return std::pair(queue_hash(a->agent), a->agent) < std::pair(queue_hash(b->agent), b->agent);
    });
    for (std::size_t i = 0; i < count; ++i) {
      members[i]->quarantined = true;
    }
  }
  crash_history_.update(now);
  confined_queues_.clear();
  if (!crash_history_.any_confined()) {
    return;
  }
  for (const auto& [service, queues] : last_submissions_) {
    std::set<std::string> confined;
    bool others_active = false;
    for (const auto& [queue, submitted] : queues) {
      if (crash_history_.is_confined(queue_hash(queue))) {
        confined.insert(queue);
      } else {
        others_active = others_active || now - submitted < policy_.queue_activity;
      }
    }
    if (others_active && workers_of_service[service].size() > 1 && !confined.empty()) {
      confined_queues_.emplace(service, std::move(confined));
    }
  }
}

bool fleet_scheduler::is_confined(const job_terms& terms) const {
  const auto found = confined_queues_.find(terms.service);
  return found != confined_queues_.end() && found->second.contains(terms.queue);
}

std::set<std::string> fleet_scheduler::confined_queues() const {
  std::set<std::string> all;
  for (const auto& [service, queues] : confined_queues_) {
    all.insert(queues.begin(), queues.end());
  }
  return all;
}

std::uint32_t fleet_scheduler::max_crashes(const job& open_job) const {
  return open_job.is_durable() ? policy_.max_durable_crashes : policy_.max_crashes;
}

bool fleet_scheduler::record_crash(job& open_job, task& crashed, bool suspect, bool isolated) {
  ++open_job.result.crashed_runs;
  ++crashed.crashes;
  crashed.crashed_alone = crashed.crashed_alone || isolated;
  if ((isolated && crashed.crashes >= max_crashes(open_job)) ||
      crashed.crashes >= policy_.max_crashes_beside_others) {
    return true;
  }
  crashed.needs_isolation =
      crashed.needs_isolation || suspect || crashed.crashes >= isolating_crashes;
  open_job.has_suspects = open_job.has_suspects || crashed.needs_isolation;
  return false;
}

void fleet_scheduler::record_unexplained_loss(job& open_job, task& lost, const run_end& end,
                                              monotonic_time now) {
  const bool crash_suspected = end.cause == loss_cause::connection_refused;
  lost.unexplained_losses.push_back({end.run.attempt, lost.isolated, crash_suspected});
  if (!crash_suspected) {
    return;
  }
  // Isolation ends with the suspicion; that a task is given up is decided by crashes only.
  lost.needs_isolation =
      lost.needs_isolation || end.suspect || lost.possible_crashes() >= isolating_crashes;
  open_job.has_suspects = open_job.has_suspects || lost.needs_isolation;
  // Callers wait for the answers of best-effort jobs, so these wait only after isolated runs.
  const bool may_wait = lost.isolated || open_job.is_durable();
  if (may_wait && lost.possible_crashes() >= max_crashes(open_job)) {
    lost.withheld_until = now + policy_.loss_report_wait;
  }
}

void fleet_scheduler::extend_wait(task& lost, monotonic_time now) const {
  if (!lost.unexplained_losses.empty() && lost.withheld_until > now) {
    lost.withheld_until = now + policy_.loss_report_wait;
  }
}

void fleet_scheduler::explain_loss(const run_end& end, monotonic_time now) {
  const auto found = jobs_.find(end.run.task.job);
  if (end.outcome != run_outcome::lost || found == jobs_.end()) {
    return;
  }
  auto& open_job = *found->second;
  // The owner of a durable job counts its crashes and reports them with `crash_counted`.
  if (end.worker_crashed && open_job.is_durable()) {
    return;
  }
  const auto [id, step, index] = end.run.task;
  if (step >= open_job.tasks.size() || index >= open_job.tasks[step].size()) {
    return;
  }
  auto& lost = open_job.tasks[step][index];
  const auto loss = lost.take_unexplained_loss(end.run.attempt);
  if (!loss || lost.current_state == task::state::done) {
    return;
  }
  // Reports may come in any order: an isolated run that crashed its worker may be known already.
  const bool isolated = loss->isolated || lost.crashed_alone;
  if (end.worker_crashed && record_crash(open_job, lost, end.suspect, isolated)) {
    finish(open_job, job_verdict::failed, job_cause::crashes_workers, now);
    return;
  }
  // Sound tasks would wait for an idle worker.
  lost.needs_isolation = lost.needs_isolation && lost.possible_crashes() > 0;
  if (lost.possible_crashes() < max_crashes(open_job)) {
    lost.withheld_until = {};
  } else if (end.worker_crashed) {
    extend_wait(lost, now);
  }
}

void fleet_scheduler::restart_task(const run_id& lost, monotonic_time now) {
  const auto found = jobs_.find(lost.task.job);
  if (found == jobs_.end()) {
    return;
  }
  const auto& restarted = found->second->tasks.at(lost.task.step).at(lost.task.index);
  if (restarted.current_state == task::state::lost && restarted.attempts == lost.attempt) {
    requeue(*found->second, lost.task.step, lost.task.index, now);
  }
}

void fleet_scheduler::failure_counted(const run_id& failed) {
  const auto found = jobs_.find(failed.task.job);
  if (found != jobs_.end()) {
    ++found->second->tasks.at(failed.task.step).at(failed.task.index).failures;
    ++found->second->result.failed_runs;
  }
}

void fleet_scheduler::crash_counted(const run_id& crashed, monotonic_time now) {
  const auto found = jobs_.find(crashed.task.job);
  if (found == jobs_.end()) {
    return;
  }
  auto& open_job = *found->second;
  auto& crashed_task = open_job.tasks.at(crashed.task.step).at(crashed.task.index);
  if (crashed_task.current_state == task::state::done) {
    return;
  }
  const auto loss = crashed_task.take_unexplained_loss(crashed.attempt);
  const bool isolated = loss && (loss->isolated || crashed_task.crashed_alone);
  if (record_crash(open_job, crashed_task, true, isolated)) {
    finish(open_job, job_verdict::failed, job_cause::crashes_workers, now);
    return;
  }
  extend_wait(crashed_task, now);
}

} // namespace parsleylead

#include "fleet_scheduler_state.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Weight of a worker's load in its score: of two equally fast workers, the less loaded one wins.
constexpr double load_weight = 0.5;
// Largest random share of the score, so that entries with the same view choose different workers.
constexpr double score_jitter = 0.15;
// Factor on the run time on a rack other than the one that holds the data.
constexpr double remote_rack_factor = 1.5;
// Added to the score of a worker that is used only if no other one fits.
constexpr double avoided_penalty_ms = 1e6;
// Added to the score of a cold worker: it is used before those that are avoided, after all others.
constexpr double cold_penalty_ms = 1e5;
// The run time is extrapolated from the progress only above this share.
constexpr double min_extrapolated_progress = 0.05;
// A restarted run is assumed to take at most this many times its estimate.
constexpr double max_estimate_error = 3.0;
// `place_waiting` passes over the jobs of a group after this many of them did not fit on any
// worker.
constexpr int max_unplaced_jobs = 32;
// Maximum number of times that a task is moved because of a slow run.
constexpr std::uint32_t max_moves = 2;
// Assumed remaining time of a run without any progress.
constexpr milliseconds stalled_remaining{10'000};
// Interval at which jobs that wait for workers are checked although no worker has changed.
constexpr milliseconds awaiting_check_interval{100};

/// Returns whether the epoch's attempt numbers are used up: the next one belongs to the next owner.
bool attempts_used_up(const fleet_job& job, std::uint32_t attempts) {
  return job.ownership && attempts - job.ownership->prior_attempts + 1 >= attempts_per_epoch;
}

} // namespace

bool fleet_scheduler::service_may_appear(const std::string& service, monotonic_time now) const {
  return now - first_submission_ < policy_.first_report_wait &&
         std::none_of(workers_.begin(), workers_.end(), [&](const auto& candidate) {
           return candidate->connected && candidate->status.present &&
                  candidate->status.description.service == service;
         });
}

double fleet_scheduler::free_cpu(const worker& candidate) const {
  const auto& status = candidate.status;
  const double other_entries = static_cast<double>(status.committed.cpu_millis) +
                               status.queued_cpu_millis - status.own_cpu_millis;
  return static_cast<double>(status.description.capacity.cpu_millis) -
         std::max(0.0, other_entries) - candidate.own_cpu_millis;
}

double fleet_scheduler::run_time_ms(const worker& candidate, const job_step& step) const {
  const bool other_rack =
      !step.preferred_rack.empty() && step.preferred_rack != candidate.status.description.rack;
  const double success = 1.0 - std::min(candidate.status.failure_share, 0.9);
  return ms(step.estimate) * candidate.status.slowdown * (other_rack ? remote_rack_factor : 1.0) /
         success;
}

bool fleet_scheduler::is_suitable(const worker& candidate, const job& open_job,
                                  std::uint32_t step_number) {
  const auto& step = open_job.spec.steps[step_number];
  return meets(candidate.status.description, open_job.spec.terms.service, step.required_label,
               step.needs);
}

bool fleet_scheduler::can_run(const worker& candidate, const job& open_job, std::uint32_t step) {
  return candidate.status.present && candidate.status.accepting && !candidate.evacuated &&
         is_suitable(candidate, open_job, step);
}

job_cause fleet_scheduler::cause_of_absence(const job& open_job) const {
  for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
    const bool evacuated =
        !could_ever_run(open_job, step) &&
        std::any_of(workers_.begin(), workers_.end(), [&](const auto& each) {
          return each->connected && each->evacuated && is_suitable(*each, open_job, step);
        });
    if (evacuated) {
      return job_cause::zone_evacuated;
    }
  }
  return job_cause::no_capable_worker;
}

bool fleet_scheduler::could_ever_run(const job& open_job, std::uint32_t step) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& candidate) {
    return candidate->connected && can_run(*candidate, open_job, step);
  });
}

bool fleet_scheduler::cold_worker_takes(const worker& candidate, const job& open_job,
                                        std::uint32_t step) const {
  const double capacity = candidate.status.description.capacity.cpu_millis;
  const double used = capacity - free_cpu(candidate);
  const double needed = open_job.spec.steps[step].needs.cpu_millis;
  const double share = policy_.cold_capacity_share * capacity;
  if (needed <= share) {
    return used + needed <= share;
  }
  return used <= 0 && std::none_of(workers_.begin(), workers_.end(), [&](const auto& each) {
           return each->connected && !each->status.cold && can_run(*each, open_job, step);
         });
}

std::optional<fleet_scheduler::placement> fleet_scheduler::choose_worker(const job& open_job,
                                                                         std::uint32_t step_number,
                                                                         const task& waiting) {
  if (waiting.is_to_be_isolated()) {
    return choose_isolated_worker(open_job, step_number, waiting);
  }
  const auto allowed = allowed_quarantine(open_job, step_number);
  std::optional<placement> best;
  double best_score = std::numeric_limits<double>::max();
  std::uniform_real_distribution<double> jitter(0.0, score_jitter);
  for (worker_index index = 0; index < workers_.size(); ++index) {
    const auto assessed = assess(index, open_job, step_number, waiting, allowed);
    if (assessed.exclusion != worker_exclusion::none) {
      continue;
    }
    const double score = assessed.score + assessed.run_time.count() * jitter(random_);
    if (score < best_score) {
      best_score = score;
      best = placement{index, assessed.run_time.count()};
    }
  }
  return best;
}

std::optional<bool> fleet_scheduler::allowed_quarantine(const job& open_job,
                                                        std::uint32_t step) const {
  if (!confined_queues_.contains(open_job.spec.terms.service)) {
    return std::nullopt;
  }
  const bool confined = is_confined(open_job.spec.terms);
  // Accepted jobs and those of other queues may cross the quarantine if nobody else can run them.
  const bool may_cross = !confined || open_job.is_durable();
  if (may_cross && !has_suitable_worker(open_job, step, confined)) {
    return std::nullopt;
  }
  return confined;
}

worker_exclusion fleet_scheduler::exclusion_of(worker_index index, const job& open_job,
                                               std::uint32_t step_number,
                                               std::optional<bool> quarantined) const {
  const auto& candidate = *workers_[index];
  const auto& status = candidate.status;
  if (!candidate.connected) {
    return worker_exclusion::no_session;
  }
  if (!status.present) {
    return worker_exclusion::unreachable;
  }
  if (candidate.evacuated) {
    return worker_exclusion::zone_evacuated;
  }
  if (!status.accepting) {
    return worker_exclusion::not_accepting;
  }
  const auto& step = open_job.spec.steps[step_number];
  if (!is_suitable(candidate, open_job, step_number)) {
    return status.description.service != open_job.spec.terms.service
               ? worker_exclusion::other_service
           : fits(step.needs, {}, status.description.capacity) ? worker_exclusion::lacks_label
                                                               : worker_exclusion::too_small;
  }
  if (quarantined && candidate.quarantined != *quarantined) {
    return worker_exclusion::quarantine;
  }
  const double free = free_cpu(candidate);
  if (step.needs.cpu_millis > free) {
    return worker_exclusion::no_free_cpu;
  }
  if (step.max_per_worker > 0) {
    const auto& tasks = open_job.tasks[step_number];
    const auto tasks_on_worker = std::count_if(tasks.begin(), tasks.end(), [&](const task& other) {
      return other.current_state == task::state::placed && other.worker == index;
    });
    if (tasks_on_worker >= step.max_per_worker) {
      return worker_exclusion::worker_limit;
    }
  }
  if (status.cold && !cold_worker_takes(candidate, open_job, step_number)) {
    return worker_exclusion::cold;
  }
  return worker_exclusion::none;
}

worker_assessment fleet_scheduler::assess(worker_index index, const job& open_job,
                                          std::uint32_t step, const task& waiting,
                                          std::optional<bool> quarantined) const {
  worker_assessment assessed;
  assessed.exclusion = exclusion_of(index, open_job, step, quarantined);
  if (assessed.exclusion != worker_exclusion::none) {
    return assessed;
  }
  const auto& candidate = *workers_[index];
  const double run_ms = run_time_ms(candidate, open_job.spec.steps[step]);
  const double load = 1.0 - free_cpu(candidate) / candidate.status.description.capacity.cpu_millis;
  assessed.run_time = double_ms{run_ms};
  assessed.score = run_ms * (1.0 + load_weight * load);
  assessed.score += candidate.remote ? policy_.remote_round_trip.count() : 0.0;
  const bool avoided = std::find(waiting.avoided_workers.begin(), waiting.avoided_workers.end(),
                                 index) != waiting.avoided_workers.end();
  if (avoided || candidate.status.failure_share > policy_.max_failure_share) {
    assessed.score += avoided_penalty_ms;
  }
  assessed.score += candidate.status.cold ? cold_penalty_ms : 0.0;
  return assessed;
}

std::optional<fleet_scheduler::placement>
fleet_scheduler::choose_isolated_worker(const job& open_job, std::uint32_t step,
                                        const task& waiting) const {
  // The other workers are kept from tasks of a confined queue, unless only they can run the task.
  const bool quarantined_only = waiting.returned_isolated_orders == 0 &&
                                is_confined(open_job.spec.terms) &&
                                has_suitable_worker(open_job, step, true);
  std::optional<placement> best;
  std::pair<bool, std::uint32_t> best_rank; // Quarantined workers first, then by load.
  for (worker_index index = 0; index < workers_.size(); ++index) {
    const auto& candidate = *workers_[index];
    if (!candidate.connected || !can_run(candidate, open_job, step) ||
        (quarantined_only && !candidate.quarantined) || candidate.isolated_runs > 0) {
      continue;
    }
    const std::pair rank{!candidate.quarantined, candidate.status.committed.cpu_millis +
                                                     candidate.status.queued_cpu_millis};
    if (!best || rank < best_rank) {
      best_rank = rank;
      best = placement{index, run_time_ms(candidate, open_job.spec.steps[step])};
    }
  }
  return best;
}

void fleet_scheduler::place(job& open_job, std::uint32_t step, std::uint32_t index,
                            placement target, monotonic_time now) {
  auto& placed_task = open_job.tasks[step][index];
  auto& chosen = *workers_[target.index];
  const task_key key{open_job.spec.id, step, index};
  placed_task.current_state = task::state::placed;
  placed_task.worker = target.index;
  placed_task.placed = now;
  placed_task.isolated = placed_task.is_to_be_isolated();
  placed_task.stop_requested = false;
  ++placed_task.attempts;
  if (!search_.empty()) {
    search_.retain(requirement_of(open_job, step), now);
  }
  reach_.placed(requirement_of(open_job, step), now);
  --open_job.ready;
  ++open_job.placed;
  --backlog_;
  ++open_job.result.starts;
  if (placed_task.attempts == 1) { // Restored tasks waited with an earlier owner.
    open_job.result.longest_wait = std::max(
        open_job.result.longest_wait, std::chrono::round<milliseconds>(now - open_job.arrived));
  }
  chosen.own_cpu_millis += open_job.spec.steps[step].needs.cpu_millis;
  chosen.isolated_runs += placed_task.isolated ? 1 : 0;
  chosen.runs.emplace(key, placed_task.attempts);
  start_order order;
  order.run = {key, placed_task.attempts};
  order.payload = open_job.spec.payload;
  order.needs = open_job.spec.steps[step].needs;
  order.priority = open_job.spec.terms.priority;
  order.epoch = open_job.is_durable() ? open_job.spec.ownership->epoch : 0;
  order.estimate = open_job.spec.steps[step].estimate;
  order.due_in =
      std::chrono::round<milliseconds>(open_job.objective - now - double_ms(target.run_ms));
  order.max_wait = placed_task.isolated ? policy_.max_isolated_wait : policy_.max_wait;
  order.isolated = placed_task.isolated;
  order.queue = open_job.queue;
  starts_.push_back({target.index, std::move(order)});
}

void fleet_scheduler::unplace(job& open_job, std::uint32_t step, std::uint32_t index) {
  auto& placed_task = open_job.tasks[step][index];
  auto& target = *workers_[placed_task.worker];
  target.own_cpu_millis -= open_job.spec.steps[step].needs.cpu_millis;
  target.isolated_runs -= placed_task.isolated ? 1 : 0;
  target.runs.erase(task_key{open_job.spec.id, step, index});
  // Ensures that the task's resources are released only once.
  placed_task.current_state = task::state::blocked;
  --open_job.placed;
}

void fleet_scheduler::place_ready(job& open_job, placement_pass& pass, monotonic_time now) {
  const bool confined = is_confined(open_job.spec.terms);
  for (std::uint32_t step = 0; step < open_job.tasks.size() && open_job.ready > 0; ++step) {
    const auto& shape = open_job.spec.steps[step];
    auto& group = pass.groups[{open_job.spec.terms.service, shape.required_label, confined}];
    if (group.unplaced_jobs > max_unplaced_jobs && !open_job.has_suspects) {
      continue;
    }
    bool step_fits = true;
    for (std::uint32_t index = 0; index < open_job.tasks[step].size(); ++index) {
      auto& candidate = open_job.tasks[step][index];
      // Isolated tasks wait for workers that other jobs do not use.
      const bool isolated = candidate.is_to_be_isolated();
      if (candidate.current_state != task::state::ready || (!isolated && !step_fits) ||
          candidate.withheld_until > now || attempts_used_up(open_job.spec, candidate.attempts)) {
        continue;
      }
      const auto* misfit = isolated ? nullptr : group.find_misfit(shape.needs);
      const auto target =
          misfit == nullptr ? choose_worker(open_job, step, candidate) : std::nullopt;
      if (target) {
        place(open_job, step, index, *target, now);
        continue;
      }
      if (misfit == nullptr) {
        require_worker(open_job, step, now);
      }
      if (isolated) {
        continue;
      }
      const bool waits = misfit != nullptr ? misfit->waits_for_resources
                                           : !confined && could_ever_run(open_job, step);
      if (waits && misfit == nullptr) {
        search_.add_busy(requirement_of(open_job, step), slack_of(open_job, now), now);
      }
      group.unplaced_jobs += waits ? 1 : 0;
      if (misfit == nullptr && shape.max_per_worker == 0) { // That limit is the job's own.
        group.misfits.push_back({shape.needs, waits});
      }
      step_fits = false;
      if (!open_job.has_suspects) {
        break;
      }
    }
  }
}

void fleet_scheduler::place_waiting(monotonic_time now) {
  if (!awaiting_jobs_.empty() &&
      (workers_changed_ || now - awaiting_checked_ >= awaiting_check_interval)) {
    workers_changed_ = false;
    awaiting_checked_ = now;
    handle_awaiting_jobs(now);
  }
  place_backlog(now);
}

void fleet_scheduler::place_backlog(monotonic_time now) {
  if (backlog_ == 0 || placement_held_) {
    return;
  }
  std::vector<std::pair<job_demand, job*>> ready;
  for (auto& [id, open_job] : jobs_) {
    if (open_job->ready > 0) {
      ready.emplace_back(open_job->limits(), open_job.get());
    }
  }
  std::sort(ready.begin(), ready.end(),
            [now](const auto& a, const auto& b) { return runs_before(a.first, b.first, now); });
  placement_pass pass;
  for (const auto& [limits, open_job] : ready) {
    place_ready(*open_job, pass, now);
  }
}

void fleet_scheduler::run_is_slow(worker_index index, const slow_run& slow, monotonic_time now) {
  auto* slow_task = find_task(slow.run, index);
  if (slow_task == nullptr || slow_task->stop_requested || slow_task->moves >= max_moves ||
      slow_task->needs_isolation) {
    return;
  }
  auto& open_job = *jobs_.at(slow.run.task.job);
  if (open_job.deadline <= now) {
    return;
  }
  const auto& step = open_job.spec.steps[slow.run.task.step];
  slow_task->avoided_workers.push_back(index);
  const auto alternative = choose_worker(open_job, slow.run.task.step, *slow_task);
  slow_task->avoided_workers.pop_back();
  // The expected run time holds for warm workers only.
  if (!alternative || alternative->index == index || workers_[alternative->index]->status.cold) {
    return;
  }
  const double elapsed = ms(slow.ran);
  const double done = slow.percent / 100.0;
  const double remaining = done > 0 ? elapsed * (1 - done) / done : ms(stalled_remaining);
  const double current_slowdown = std::max(0.1, workers_[index]->status.slowdown);
  const double other_slowdown = workers_[alternative->index]->status.slowdown;
  const double restarted = done > min_extrapolated_progress
                               ? std::min(elapsed / done * other_slowdown / current_slowdown,
                                          max_estimate_error * ms(step.estimate) * other_slowdown)
                               : alternative->run_ms;
  const double gain = remaining - restarted;
  if (gain < ms(policy_.min_move_gain) || gain < restarted) {
    return;
  }
  slow_task->stop_requested = true;
  ++slow_task->moves;
  ++open_job.result.moved_runs;
  slow_task->avoided_workers.push_back(index);
  stops_.push_back({index, slow.run, true});
}

} // namespace parsleylead

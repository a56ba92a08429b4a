#include "fleet_scheduler_state.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace parsleylead {
namespace {

// A worker counts as idle for the requests of other entries if this share of its CPU is free. Those
// entries have less than a quarter of the CPU in their reach free, or none that fits.
constexpr double min_idle_share = 0.4;
// Workers with this share of their CPU free are chosen first. Their agents take more requested
// sessions than others: see `fleet_agent_settings::max_mostly_idle_requested_sessions`.
constexpr double mostly_idle_share = 0.5;

} // namespace

worker_index fleet_scheduler::worker_for(const std::string& agent,
                                         const std::string& availability_zone) {
  const auto [position, added] =
      worker_names_.try_emplace(agent, static_cast<worker_index>(workers_.size()));
  if (added) {
    workers_.push_back(std::make_unique<worker>());
    workers_.back()->agent = agent;
    workers_.back()->availability_zone = availability_zone;
    workers_.back()->remote = availability_zone != availability_zone_;
    workers_.back()->evacuated = evacuated_zones_.contains(availability_zone);
  }
  return position->second;
}

void fleet_scheduler::set_evacuated_zones(std::set<std::string> zones) {
  evacuated_zones_ = std::move(zones);
  for (auto& each : workers_) {
    each->evacuated = evacuated_zones_.contains(each->availability_zone);
  }
  workers_changed_ = true;
}

void fleet_scheduler::worker_reported(worker_index index, const worker_status& status,
                                      monotonic_time /*now*/) {
  auto& known = workers_.at(index)->status;
  workers_changed_ = workers_changed_ || status.has_description ||
                     status.present != known.present || status.accepting != known.accepting ||
                     status.undescribed != known.undescribed;
  auto description = std::move(known.description);
  known = status;
  if (!status.has_description) {
    known.description = std::move(description);
  }
}

std::int64_t fleet_scheduler::incarnation_of(worker_index index) const {
  return workers_.at(index)->status.description.incarnation;
}

void fleet_scheduler::session_opened(worker_index index, bool same_agent, monotonic_time now) {
  auto& target = *workers_.at(index);
  target.connected = true;
  target.requested = false;
  target.status = {};
  if (!same_agent && !target.runs.empty()) {
    const auto release_at = target.release_at.value_or(now + policy_.lost_run_wait);
    target.restart_release_at =
        std::max(release_at, target.restart_release_at.value_or(release_at));
    target.restarted_at = now;
  }
  target.release_at.reset();
}

void fleet_scheduler::session_is_requested(worker_index index) {
  workers_.at(index)->requested = true;
}

void fleet_scheduler::session_lost(worker_index index, monotonic_time last_heard,
                                   monotonic_time now) {
  auto& target = *workers_.at(index);
  target.connected = false;
  target.release_at = last_heard + policy_.lost_run_wait;
  target.lost_before = now;
}

std::vector<run_id> fleet_scheduler::outstanding(worker_index index) const {
  const auto& target = *workers_.at(index);
  std::vector<run_id> all;
  for (const auto& [key, attempt] : target.runs) {
    const auto& placed_task = jobs_.at(key.job)->tasks[key.step][key.index];
    if (!target.restart_release_at || placed_task.placed > target.restarted_at) {
      all.push_back({key, attempt});
    }
  }
  return all;
}

void fleet_scheduler::process_stalled(monotonic_time since) {
  for (auto& [id, open_job] : jobs_) {
    open_job->stalled = open_job->stalled || (open_job->placed > 0 && open_job->arrived <= since);
  }
}

bool fleet_scheduler::has_worker() const {
  return std::any_of(workers_.begin(), workers_.end(),
                     [](const auto& candidate) { return is_usable(*candidate); });
}

bool fleet_scheduler::has_suitable_worker(const job& open_job, std::uint32_t step,
                                          bool quarantined) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& candidate) {
    return candidate->connected && !candidate->evacuated && candidate->quarantined == quarantined &&
           is_suitable(*candidate, open_job, step);
  });
}

worker_requirement fleet_scheduler::requirement_of(const job& open_job, std::uint32_t step) {
  const auto& shape = open_job.spec.steps[step];
  return {open_job.spec.terms.service, shape.required_label, shape.needs};
}

void fleet_scheduler::require_worker(const job& open_job, std::uint32_t step, monotonic_time now) {
  if (!could_ever_run(open_job, step)) {
    search_.add(requirement_of(open_job, step), now);
  } else if (!search_.empty()) {
    search_.retain(requirement_of(open_job, step), now);
  }
}

bool fleet_scheduler::awaits_description() const {
  return std::any_of(workers_.begin(), workers_.end(), [](const auto& each) {
    return each->connected && !each->evacuated && each->status.present && each->status.undescribed;
  });
}

bool fleet_scheduler::lacks_worker(const job& open_job, bool lastingly, monotonic_time now) const {
  if (service_may_appear(open_job.spec.terms.service, now) || awaits_description()) {
    return false;
  }
  for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
    if (could_ever_run(open_job, step)) {
      continue;
    }
    const auto requirement = requirement_of(open_job, step);
    if (lastingly ? search_.is_lastingly_absent(requirement, now)
                  : search_.is_absent(requirement, now)) {
      return true;
    }
  }
  return false;
}

bool fleet_scheduler::all_workers_reachable(const job& open_job) const {
  for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
    if (!could_ever_run(open_job, step)) {
      return false;
    }
  }
  return true;
}

bool fleet_scheduler::is_idle(const worker& candidate, const resource_needs& needs) const {
  const auto& status = candidate.status;
  return free_cpu(candidate) >= min_idle_share * status.description.capacity.cpu_millis &&
         fits(needs, status.committed, status.description.capacity);
}

std::optional<worker_index> fleet_scheduler::find_worker(const worker_request& request) const {
  // An agent that was asked before may have refused, so that each request asks others. The nearest
  // worker of each other entry is asked first.
  std::optional<worker_index> chosen;
  std::tuple<bool, bool, std::uint32_t> lowest;
  const auto seed = request.entry.name + "/" + std::to_string(request.attempt) + "/" +
                    std::to_string(request.number) + "@";
  for (worker_index index = 0; index < workers_.size(); ++index) {
    const auto& candidate = *workers_[index];
    if (!is_usable(candidate) || !meets(candidate.status.description, request.requirement)) {
      continue;
    }
    const auto& busy = request.busy_agents;
    if (request.idle &&
        (!is_idle(candidate, request.requirement.needs) ||
         std::find(busy.begin(), busy.end(), queue_hash(candidate.agent)) != busy.end())) {
      continue;
    }
    const bool farther = request.idle && request.attempt == 1 &&
                         candidate.availability_zone != request.entry.availability_zone;
    const bool busier =
        request.idle &&
        free_cpu(candidate) < mostly_idle_share * candidate.status.description.capacity.cpu_millis;
    const std::tuple rank{busier, farther, queue_hash(seed + candidate.agent)};
    if (!chosen || rank < lowest) {
      chosen = index;
      lowest = rank;
    }
  }
  return chosen;
}

std::vector<std::uint32_t>
fleet_scheduler::agents_for(const worker_requirement& requirement) const {
  std::vector<std::uint32_t> agents;
  for (const auto& each : workers_) {
    if (is_usable(*each) && meets(each->status.description, requirement)) {
      agents.push_back(queue_hash(each->agent));
    }
  }
  return agents;
}

bool fleet_scheduler::is_usable(const worker& candidate) {
  return candidate.connected && candidate.status.present && candidate.status.accepting &&
         !candidate.evacuated;
}

void fleet_scheduler::release_lost_runs(monotonic_time now) {
  for (worker_index index = 0; index < workers_.size(); ++index) {
    auto& target = *workers_[index];
    if (target.restart_release_at && *target.restart_release_at <= now) {
      target.restart_release_at.reset();
      lose_runs(index, target.restarted_at, now);
    }
    if (target.release_at && *target.release_at <= now) {
      target.release_at.reset();
      lose_runs(index, target.lost_before, now);
    }
  }
}

void fleet_scheduler::lose_runs(worker_index index, monotonic_time placed_up_to,
                                monotonic_time now) {
  const auto runs = workers_[index]->runs; // Each end changes the worker's runs.
  for (const auto& [key, attempt] : runs) {
    const run_id run{key, attempt};
    const auto* lost = find_task(run, index);
    if (lost != nullptr && lost->placed <= placed_up_to) {
      run_end end{run, run_outcome::lost, {}, {}};
      end.cause = loss_cause::agent_lost;
      run_ended(index, end, now);
    }
  }
}

} // namespace parsleylead

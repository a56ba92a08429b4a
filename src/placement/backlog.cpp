#include "parsleylead/placement/backlog.hpp"

#include <algorithm>
#include <bit>
#include <numeric>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

/// Number of steps in which the key of a waiting job decreases to zero.
constexpr std::int64_t aging_steps = 8;

/// Factor by which a kind's run time must change to re-order its waiting jobs.
constexpr double reorder_ratio = 1.25;

std::chrono::nanoseconds aging_window(const backlog_job& job, double share) {
  const std::chrono::duration<double, std::nano> budget = job.deadline - job.accept_time;
  return std::chrono::nanoseconds(static_cast<std::int64_t>(budget.count() * share));
}

} // namespace

void backlog::add(const backlog_job& job, monotonic_time now) {
  check_invariant(job.tasks > 0 && !jobs_.contains(job.id),
                  "backlog: a job is added once and has tasks");
  auto& kind = *kinds_.try_emplace(job.kind).first;
  if (kind.second.owner != job.owner) {
    unblock(kind.second.owner);
    kind.second.owner = job.owner;
  }
  auto& state = jobs_[job.id];
  state.job = job;
  state.waiting = job.tasks;
  state.position.arrival_number = ++arrival_count_;
  state.position.aging_end = settings_.order == backlog_order::first_come
                                 ? job.accept_time
                                 : job.accept_time + aging_window(job, settings_.aging_share);
  add_to_indexes(state, now);
}

void backlog::take(const uuid& id, monotonic_time now) {
  const auto found = jobs_.find(id);
  check_invariant(found != jobs_.end() && found->second.waiting > 0,
                  "backlog: a task is taken only from a job with waiting tasks");
  remove_from_indexes(found->second);
  --found->second.waiting;
  add_to_indexes(found->second, now);
}

void backlog::put_back(const uuid& id, monotonic_time now) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  remove_from_indexes(found->second);
  ++found->second.waiting;
  add_to_indexes(found->second, now);
}

void backlog::remove(const uuid& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  remove_from_indexes(found->second);
  jobs_.erase(found);
}

void backlog::set_run_time(const std::string& kind, std::chrono::microseconds run_time,
                           monotonic_time now) {
  auto& state = kinds_[kind];
  const auto run_time_us = static_cast<std::uint64_t>(std::max<std::int64_t>(1, run_time.count()));
  const auto ratio = static_cast<double>(run_time_us) / static_cast<double>(state.run_time_us);
  if (ratio < reorder_ratio && ratio > 1 / reorder_ratio) {
    return;
  }
  state.run_time_us = run_time_us;
  std::vector<job_state*> waiting_jobs;
  waiting_jobs.reserve(state.jobs.size());
  for (const auto& [position, job] : state.jobs) {
    waiting_jobs.push_back(job);
  }
  for (auto* job : waiting_jobs) {
    remove_from_indexes(*job);
    add_to_indexes(*job, now);
  }
}

void backlog::age(monotonic_time now) {
  while (!aging_schedule_.empty() && aging_schedule_.begin()->first <= now) {
    auto& state = jobs_.at(aging_schedule_.begin()->second);
    remove_from_indexes(state);
    add_to_indexes(state, now);
  }
}

void backlog::visit(const std::function<visit_step(const backlog_candidate&)>& visitor) {
  struct cursor {
    kind_item* kind = nullptr;
    std::map<queue_position, job_state*>::const_iterator job;
  };
  // Merges the jobs of kinds that were not visited yet with the next jobs of visited kinds.
  std::map<queue_position, cursor> visited_kinds;
  std::vector<kind_item*> kinds_to_block;
  auto unvisited = kinds_by_best_job_.begin();
  for (;;) {
    const auto take_unvisited =
        unvisited != kinds_by_best_job_.end() &&
        (visited_kinds.empty() || unvisited->first < visited_kinds.begin()->first);
    if (!take_unvisited && visited_kinds.empty()) {
      break;
    }
    cursor next;
    if (take_unvisited) {
      next = {unvisited->second, unvisited->second->second.jobs.begin()};
      ++unvisited;
    } else {
      next = visited_kinds.begin()->second;
      visited_kinds.erase(visited_kinds.begin());
    }
    const auto& state = *next.job->second;
    const auto step =
        visitor({state.job.id, state.job.kind, state.job.owner, state.waiting, state.position.key});
    if (step == visit_step::stop) {
      break;
    }
    if (step == visit_step::block_kind) {
      kinds_to_block.push_back(next.kind);
    }
    if (step == visit_step::next_job && ++next.job != next.kind->second.jobs.end()) {
      visited_kinds.emplace(next.job->first, next);
    }
  }
  for (auto* kind : kinds_to_block) {
    mark_blocked(*kind);
  }
}

void backlog::unblock(const std::string& owner) {
  const auto found = blocked_kinds_.find(owner);
  if (found == blocked_kinds_.end()) {
    return;
  }
  for (const auto& name : found->second) {
    auto& kind = *kinds_.find(name);
    kind.second.blocked = false;
    unblocked_waiting_tasks_ += kind.second.waiting;
    index_kind(kind);
  }
  blocked_kinds_.erase(found);
}

demand backlog::waiting_demand() const {
  if (kinds_by_best_job_.empty()) {
    return {};
  }
  return {kinds_by_best_job_.begin()->first.key,
          static_cast<std::uint32_t>(unblocked_waiting_tasks_)};
}

demand backlog::waiting_demand(const std::set<std::string>& kinds) const {
  demand result;
  for (const auto& name : kinds) {
    const auto found = kinds_.find(name);
    if (found == kinds_.end() || found->second.blocked || found->second.jobs.empty()) {
      continue;
    }
    const auto key = found->second.jobs.begin()->first.key;
    result.key = result.none() ? key : std::min(result.key, key);
    result.waiting += static_cast<std::uint32_t>(found->second.waiting);
  }
  return result;
}

std::chrono::microseconds backlog::work_before(const std::set<std::string>& kinds,
                                               std::uint64_t key) const {
  const auto end =
      settings_.order == backlog_order::first_come ? work_bucket_count : bucket_of(key);
  std::uint64_t work_us = 0;
  for (const auto& name : kinds) {
    const auto found = kinds_.find(name);
    if (found == kinds_.end() || found->second.waiting == 0) {
      continue;
    }
    const auto& work = found->second.work_us;
    work_us = std::accumulate(work.begin(), work.begin() + end, work_us);
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(work_us));
}

std::uint64_t backlog::key_for_new_job(const std::string& kind, std::size_t tasks) const {
  if (settings_.order == backlog_order::first_come) {
    return 0;
  }
  const auto found = kinds_.find(kind);
  return tasks * (found == kinds_.end() ? default_run_time_us : found->second.run_time_us);
}

std::size_t backlog::waiting(const std::string& kind) const {
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? 0 : found->second.waiting;
}

std::size_t backlog::bucket_of(std::uint64_t key) {
  if (key == 0) {
    return 0;
  }
  const auto exponent = static_cast<std::size_t>(std::bit_width(key)) - 1;
  const auto upper_half = exponent == 0 ? 0U : (key >> (exponent - 1)) & 1U;
  return 1 + (2 * exponent) + upper_half;
}

std::uint64_t backlog::key_of(const job_state& state, std::uint64_t run_time_us,
                              monotonic_time now) const {
  if (settings_.order == backlog_order::first_come || now >= state.position.aging_end) {
    return 0;
  }
  const auto window = (state.position.aging_end - state.job.accept_time).count();
  const auto elapsed = std::max<std::int64_t>(0, (now - state.job.accept_time).count());
  const auto steps_left = aging_steps - (elapsed * aging_steps / window);
  const auto initial_key = static_cast<std::uint64_t>(state.waiting) * run_time_us;
  return std::max<std::uint64_t>(1, initial_key * static_cast<std::uint64_t>(steps_left) /
                                        aging_steps);
}

void backlog::add_to_indexes(job_state& state, monotonic_time now) {
  if (state.waiting == 0) {
    return;
  }
  auto& kind = *kinds_.find(state.job.kind);
  state.position.key = key_of(state, kind.second.run_time_us, now);
  state.work_us = static_cast<std::uint64_t>(state.waiting) * kind.second.run_time_us;
  unindex_kind(kind);
  kind.second.jobs.emplace(state.position, &state);
  index_kind(kind);
  kind.second.work_us.at(bucket_of(state.position.key)) += state.work_us;
  kind.second.waiting += state.waiting;
  waiting_tasks_ += state.waiting;
  if (!kind.second.blocked) {
    unblocked_waiting_tasks_ += state.waiting;
  }
  schedule_aging(state, now);
}

void backlog::remove_from_indexes(job_state& state) {
  if (state.waiting == 0) {
    return;
  }
  auto& kind = *kinds_.find(state.job.kind);
  unindex_kind(kind);
  kind.second.jobs.erase(state.position);
  index_kind(kind);
  kind.second.work_us.at(bucket_of(state.position.key)) -= state.work_us;
  kind.second.waiting -= state.waiting;
  waiting_tasks_ -= state.waiting;
  if (!kind.second.blocked) {
    unblocked_waiting_tasks_ -= state.waiting;
  }
  unschedule_aging(state);
}

void backlog::index_kind(kind_item& kind) {
  if (!kind.second.blocked && !kind.second.jobs.empty()) {
    kinds_by_best_job_.emplace(kind.second.jobs.begin()->first, &kind);
  }
}

void backlog::unindex_kind(kind_item& kind) {
  if (!kind.second.blocked && !kind.second.jobs.empty()) {
    kinds_by_best_job_.erase(kind.second.jobs.begin()->first);
  }
}

void backlog::schedule_aging(job_state& state, monotonic_time now) {
  if (settings_.order == backlog_order::first_come || now >= state.position.aging_end) {
    return;
  }
  const auto window = (state.position.aging_end - state.job.accept_time).count();
  const auto elapsed = std::max<std::int64_t>(0, (now - state.job.accept_time).count());
  const auto next_step = (elapsed * aging_steps / window) + 1;
  // Rounded up, so that the step is reached at that time.
  const auto offset = ((window * next_step) + aging_steps - 1) / aging_steps;
  state.next_aging_time = state.job.accept_time + std::chrono::nanoseconds(offset);
  aging_schedule_.emplace(state.next_aging_time, state.job.id);
}

void backlog::unschedule_aging(job_state& state) {
  aging_schedule_.erase({state.next_aging_time, state.job.id});
}

void backlog::mark_blocked(kind_item& kind) {
  if (kind.second.blocked) {
    return;
  }
  unindex_kind(kind);
  kind.second.blocked = true;
  unblocked_waiting_tasks_ -= kind.second.waiting;
  blocked_kinds_[kind.second.owner].insert(kind.first);
}

} // namespace parsleylead

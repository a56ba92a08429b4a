#include "parsleylead/placement/backlog.hpp"

#include <algorithm>
#include <bit>
#include <numeric>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

/// Steps in which the key of a waiting job falls to zero.
constexpr std::int64_t aging_steps = 8;

/// Change of a kind's run time that re-orders its waiting jobs immediately.
constexpr double reorder_ratio = 1.25;

std::chrono::nanoseconds aging_window(const backlog_job& job, double share) {
  const std::chrono::duration<double, std::nano> budget = job.deadline - job.accepted;
  return std::chrono::nanoseconds(static_cast<std::int64_t>(budget.count() * share));
}

} // namespace

void backlog::add(const backlog_job& job, monotonic_time now) {
  check_invariant(job.tasks > 0 && !jobs_.contains(job.id), "a job enters the backlog once");
  auto& kind = *kinds_.try_emplace(job.kind).first;
  if (kind.second.owner != job.owner) {
    unblock(kind.second.owner);
    kind.second.owner = job.owner;
  }
  auto& state = jobs_[job.id];
  state.job = job;
  state.waiting = job.tasks;
  state.at.arrival = ++arrivals_;
  state.at.aged_at = settings_.order == backlog_order::first_come
                         ? job.accepted
                         : job.accepted + aging_window(job, settings_.aging_share);
  link(state, now);
}

void backlog::take(const uuid& id, monotonic_time now) {
  const auto found = jobs_.find(id);
  check_invariant(found != jobs_.end() && found->second.waiting > 0, "a taken task was waiting");
  unlink(found->second);
  --found->second.waiting;
  link(found->second, now);
}

void backlog::put_back(const uuid& id, monotonic_time now) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  unlink(found->second);
  ++found->second.waiting;
  link(found->second, now);
}

void backlog::remove(const uuid& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  unlink(found->second);
  jobs_.erase(found);
}

void backlog::set_run_time(const std::string& kind, std::chrono::microseconds run_time,
                           monotonic_time now) {
  auto& state = kinds_[kind];
  const auto next = static_cast<std::uint64_t>(std::max<std::int64_t>(1, run_time.count()));
  const auto ratio = static_cast<double>(next) / static_cast<double>(state.run_time_us);
  if (ratio < reorder_ratio && ratio > 1 / reorder_ratio) {
    return;
  }
  state.run_time_us = next;
  std::vector<job_state*> waiting;
  waiting.reserve(state.order.size());
  for (const auto& [at, job] : state.order) {
    waiting.push_back(job);
  }
  for (auto* job : waiting) {
    unlink(*job);
    link(*job, now);
  }
}

void backlog::age(monotonic_time now) {
  while (!aging_.empty() && aging_.begin()->first <= now) {
    auto& state = jobs_.at(aging_.begin()->second);
    unlink(state);
    link(state, now);
  }
}

void backlog::visit(const std::function<visit_step(const backlog_candidate&)>& visitor) {
  struct cursor {
    kind_entry* kind = nullptr;
    std::map<position, job_state*>::const_iterator at;
  };
  std::map<position, cursor> continued;
  std::vector<kind_entry*> to_block;
  auto head = best_.begin();
  for (;;) {
    const auto from_head =
        head != best_.end() && (continued.empty() || head->first < continued.begin()->first);
    if (!from_head && continued.empty()) {
      break;
    }
    cursor next;
    if (from_head) {
      next = {head->second, head->second->second.order.begin()};
      ++head;
    } else {
      next = continued.begin()->second;
      continued.erase(continued.begin());
    }
    const auto& state = *next.at->second;
    const auto step =
        visitor({state.job.id, state.job.kind, state.job.owner, state.waiting, state.at.key});
    if (step == visit_step::stop) {
      break;
    }
    if (step == visit_step::block_kind) {
      to_block.push_back(next.kind);
    }
    if (step == visit_step::next_job && ++next.at != next.kind->second.order.end()) {
      continued.emplace(next.at->first, next);
    }
  }
  for (auto* kind : to_block) {
    set_blocked(*kind);
  }
}

void backlog::unblock(const std::string& owner) {
  const auto found = blocked_.find(owner);
  if (found == blocked_.end()) {
    return;
  }
  for (const auto& name : found->second) {
    auto& kind = *kinds_.find(name);
    kind.second.blocked = false;
    unblocked_waiting_ += kind.second.waiting;
    list_kind(kind);
  }
  blocked_.erase(found);
}

demand backlog::waiting_demand() const {
  if (best_.empty()) {
    return {};
  }
  return {best_.begin()->first.key, static_cast<std::uint32_t>(unblocked_waiting_)};
}

demand backlog::waiting_demand(const std::set<std::string>& kinds) const {
  demand result;
  for (const auto& name : kinds) {
    const auto found = kinds_.find(name);
    if (found == kinds_.end() || found->second.blocked || found->second.order.empty()) {
      continue;
    }
    const auto key = found->second.order.begin()->first.key;
    result.key = result.none() ? key : std::min(result.key, key);
    result.waiting += static_cast<std::uint32_t>(found->second.waiting);
  }
  return result;
}

std::chrono::microseconds backlog::work_before(const std::set<std::string>& kinds,
                                               std::uint64_t key) const {
  const auto end = settings_.order == backlog_order::first_come ? work_buckets : bucket_of(key);
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

std::uint64_t backlog::key_of_new(const std::string& kind, std::size_t tasks) const {
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

std::uint64_t backlog::key_at(const job_state& state, std::uint64_t run_time_us,
                              monotonic_time now) const {
  if (settings_.order == backlog_order::first_come || now >= state.at.aged_at) {
    return 0;
  }
  const auto window = (state.at.aged_at - state.job.accepted).count();
  const auto elapsed = std::max<std::int64_t>(0, (now - state.job.accepted).count());
  const auto steps_left = aging_steps - (elapsed * aging_steps / window);
  const auto full = static_cast<std::uint64_t>(state.waiting) * run_time_us;
  return std::max<std::uint64_t>(1, full * static_cast<std::uint64_t>(steps_left) / aging_steps);
}

void backlog::link(job_state& state, monotonic_time now) {
  if (state.waiting == 0) {
    return;
  }
  auto& kind = *kinds_.find(state.job.kind);
  state.at.key = key_at(state, kind.second.run_time_us, now);
  state.work_us = static_cast<std::uint64_t>(state.waiting) * kind.second.run_time_us;
  unlist_kind(kind);
  kind.second.order.emplace(state.at, &state);
  list_kind(kind);
  kind.second.work_us.at(bucket_of(state.at.key)) += state.work_us;
  kind.second.waiting += state.waiting;
  waiting_ += state.waiting;
  if (!kind.second.blocked) {
    unblocked_waiting_ += state.waiting;
  }
  schedule_aging(state, now);
}

void backlog::unlink(job_state& state) {
  if (state.waiting == 0) {
    return;
  }
  auto& kind = *kinds_.find(state.job.kind);
  unlist_kind(kind);
  kind.second.order.erase(state.at);
  list_kind(kind);
  kind.second.work_us.at(bucket_of(state.at.key)) -= state.work_us;
  kind.second.waiting -= state.waiting;
  waiting_ -= state.waiting;
  if (!kind.second.blocked) {
    unblocked_waiting_ -= state.waiting;
  }
  unschedule_aging(state);
}

void backlog::list_kind(kind_entry& kind) {
  if (!kind.second.blocked && !kind.second.order.empty()) {
    best_.emplace(kind.second.order.begin()->first, &kind);
  }
}

void backlog::unlist_kind(kind_entry& kind) {
  if (!kind.second.blocked && !kind.second.order.empty()) {
    best_.erase(kind.second.order.begin()->first);
  }
}

void backlog::schedule_aging(job_state& state, monotonic_time now) {
  if (settings_.order == backlog_order::first_come || now >= state.at.aged_at) {
    return;
  }
  const auto window = (state.at.aged_at - state.job.accepted).count();
  const auto elapsed = std::max<std::int64_t>(0, (now - state.job.accepted).count());
  const auto next_step = (elapsed * aging_steps / window) + 1;
  // Rounded up, so that the step is reached when the time comes.
  const auto offset = ((window * next_step) + aging_steps - 1) / aging_steps;
  state.next_aging = state.job.accepted + std::chrono::nanoseconds(offset);
  aging_.emplace(state.next_aging, state.job.id);
}

void backlog::unschedule_aging(job_state& state) {
  aging_.erase({state.next_aging, state.job.id});
}

void backlog::set_blocked(kind_entry& kind) {
  if (kind.second.blocked) {
    return;
  }
  unlist_kind(kind);
  kind.second.blocked = true;
  unblocked_waiting_ -= kind.second.waiting;
  blocked_[kind.second.owner].insert(kind.first);
}

} // namespace parsleylead

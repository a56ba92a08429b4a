#include "parsleylead/admission/admission_control.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "parsleylead/admission/share.hpp"
#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

admission_decision refuse(reason cause, std::string detail) {
  return {failure{cause, step::admit, "", std::move(detail)}, std::nullopt};
}

bool exceeds(std::uint64_t value, const std::optional<std::uint64_t>& limit) {
  return limit.has_value() && value > *limit;
}

std::optional<std::chrono::milliseconds> absent_if_never(std::chrono::milliseconds wait) {
  if (wait == std::chrono::milliseconds::max()) {
    return std::nullopt;
  }
  return wait;
}

void configure(std::optional<token_bucket>& bucket, const std::optional<std::uint64_t>& rate,
               std::uint64_t max_job_tasks, monotonic_time now) {
  if (!rate.has_value()) {
    bucket.reset();
    return;
  }
  // A bucket with less capacity than the largest allowed job would always refuse that job.
  const auto capacity = std::max(*rate, max_job_tasks);
  if (bucket.has_value()) {
    bucket->reconfigure(*rate, capacity, now);
  } else {
    bucket.emplace(*rate, capacity, now);
  }
}

} // namespace

monotonic_time earliest_finish(const admission_request& request, const capacity_estimate& capacity,
                               monotonic_time now) {
  const auto slots = std::max(1.0, capacity.slots);
  const auto own_work =
      static_cast<double>(capacity.run_time.count()) * static_cast<double>(request.tasks);
  const auto total_work = own_work + static_cast<double>(capacity.work_ahead.count());
  const auto shared = std::chrono::microseconds(static_cast<std::int64_t>(total_work / slots));
  return now + std::max(capacity.run_time, shared);
}

admission_control::admission_control(std::uint32_t slot, std::uint32_t slots)
    : slot_(slot), slots_(slots) {
  check_invariant(slot >= 1 && slot <= slots, "entry_slot is not between 1 and entry_slots");
}

void admission_control::set_kind(const std::string& kind, const std::string& owner,
                                 const admission_limits& limits, monotonic_time now) {
  auto& state = kinds_[kind];
  const auto old_owner = state.owner;
  change_owner(state, owner);
  state.removed = false;
  state.shares = limits;
  state.shares.in_flight = share(limits.in_flight);
  state.shares.queue = share(limits.queue);
  state.shares.rate_per_s = share(limits.rate_per_s);
  configure(state.rate, state.shares.rate_per_s, limits.job_tasks.value_or(0), now);
  configure_owner_rate(owner, now);
  if (old_owner != owner) {
    configure_owner_rate(old_owner, now);
  }
}

void admission_control::remove_kind(const std::string& kind) {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    return;
  }
  found->second.removed = true;
  erase_if_unused(kind);
}

void admission_control::set_owner(const std::string& owner, const admission_quota& quota,
                                  monotonic_time now) {
  auto& state = owners_[owner];
  state.quota_known = true;
  state.shares.in_flight = share(quota.in_flight);
  state.shares.rate_per_s = share(quota.rate_per_s);
  configure_owner_rate(owner, now);
}

void admission_control::remove_owner(const std::string& owner) {
  const auto found = owners_.find(owner);
  if (found == owners_.end()) {
    return;
  }
  found->second.quota_known = false;
  found->second.shares = {};
  found->second.rate.reset();
  if (found->second.kinds == 0) {
    owners_.erase(found);
  }
}

std::optional<std::chrono::milliseconds>
admission_control::budget(const std::string& kind,
                          std::optional<std::chrono::milliseconds> requested) const {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end() || !found->second.shares.budget.has_value()) {
    return requested;
  }
  const auto longest = *found->second.shares.budget;
  return requested.has_value() ? std::min(*requested, longest) : longest;
}

admission_decision admission_control::admit(const admission_request& request,
                                            const capacity_estimate& capacity, monotonic_time now) {
  const auto found = kinds_.find(request.kind);
  if (found == kinds_.end() || found->second.removed) {
    return refuse(reason::unknown_kind, "no kind of this name is in force");
  }
  auto& kind = found->second;
  auto& owner = owners_[kind.owner];
  const auto tasks = static_cast<std::uint64_t>(request.tasks);
  if (exceeds(tasks, kind.shares.job_tasks)) {
    return refuse(reason::job_too_large, "the job has more tasks than its kind allows");
  }
  if (exceeds(tasks, kind.shares.queue)) {
    return refuse(reason::job_too_large, "the job has more tasks than the kind's queue here holds");
  }
  if (capacity.suspended) {
    return refuse(reason::kind_suspended, "the kind fails on all workers and is stopped");
  }
  if (capacity.capable_workers == 0) {
    return refuse(reason::no_capable_worker, "no known worker can hold a task of this kind");
  }
  if (earliest_finish(request, capacity, now) > request.deadline) {
    return refuse(reason::deadline_unreachable, "the estimated finish is after the deadline");
  }
  if (kind.shares.in_flight == 0U || owner.shares.in_flight == 0U) {
    return refuse(reason::queue_full, "this entry has no share of the limit of tasks in flight");
  }
  if (exceeds(kind.queued + tasks, kind.shares.queue)) {
    return refuse(reason::queue_full, "the kind's queue is full");
  }
  for (auto* bucket : {&kind.rate, &owner.rate}) {
    if (bucket->has_value() && !(*bucket)->has_tokens(tasks, now)) {
      auto decision =
          refuse(reason::rate_limited, bucket == &kind.rate ? "the kind's rate is used up"
                                                            : "the owner's rate is used up");
      decision.retry_after = absent_if_never((*bucket)->time_until_available(tasks, now));
      return decision;
    }
  }
  for (auto* bucket : {&kind.rate, &owner.rate}) {
    if (bucket->has_value()) {
      (*bucket)->take(tasks, now);
    }
  }
  kind.queued += tasks;
  return {};
}

bool admission_control::may_start(const std::string& kind) const {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    return false;
  }
  const auto& owner = owners_.at(found->second.owner);
  return !exceeds(found->second.in_flight + 1, found->second.shares.in_flight) &&
         !exceeds(owner.in_flight + 1, owner.shares.in_flight);
}

void admission_control::start_task(const std::string& kind) {
  check_invariant(may_start(kind), "a task was started beyond the limits of its kind or owner");
  auto& state = kind_with_tasks(kind);
  check_invariant(state.queued > 0, "a task was started that was not queued");
  --state.queued;
  ++state.in_flight;
  ++owners_.at(state.owner).in_flight;
}

void admission_control::requeue_task(const std::string& kind) {
  auto& state = kind_with_tasks(kind);
  check_invariant(state.in_flight > 0, "a task was requeued that was not in flight");
  --state.in_flight;
  --owners_.at(state.owner).in_flight;
  ++state.queued;
}

void admission_control::end_task(const std::string& kind) {
  auto& state = kind_with_tasks(kind);
  check_invariant(state.in_flight > 0, "a task ended that was not in flight");
  --state.in_flight;
  --owners_.at(state.owner).in_flight;
  erase_if_unused(kind);
}

void admission_control::drop_queued(const std::string& kind, std::size_t waiting) {
  if (waiting == 0) {
    return;
  }
  auto& state = kind_with_tasks(kind);
  check_invariant(state.queued >= waiting, "more tasks were dropped than are queued");
  state.queued -= waiting;
  erase_if_unused(kind);
}

std::uint64_t admission_control::queued(const std::string& kind) const {
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? 0 : found->second.queued;
}

std::uint64_t admission_control::in_flight(const std::string& kind) const {
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? 0 : found->second.in_flight;
}

std::uint64_t admission_control::owner_in_flight(const std::string& owner) const {
  const auto found = owners_.find(owner);
  return found == owners_.end() ? 0 : found->second.in_flight;
}

std::string admission_control::owner_of(const std::string& kind) const {
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? std::string() : found->second.owner;
}

std::optional<std::uint64_t> admission_control::share(std::optional<std::uint64_t> limit) const {
  if (!limit.has_value()) {
    return std::nullopt;
  }
  return share_of(*limit, slot_, slots_);
}

std::uint64_t admission_control::max_job_tasks(const std::string& owner) const {
  std::uint64_t largest = 0;
  for (const auto& [name, kind] : kinds_) {
    if (kind.owner == owner && !kind.removed) {
      largest = std::max(largest, kind.shares.job_tasks.value_or(0));
    }
  }
  return largest;
}

void admission_control::configure_owner_rate(const std::string& owner, monotonic_time now) {
  const auto found = owners_.find(owner);
  if (found != owners_.end()) {
    configure(found->second.rate, found->second.shares.rate_per_s, max_job_tasks(owner), now);
  }
}

void admission_control::change_owner(kind_state& kind, const std::string& owner) {
  if (kind.owner_counted && kind.owner == owner) {
    return;
  }
  auto& next = owners_[owner];
  next.in_flight += kind.in_flight;
  ++next.kinds;
  if (kind.owner_counted) {
    const auto previous = owners_.find(kind.owner);
    previous->second.in_flight -= kind.in_flight;
    --previous->second.kinds;
    if (previous->second.kinds == 0 && !previous->second.quota_known) {
      owners_.erase(previous);
    }
  }
  kind.owner = owner;
  kind.owner_counted = true;
}

void admission_control::erase_if_unused(const std::string& kind) {
  const auto found = kinds_.find(kind);
  if (!found->second.removed || found->second.queued + found->second.in_flight > 0) {
    return;
  }
  const auto owner = owners_.find(found->second.owner);
  --owner->second.kinds;
  if (owner->second.kinds == 0 && !owner->second.quota_known) {
    owners_.erase(owner);
  }
  kinds_.erase(found);
}

admission_control::kind_state& admission_control::kind_with_tasks(const std::string& kind) {
  const auto found = kinds_.find(kind);
  check_invariant(found != kinds_.end(), "the kind of a counted task is unknown");
  return found->second;
}

} // namespace parsleylead

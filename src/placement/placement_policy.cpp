#include "parsleylead/placement/placement_policy.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "parsleylead/base/error.hpp"

namespace parsleylead {
namespace {

/// Number of recorded tail waits from which on expired ones are removed.
constexpr std::size_t max_tail_waits = 4096;
/// Time for which a tail wait is kept after its end, so that the same task does not wait again.
constexpr std::chrono::seconds tail_wait_retention{60};

std::chrono::microseconds scaled(std::chrono::microseconds time, double factor) {
  return std::chrono::microseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

std::size_t random_index(std::mt19937_64& random, std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/// The first worker at or after index `start` on which the task fits; null if there is none.
const worker_view* first_fitting(const std::vector<const worker_view*>& workers,
                                 const worker_requirements& needs, std::size_t start) {
  for (std::size_t offset = 0; offset < workers.size(); ++offset) {
    const auto* candidate = workers[(start + offset) % workers.size()];
    if (candidate->fits(needs)) {
      return candidate;
    }
  }
  return nullptr;
}

const worker_view* random_worker(const task_request& task, const worker_pool& workers,
                                 std::mt19937_64& random) {
  const auto& usable = workers.usable(task.kind);
  if (usable.empty()) {
    return nullptr;
  }
  return first_fitting(usable, task.needs, random_index(random, usable.size()));
}

std::optional<std::string> id_of(const worker_view* worker) {
  if (worker == nullptr) {
    return std::nullopt;
  }
  return worker->id;
}

const worker_view* best_with_credits(const task_request& task, const worker_pool& workers) {
  for (const auto& [rank, worker] : workers.with_credits(task.kind)) {
    if (worker->fits(task.needs)) {
      return worker;
    }
  }
  return nullptr;
}

/// Number of slots of faster workers that are expected to complete such a task before `limit`.
std::size_t faster_slots(const task_request& task, const worker_view& slow,
                         const worker_pool& workers, monotonic_time now, monotonic_time limit) {
  std::size_t count = 0;
  for (const auto* worker : workers.usable(task.kind)) {
    if (worker->credits > 0 || worker->run_time_factor >= slow.run_time_factor ||
        !worker->fits(task.needs)) {
      continue;
    }
    const auto latest_start = limit - scaled(task.run_time, worker->run_time_factor);
    // The end of an overdue task is unknown, so its slot does not count.
    for (auto end = worker->expected_ends.lower_bound(now);
         end != worker->expected_ends.end() && *end <= latest_start; ++end) {
      ++count;
    }
  }
  return count;
}

/// This entry's tasks in flight plus the reported ones of other entries, decayed by their age.
double expected_occupancy(const worker_view& worker, monotonic_time now) {
  using seconds = std::chrono::duration<double>;
  const seconds age = now - worker.other_tasks_time;
  const seconds decay = shared_policy::report_decay;
  const double other_tasks =
      worker.other_tasks * std::exp(-std::max(age.count(), 0.0) / decay.count());
  return static_cast<double>(worker.in_flight()) + other_tasks;
}

/// Expected completion time of one more task, in run times of an average worker. The wait increases
/// before all slots are occupied, because the report is old and other entries use the same rule.
double relative_completion(const worker_view& worker, double occupied) {
  const double slots = std::max(worker.slots, 1U);
  const double load = (occupied + 1) / slots;
  const double queue_wait = std::max(0.0, occupied + 1 - slots) / slots;
  const double collision_wait = load * load * load * load / slots;
  return worker.run_time_factor * (1 + queue_wait + collision_wait);
}

} // namespace

std::optional<std::string> credit_policy::choose(const task_request& task,
                                                 const worker_pool& workers, monotonic_time now) {
  const auto* best = best_with_credits(task, workers);
  if (best == nullptr || should_wait(task, *best, workers, now)) {
    return std::nullopt;
  }
  tail_waits_.erase(task.submission);
  return best->id;
}

bool credit_policy::should_wait(const task_request& task, const worker_view& slow,
                                const worker_pool& workers, monotonic_time now) {
  if (task.waiting > tail_task_count) {
    return false;
  }
  const auto slow_time = scaled(task.run_time, slow.run_time_factor);
  const auto fast_time = scaled(task.run_time, workers.lowest_run_time_factor(task.kind));
  const auto min_gain = scaled(slow_time, min_gain_ratio);
  if (slow_time - fast_time <= min_gain) {
    return false;
  }
  const auto found = tail_waits_.find(task.submission);
  const auto is_waiting = found != tail_waits_.end() && found->second.waiting == task.waiting;
  if (is_waiting && now >= found->second.end_time) {
    return false;
  }
  if (faster_slots(task, slow, workers, now, now + slow_time - min_gain) < task.waiting) {
    return false;
  }
  if (!is_waiting) {
    if (tail_waits_.size() >= max_tail_waits) {
      std::erase_if(tail_waits_, [now](const auto& item) {
        return item.second.end_time + tail_wait_retention < now;
      });
    }
    tail_waits_[task.submission] = {now + (slow_time - fast_time), task.waiting};
  }
  return true;
}

std::optional<std::string> shared_policy::choose(const task_request& task,
                                                 const worker_pool& workers, monotonic_time now) {
  const worker_view* best = nullptr;
  double best_time = 0;
  bool slot_seems_free = false;
  for (const auto* worker : workers.usable(task.kind)) {
    const double occupied = expected_occupancy(*worker, now);
    const double slots = worker->slots;
    if (!worker->fits(task.needs) || occupied >= slots + max_queued_ahead) {
      continue;
    }
    slot_seems_free = slot_seems_free || occupied < slots;
    const double time = relative_completion(*worker, occupied);
    if (best == nullptr || time < best_time) {
      best = worker;
      best_time = time;
    }
  }
  return slot_seems_free ? id_of(best) : std::nullopt;
}

std::optional<std::string> random_policy::choose(const task_request& task,
                                                 const worker_pool& workers,
                                                 monotonic_time /*now*/) {
  return id_of(random_worker(task, workers, random_));
}

std::optional<std::string> round_robin_policy::choose(const task_request& task,
                                                      const worker_pool& workers,
                                                      monotonic_time /*now*/) {
  const auto& usable = workers.usable(task.kind);
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto start = next_[task.kind]++ % usable.size();
  return id_of(first_fitting(usable, task.needs, start));
}

std::optional<std::string> two_choices_policy::choose(const task_request& task,
                                                      const worker_pool& workers,
                                                      monotonic_time /*now*/) {
  const auto* first = random_worker(task, workers, random_);
  const auto* second = random_worker(task, workers, random_);
  if (first == nullptr) {
    return std::nullopt;
  }
  return second->in_flight() < first->in_flight() ? second->id : first->id;
}

std::optional<std::string> probing_policy::choose(const task_request& task,
                                                  const worker_pool& workers,
                                                  monotonic_time /*now*/) {
  return id_of(best_with_credits(task, workers));
}

std::vector<std::string> probing_policy::probe_targets(const task_request& task,
                                                       const worker_pool& workers) {
  std::vector<const worker_view*> fitting_workers;
  for (const auto* worker : workers.usable(task.kind)) {
    if (worker->fits(task.needs)) {
      fitting_workers.push_back(worker);
    }
  }
  std::vector<std::string> chosen;
  while (chosen.size() < probes_per_task && !fitting_workers.empty()) {
    const auto index = random_index(random_, fitting_workers.size());
    chosen.push_back(fitting_workers[index]->id);
    fitting_workers[index] = fitting_workers.back();
    fitting_workers.pop_back();
  }
  return chosen;
}

absl::StatusOr<selected_policy> selected_policy::make(std::string_view name, std::uint64_t seed) {
  if (name == "credits") {
    return selected_policy(credit_policy());
  }
  if (name == "shared") {
    return selected_policy(shared_policy());
  }
  if (name == "random") {
    return selected_policy(random_policy(seed));
  }
  if (name == "round_robin") {
    return selected_policy(round_robin_policy());
  }
  if (name == "two_choices") {
    return selected_policy(two_choices_policy(seed));
  }
  if (name == "probing") {
    return selected_policy(probing_policy(seed));
  }
  return make_error(absl::StatusCode::kInvalidArgument, step::settings, "",
                    "unknown placement policy '" + std::string(name) + "'");
}

std::optional<std::string> selected_policy::choose(const task_request& task,
                                                   const worker_pool& workers, monotonic_time now) {
  return std::visit([&](auto& policy) { return policy.choose(task, workers, now); }, policy_);
}

bool selected_policy::spends_credits() const {
  return std::visit([](const auto& policy) { return policy.spends_credits; }, policy_);
}

std::vector<std::string> selected_policy::probe_targets(const task_request& task,
                                                        const worker_pool& workers) {
  auto* probing = std::get_if<probing_policy>(&policy_);
  return probing == nullptr ? std::vector<std::string>() : probing->probe_targets(task, workers);
}

} // namespace parsleylead

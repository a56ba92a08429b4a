#pragma once

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/admission/limits.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/base/uuid.hpp"
#include "parsleylead/placement/worker_pool.hpp"

namespace parsleylead {

/// The next task of a job, as a policy sees it.
struct task_request {
  uuid submission;
  std::string kind;
  worker_requirements needs;
  /// Waiting tasks of the job, this one included.
  std::size_t waiting = 1;
  /// Expected run time on an average worker.
  std::chrono::microseconds run_time{0};
};

/// Chooses the worker for a task; `std::nullopt` means that the task waits.
template <class Policy>
concept placement_policy = requires(Policy policy, const task_request& task,
                                    const worker_pool& workers, monotonic_time now) {
  { policy.choose(task, workers, now) } -> std::same_as<std::optional<std::string>>;
  /// Whether a dispatch spends a credit. Without credits a busy agent queues the task
  /// (`queueIfBusy`).
  { Policy::spends_credits } -> std::convertible_to<bool>;
};

/// Chooses the worker with the shortest expected completion among those with credits. The last
/// tasks of a job wait instead of going to a slow worker while a faster one is expected to complete
/// them sooner, at most for the time that this can save (docs/design.md, D2 and D3).
class credit_policy {
public:
  static constexpr bool spends_credits = true;
  /// Number of waiting tasks up to which a job's tasks count as its last ones.
  static constexpr std::size_t tail_task_count = 8;
  /// Minimum saving for which a task waits, as a share of the slow worker's run time.
  static constexpr double min_gain_ratio = 0.2;

  std::optional<std::string> choose(const task_request& task, const worker_pool& workers,
                                    monotonic_time now);

private:
  /// A task that waits for a faster worker.
  struct tail_wait {
    monotonic_time end_time;
    /// Waiting tasks of the job when the wait began; identifies the task.
    std::size_t waiting = 0;
  };
  bool should_wait(const task_request& task, const worker_view& slow, const worker_pool& workers,
                   monotonic_time now);
  std::map<uuid, tail_wait> tail_waits_;
};

/// Chooses the worker with the earliest expected completion without credits. The estimate uses this
/// entry's tasks in flight and the other entries' tasks as of the last reported result. Tasks wait
/// at the entry while every worker seems full; a wrong estimate costs a short wait at the agent,
/// but no message.
class shared_policy {
public:
  static constexpr bool spends_credits = false;
  /// Number of tasks that may be sent to a worker although all its slots seem occupied.
  static constexpr double max_queued_ahead = 1;
  /// Time constant of the exponential decay of reported tasks. Without the decay an idle entry,
  /// which gets no new reports, would consider a worker full forever.
  static constexpr std::chrono::milliseconds report_decay{2000};

  std::optional<std::string> choose(const task_request& task, const worker_pool& workers,
                                    monotonic_time now);
};

/// Baseline: chooses a random usable worker.
class random_policy {
public:
  static constexpr bool spends_credits = false;
  explicit random_policy(std::uint64_t seed) : random_(seed) {}
  std::optional<std::string> choose(const task_request& task, const worker_pool& workers,
                                    monotonic_time now);

private:
  std::mt19937_64 random_;
};

/// Baseline: chooses the usable workers of a kind in turn.
class round_robin_policy {
public:
  static constexpr bool spends_credits = false;
  std::optional<std::string> choose(const task_request& task, const worker_pool& workers,
                                    monotonic_time now);

private:
  std::map<std::string, std::size_t> next_;
};

/// Baseline: chooses, of two random usable workers, the one with fewer tasks of this entry in
/// flight.
class two_choices_policy {
public:
  static constexpr bool spends_credits = false;
  explicit two_choices_policy(std::uint64_t seed) : random_(seed) {}
  std::optional<std::string> choose(const task_request& task, const worker_pool& workers,
                                    monotonic_time now);

private:
  std::mt19937_64 random_;
};

/// Baseline with late binding: the entry asks each worker of `probe_targets` for one reservation
/// and starts the task on the first worker that grants it. A grant is stored as a credit.
class probing_policy {
public:
  static constexpr bool spends_credits = true;
  static constexpr std::size_t probes_per_task = 2;
  explicit probing_policy(std::uint64_t seed) : random_(seed) {}
  /// Chooses a worker with a granted reservation.
  std::optional<std::string> choose(const task_request& task, const worker_pool& workers,
                                    monotonic_time now);
  /// Returns distinct random workers to ask for a reservation, at most `probes_per_task`.
  std::vector<std::string> probe_targets(const task_request& task, const worker_pool& workers);

private:
  std::mt19937_64 random_;
};

static_assert(placement_policy<credit_policy>);
static_assert(placement_policy<shared_policy>);
static_assert(placement_policy<random_policy>);
static_assert(placement_policy<round_robin_policy>);
static_assert(placement_policy<two_choices_policy>);
static_assert(placement_policy<probing_policy>);

/// The policy that the settings select by name. Not thread-safe.
class selected_policy {
public:
  /// Names: "credits", "shared", "random", "round_robin", "two_choices", "probing"
  /// (`policy_settings`). Errors: kInvalidArgument for another name.
  static absl::StatusOr<selected_policy> make(std::string_view name, std::uint64_t seed);

  std::optional<std::string> choose(const task_request& task, const worker_pool& workers,
                                    monotonic_time now);
  bool spends_credits() const;
  /// Returns the workers to ask for reservations; empty for all policies but "probing".
  std::vector<std::string> probe_targets(const task_request& task, const worker_pool& workers);

private:
  using policy_variant = std::variant<credit_policy, shared_policy, random_policy,
                                      round_robin_policy, two_choices_policy, probing_policy>;
  explicit selected_policy(policy_variant policy) : policy_(std::move(policy)) {}

  policy_variant policy_;
};

} // namespace parsleylead

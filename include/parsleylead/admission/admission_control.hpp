#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/admission/limits.hpp"
#include "parsleylead/admission/token_bucket.hpp"
#include "parsleylead/base/failure.hpp"
#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// A job that asks for admission.
struct admission_request {
  std::string kind;
  std::size_t tasks = 0;
  monotonic_time deadline;
};

/// What the entry knows about the capacity for the job's kind at this moment.
struct capacity_estimate {
  /// Known workers that serve the kind and are large enough, ejected ones included.
  std::size_t capable_workers = 0;
  /// Slots of these workers that this entry can hope for, at least 1 if a worker is known.
  double slots = 0;
  /// Low estimate of one task's run time on a fast worker.
  std::chrono::microseconds run_time{0};
  /// Low estimate of the run time of all work that goes before this job (`backlog::work_before`).
  std::chrono::microseconds work_ahead{0};
  /// The kind's circuit breaker is open (`worker_health::kind_suspended`).
  bool suspended = false;
};

/// Result of `admission_control::admit`.
struct admission_decision {
  /// Why the job is refused; nothing if it is admitted.
  std::optional<failure> refusal;
  /// With `rate_limited`: when a retry can succeed.
  std::optional<std::chrono::milliseconds> retry_after;

  bool admitted() const { return !refusal.has_value(); }
};

/// Lower bound of the job's finish time: refused work misses its deadline even if this holds.
monotonic_time earliest_finish(const admission_request& request, const capacity_estimate& capacity,
                               monotonic_time now);

/// Enforces this entry's share of the limits of kinds and owners (D8) and decides on refusals
/// before acceptance (D9). Not thread-safe.
class admission_control {
public:
  /// Precondition: 1 <= `slot` <= `slots` (settings `entry_slot`, `entry_slots`).
  admission_control(std::uint32_t slot, std::uint32_t slots);

  /// Adds a kind or changes its owner and limits. Counts of queued and running tasks stay.
  void set_kind(const std::string& kind, const std::string& owner, const admission_limits& limits,
                monotonic_time now);
  /// New jobs of the kind are refused; counts stay until its tasks have ended.
  void remove_kind(const std::string& kind);
  void set_owner(const std::string& owner, const admission_quota& quota, monotonic_time now);
  void remove_owner(const std::string& owner);

  /// The time budget of a job: the requested one, at most the kind's; the kind's if none was
  /// requested; nothing if there is neither.
  std::optional<std::chrono::milliseconds>
  budget(const std::string& kind, std::optional<std::chrono::milliseconds> requested) const;

  /// Decides on a job; on admission counts its tasks as queued. Refusal reasons: unknown_kind,
  /// job_too_large, kind_suspended, no_capable_worker, deadline_unreachable, queue_full,
  /// rate_limited.
  admission_decision admit(const admission_request& request, const capacity_estimate& capacity,
                           monotonic_time now);

  /// Whether one more task of the kind may start under the limits of the kind and its owner.
  bool may_start(const std::string& kind) const;
  /// A queued task was dispatched. Precondition: may_start(kind).
  void start_task(const std::string& kind);
  /// A dispatched task was not run and waits again.
  void requeue_task(const std::string& kind);
  /// A dispatched task ended, or its job ended and its outcome is now known.
  void end_task(const std::string& kind);
  /// A job ended with this number of tasks still waiting.
  void drop_queued(const std::string& kind, std::size_t waiting);

  std::uint64_t queued(const std::string& kind) const;
  std::uint64_t in_flight(const std::string& kind) const;
  std::uint64_t owner_in_flight(const std::string& owner) const;
  /// Owner of a kind; empty if unknown.
  std::string owner_of(const std::string& kind) const;

private:
  struct owner_state {
    admission_quota shares;
    std::optional<token_bucket> rate;
    std::uint64_t in_flight = 0;
    bool quota_known = false;
    std::uint64_t kinds = 0;
  };
  struct kind_state {
    std::string owner;
    /// Counted in `owner_state::kinds`.
    bool owner_counted = false;
    admission_limits shares;
    std::optional<token_bucket> rate;
    std::uint64_t queued = 0;
    std::uint64_t in_flight = 0;
    bool removed = false;
  };

  std::optional<std::uint64_t> share(std::optional<std::uint64_t> limit) const;
  std::uint64_t max_job_tasks(const std::string& owner) const;
  void configure_owner_rate(const std::string& owner, monotonic_time now);
  void change_owner(kind_state& kind, const std::string& owner);
  void erase_if_unused(const std::string& kind);
  kind_state& kind_with_tasks(const std::string& kind);

  std::uint32_t slot_;
  std::uint32_t slots_;
  std::map<std::string, kind_state> kinds_;
  std::map<std::string, owner_state> owners_;
};

} // namespace parsleylead

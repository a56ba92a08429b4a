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

/// The entry's current estimate of the capacity for a job's kind.
struct capacity_estimate {
  /// Known workers that serve the kind and meet its requirements, including ejected ones.
  std::size_t capable_workers = 0;
  /// Slots of these workers that this entry can expect to get, at least 1 if a worker is known.
  double slots = 0;
  /// Low estimate of one task's run time on a fast worker.
  std::chrono::microseconds run_time{0};
  /// Low estimate of the run time of all work that is scheduled before this job
  /// (`backlog::work_before`).
  std::chrono::microseconds work_ahead{0};
  /// The kind's circuit breaker is open (`worker_health::kind_suspended`).
  bool suspended = false;
};

/// Result of `admission_control::admit`.
struct admission_decision {
  /// The cause of a refusal; absent if the job is admitted.
  std::optional<failure> refusal;
  /// For `rate_limited`: the delay after which a retry can succeed.
  std::optional<std::chrono::milliseconds> retry_after;

  bool admitted() const { return !refusal.has_value(); }
};

/// Lower bound of the job's finish time; a job with an earlier deadline would miss it.
monotonic_time earliest_finish(const admission_request& request, const capacity_estimate& capacity,
                               monotonic_time now);

/// Enforces this entry's share of the limits of kinds and owners (design, D8) and decides whether
/// jobs are admitted or refused (D9). Not thread-safe.
class admission_control {
public:
  /// Precondition: 1 <= `slot` <= `slots` (settings `entry_slot`, `entry_slots`).
  admission_control(std::uint32_t slot, std::uint32_t slots);

  /// Adds a kind or changes its owner and limits. Keeps the counts of its queued and running tasks.
  void set_kind(const std::string& kind, const std::string& owner, const admission_limits& limits,
                monotonic_time now);
  /// Removes a kind. New jobs of it are refused; its tasks are counted until they have ended.
  void remove_kind(const std::string& kind);
  void set_owner(const std::string& owner, const admission_quota& quota, monotonic_time now);
  void remove_owner(const std::string& owner);

  /// The time budget of a job: the requested budget, limited by that of the kind; the kind's budget
  /// if none was requested; nothing if neither exists.
  std::optional<std::chrono::milliseconds>
  budget(const std::string& kind, std::optional<std::chrono::milliseconds> requested) const;

  /// Admits or refuses a job. The tasks of an admitted job count as queued. Reasons for a refusal:
  /// `unknown_kind`, `job_too_large`, `kind_suspended`, `no_capable_worker`,
  /// `deadline_unreachable`, `queue_full`, `rate_limited`.
  admission_decision admit(const admission_request& request, const capacity_estimate& capacity,
                           monotonic_time now);

  /// Whether one more task of the kind may start under the limits of the kind and its owner.
  bool may_start(const std::string& kind) const;
  /// Counts a queued task as in flight. Precondition: `may_start(kind)`.
  void start_task(const std::string& kind);
  /// Counts a task in flight as queued again, because it was not run.
  void requeue_task(const std::string& kind);
  /// Removes a task in flight from the counts when its outcome is known, also if its job has ended.
  void end_task(const std::string& kind);
  /// Removes `waiting` queued tasks of a job that ended from the counts.
  void drop_queued(const std::string& kind, std::size_t waiting);

  std::uint64_t queued(const std::string& kind) const;
  std::uint64_t in_flight(const std::string& kind) const;
  std::uint64_t owner_in_flight(const std::string& owner) const;
  /// Owner of a kind; empty if the kind is unknown.
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

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/base/uuid.hpp"
#include "parsleylead/placement/demand.hpp"

namespace parsleylead {

enum class backlog_order { smallest_first, first_come };

struct backlog_settings {
  backlog_order order = backlog_order::smallest_first;
  /// Share of the time budget, 0 to 1, after which a waiting job gets the highest priority.
  double aging_share = 0.5;
};

/// A job to add to the backlog.
struct backlog_job {
  uuid id;
  std::string kind;
  std::string owner;
  std::size_t tasks = 0;
  monotonic_time accept_time;
  monotonic_time deadline;
};

/// A waiting job as passed to a visitor. The references are valid during the visit only.
struct backlog_candidate {
  const uuid& id;
  const std::string& kind;
  const std::string& owner;
  /// Waiting tasks.
  std::size_t waiting;
  /// Priority; lower is more urgent.
  std::uint64_t key;
};

/// What `backlog::visit` does after a candidate.
enum class visit_step {
  stop,
  /// Continue with the next job in order, which may be of the same kind.
  next_job,
  /// Continue with the next job of another kind.
  next_kind,
  /// As `next_kind`; the kind is also skipped by later visits until `unblock`.
  block_kind,
};

/// Priority queue of this entry's waiting tasks (docs/design.md, D4). The key of a job is its
/// number of waiting tasks times the estimated run time in microseconds. It decreases in steps and
/// reaches zero when the job has used `aging_share` of its time budget. Jobs with key zero are
/// ordered by the time at which they reached it, so that later arrivals cannot starve them.
/// Changes cost O(log n). Not thread-safe.
class backlog {
public:
  explicit backlog(backlog_settings settings = {}) : settings_(settings) {}

  /// Adds a job. Precondition: the id is not present; `job.tasks` > 0.
  void add(const backlog_job& job, monotonic_time now);
  /// Removes one waiting task of the job. Precondition: the job has a waiting task.
  void take(const uuid& id, monotonic_time now);
  /// Adds back a task that was taken but not run. No effect if the job is unknown.
  void put_back(const uuid& id, monotonic_time now);
  /// Removes a job with its waiting tasks. No effect if the job is unknown.
  void remove(const uuid& id);

  /// Sets the estimated run time of a kind and updates the keys of its waiting jobs. A change by
  /// less than a factor of 1.25 is ignored.
  void set_run_time(const std::string& kind, std::chrono::microseconds run_time,
                    monotonic_time now);
  /// Updates the keys of jobs whose next aging step is due. Call it before `visit` and
  /// `waiting_demand`.
  void age(monotonic_time now);

  /// Passes waiting jobs to the visitor in order of priority until it returns `visit_step::stop`.
  /// The visitor must not change the backlog.
  void visit(const std::function<visit_step(const backlog_candidate&)>& visitor);
  /// Makes the blocked kinds of an owner eligible again. Call it when a task of the owner ended or
  /// its limits changed.
  void unblock(const std::string& owner);

  /// Lowest key and number of waiting tasks, without blocked kinds.
  demand waiting_demand() const;
  /// The same for the kinds that one worker serves.
  demand waiting_demand(const std::set<std::string>& kinds) const;
  /// Lower bound of the total run time of the waiting tasks of these kinds that are more urgent
  /// than `key`. Admission passes the kinds of `worker_pool::confined_kinds`.
  std::chrono::microseconds work_before(const std::set<std::string>& kinds,
                                        std::uint64_t key) const;
  /// Initial key of a new job with this number of tasks.
  std::uint64_t key_for_new_job(const std::string& kind, std::size_t tasks) const;

  /// All waiting tasks, blocked kinds included.
  std::size_t waiting() const { return waiting_tasks_; }
  std::size_t waiting(const std::string& kind) const;
  std::size_t jobs() const { return jobs_.size(); }

private:
  /// One bucket for key 0 and two for each power of two, up to 64 bits.
  static constexpr std::size_t work_bucket_count = 130;

  /// Total order of waiting jobs: key, then the time at which the key reaches zero, then arrival.
  struct queue_position {
    std::uint64_t key = 0;
    monotonic_time aging_end;
    std::uint64_t arrival_number = 0;

    bool operator<(const queue_position& other) const {
      return std::tie(key, aging_end, arrival_number) <
             std::tie(other.key, other.aging_end, other.arrival_number);
    }
  };
  struct job_state {
    backlog_job job;
    std::size_t waiting = 0;
    queue_position position;
    std::uint64_t work_us = 0;
    monotonic_time next_aging_time;
  };
  struct kind_state {
    std::string owner;
    std::map<queue_position, job_state*> jobs;
    std::uint64_t run_time_us = default_run_time_us;
    /// Run time of the waiting tasks by key, so that `work_before` sums buckets instead of jobs.
    std::array<std::uint64_t, work_bucket_count> work_us{};
    std::size_t waiting = 0;
    bool blocked = false;
  };
  using kind_item = std::pair<const std::string, kind_state>;

  static constexpr std::uint64_t default_run_time_us = 300'000;

  static std::size_t bucket_of(std::uint64_t key);
  std::uint64_t key_of(const job_state& state, std::uint64_t run_time_us, monotonic_time now) const;
  void add_to_indexes(job_state& state, monotonic_time now);
  void remove_from_indexes(job_state& state);
  void index_kind(kind_item& kind);
  void unindex_kind(kind_item& kind);
  void schedule_aging(job_state& state, monotonic_time now);
  void unschedule_aging(job_state& state);
  void mark_blocked(kind_item& kind);

  backlog_settings settings_;
  std::map<uuid, job_state> jobs_;
  std::map<std::string, kind_state> kinds_;
  /// Unblocked kinds with waiting jobs, by the position of their first job.
  std::map<queue_position, kind_item*> kinds_by_best_job_;
  /// By owner.
  std::map<std::string, std::set<std::string>> blocked_kinds_;
  std::set<std::pair<monotonic_time, uuid>> aging_schedule_;
  std::size_t waiting_tasks_ = 0;
  std::size_t unblocked_waiting_tasks_ = 0;
  std::uint64_t arrival_count_ = 0;
};

} // namespace parsleylead

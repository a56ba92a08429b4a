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
  /// Share of the time budget after which a waiting job goes first, 0 to 1.
  double aging_share = 0.5;
};

/// A job as it enters the backlog.
struct backlog_job {
  uuid id;
  std::string kind;
  std::string owner;
  std::size_t tasks = 0;
  monotonic_time accept_time;
  monotonic_time deadline;
};

/// A waiting job as shown to a visitor.
struct backlog_candidate {
  const uuid& id;
  const std::string& kind;
  const std::string& owner;
  std::size_t waiting;
  std::uint64_t key;
};

/// What `backlog::visit` does after a candidate.
enum class visit_step {
  stop,
  /// Continue with the next job in order, which may be of the same kind.
  next_job,
  /// Continue with the next job of another kind.
  next_kind,
  /// As `next_kind`, and keep the kind out of the order until `unblock`.
  block_kind,
};

/// Waiting tasks of this entry in the order of D4. The key of a job is its waiting tasks times the
/// learned run time, in microseconds, and falls in steps to zero when the job has used
/// `aging_share` of its time budget. Jobs with key zero go in the order in which they reached it,
/// so no later arrival passes them. Changes cost O(log n). Not thread-safe.
class backlog {
public:
  explicit backlog(backlog_settings settings = {}) : settings_(settings) {}

  /// Adds a job. Precondition: the id is not present; `job.tasks` > 0.
  void add(const backlog_job& job, monotonic_time now);
  /// One task of the job was taken. Precondition: the job has a waiting task.
  void take(const uuid& id, monotonic_time now);
  /// A task of the job that was not run waits again. Nothing happens if the job is unknown.
  void put_back(const uuid& id, monotonic_time now);
  /// Removes a job that has ended.
  void remove(const uuid& id);

  /// Sets the learned run time of a kind. Keys follow changes above a quarter immediately, smaller
  /// ones at the next change of the job.
  void set_run_time(const std::string& kind, std::chrono::microseconds run_time,
                    monotonic_time now);
  /// Lowers the keys of jobs that have waited. Call it before `visit` and `waiting_demand`.
  void age(monotonic_time now);

  /// Shows waiting jobs in order until the visitor stops. The visitor must not change the backlog.
  void visit(const std::function<visit_step(const backlog_candidate&)>& visitor);
  /// Puts the blocked kinds of an owner back in the order; call it when a task of the owner ended
  /// or its limits changed.
  void unblock(const std::string& owner);

  /// Best key and number of waiting tasks, without blocked kinds.
  demand waiting_demand() const;
  /// The same for the kinds that one worker serves.
  demand waiting_demand(const std::set<std::string>& kinds) const;
  /// Low estimate of the run time of the waiting work of these kinds that is more urgent than
  /// `key`. For admission: the kinds of `worker_pool::confined_kinds`.
  std::chrono::microseconds work_before(const std::set<std::string>& kinds,
                                        std::uint64_t key) const;
  /// Key of a job of this size that arrives now.
  std::uint64_t key_for_new_job(const std::string& kind, std::size_t tasks) const;

  /// All waiting tasks, blocked kinds included.
  std::size_t waiting() const { return waiting_tasks_; }
  std::size_t waiting(const std::string& kind) const;
  std::size_t jobs() const { return jobs_.size(); }

private:
  /// Two work buckets for each power of two of the key.
  static constexpr std::size_t work_bucket_count = 130;

  /// Total order of waiting jobs: key, time at which aging ends, arrival.
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
    /// Work by key; a sum over the lower buckets is cheaper than a walk over the jobs.
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
  /// Unblocked kinds with waiting jobs, by their best job.
  std::map<queue_position, kind_item*> kinds_by_best_job_;
  std::map<std::string, std::set<std::string>> blocked_kinds_;
  std::set<std::pair<monotonic_time, uuid>> aging_schedule_;
  std::size_t waiting_tasks_ = 0;
  std::size_t unblocked_waiting_tasks_ = 0;
  std::uint64_t arrival_count_ = 0;
};

} // namespace parsleylead

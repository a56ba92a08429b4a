#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "parsleylead/job/job.hpp"

namespace parsleylead {

/// Owns the jobs of an entry: the open ones, and ended ones for the retention time.
/// Not thread-safe. References to jobs stay valid until `purge` removes them.
class job_table {
public:
  /// `retention`: how long an ended job is kept, counted from `start_retention`.
  explicit job_table(std::chrono::milliseconds retention) : retention_(retention) {}

  /// Adds an open job. Returns null if the id is already present.
  job* insert(job_request request);
  /// Returns null if the id is unknown or the job was purged.
  job* find(const uuid& id);
  const job* find(const uuid& id) const;

  /// Starts the retention of a job that has ended. Must follow every end that was not caused by
  /// `expire`; repeated calls have no effect.
  void start_retention(const uuid& id, monotonic_time now);

  /// Earliest deadline of the open jobs; nullopt if there are none.
  std::optional<monotonic_time> next_deadline() const;
  /// Ends all open jobs whose deadline is at or before `now` and returns them in deadline order.
  std::vector<job*> expire(monotonic_time now);
  /// Removes ended jobs whose retention has passed and returns their number.
  std::size_t purge(monotonic_time now);

  /// Ids of the open jobs in deadline order.
  std::vector<uuid> open_job_ids() const;
  std::size_t open_count() const { return deadlines_.size(); }
  std::size_t size() const { return jobs_.size(); }

private:
  std::chrono::milliseconds retention_;
  std::map<uuid, std::unique_ptr<job>> jobs_;
  std::set<std::pair<monotonic_time, uuid>> deadlines_;
  std::deque<std::pair<monotonic_time, uuid>> retained_;
};

} // namespace parsleylead

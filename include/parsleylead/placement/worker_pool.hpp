#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "parsleylead/placement/worker_view.hpp"

namespace parsleylead {

/// The known workers, indexed by kind. At the target scale (540 workers, 12,000 starts per second)
/// a scan of all workers for each task would be too expensive. Not thread-safe.
class worker_pool {
public:
  /// Sort key of workers with credits, best first: run time factor in steps of
  /// `run_time_factor_step`, other availability zone than the entry's, exact factor, id.
  using preference = std::tuple<int, bool, double, std::string>;
  using ranking = std::map<preference, const worker_view*>;

  /// Factors within one step count as equal. 5 % of a 50 ms task is more than a round trip between
  /// availability zones.
  static constexpr double run_time_factor_step = 1.05;

  /// `availability_zone`: the zone of this entry.
  explicit worker_pool(std::string availability_zone)
      : availability_zone_(std::move(availability_zone)) {}

  /// Adds a worker or replaces its data.
  void put(worker_view view);
  void remove(const std::string& id);
  /// Null if unknown.
  const worker_view* find(const std::string& id) const;

  // Updates of one worker; no effect if the id is unknown.
  void set_credits(const std::string& id, std::uint32_t credits);
  /// Sets the number of tasks of other entries at the worker, as reported with a result.
  void set_other_tasks(const std::string& id, std::uint32_t other_tasks, monotonic_time now);
  void set_run_time_factor(const std::string& id, double run_time_factor);
  void set_ejected(const std::string& id, bool ejected);
  /// Records that a task was dispatched to the worker and is expected to end at this time.
  void task_sent(const std::string& id, monotonic_time expected_end);
  /// Records that a task has ended. `expected_end`: the time passed to `task_sent`.
  void task_ended(const std::string& id, monotonic_time expected_end);

  /// Workers that serve the kind and are not ejected, in no particular order.
  const std::vector<const worker_view*>& usable(const std::string& kind) const;
  /// Usable workers with credits, best first.
  const ranking& with_credits(const std::string& kind) const;

  /// Number of workers, ejected ones included, that serve the kind and on which a task with these
  /// needs fits.
  std::size_t capable_workers(const std::string& kind, const worker_requirements& needs) const;
  /// Total number of slots of these workers.
  std::size_t capable_slots(const std::string& kind, const worker_requirements& needs) const;
  /// Kinds that are served only by workers that also serve `kind`, `kind` itself included. Their
  /// waiting tasks compete with `kind` on every worker, so even an optimistic estimate may count
  /// them. Valid until the next change of the pool.
  const std::set<std::string>& confined_kinds(const std::string& kind) const;
  /// Lowest run time factor of the usable workers of the kind; 1 if there is none.
  double lowest_run_time_factor(const std::string& kind) const;

  const std::map<std::string, std::unique_ptr<worker_view>>& all() const { return workers_; }
  std::size_t size() const { return workers_.size(); }

private:
  struct kind_index {
    std::vector<const worker_view*> serving;
    std::vector<const worker_view*> usable;
    ranking with_credits;
    std::multiset<double> run_time_factors;
  };

  preference preference_of(const worker_view& view) const;
  void add_to_indexes(const worker_view& view);
  void remove_from_indexes(const worker_view& view);
  worker_view* find_mutable(const std::string& id);
  const kind_index& index_of(const std::string& kind) const;

  std::string availability_zone_;
  std::map<std::string, std::unique_ptr<worker_view>> workers_;
  std::map<std::string, kind_index> kinds_;
  /// Cached results of `confined_kinds`; cleared when a worker is added, replaced or removed.
  mutable std::map<std::string, std::set<std::string>> confined_kinds_;
};

} // namespace parsleylead

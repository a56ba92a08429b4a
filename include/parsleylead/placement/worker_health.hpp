#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// Outlier detection of workers and circuit breaker of kinds, by the rules of D10.
/// Not thread-safe.
class worker_health {
public:
  static constexpr std::size_t result_window = 10;
  static constexpr std::size_t min_failures = 5;
  /// At most 30 % of the workers are ejected.
  static constexpr std::size_t max_ejected_percent = 30;
  static constexpr std::chrono::milliseconds min_backoff{1000};
  static constexpr std::chrono::milliseconds max_backoff{60'000};
  static constexpr std::size_t breaker_failures = 10;
  static constexpr std::size_t breaker_workers = 2;
  static constexpr std::chrono::milliseconds breaker_open_time{5000};

  /// What a result changed.
  enum class change { none, ejected, readmitted };

  void add_worker(const std::string& worker);
  /// Forgets a worker. Returns the workers re-admitted to keep the share of ejected ones.
  std::vector<std::string> remove_worker(const std::string& worker);

  /// Records the result of a task that was not the trial of an ejected worker. Results of an
  /// ejected worker count for the kind's breaker only.
  change record(const std::string& worker, const std::string& kind, bool failed,
                monotonic_time now);

  bool ejected(const std::string& worker) const;
  std::size_t ejected_count() const { return ejected_count_; }
  /// Whether an ejected worker may get its trial task now.
  bool trial_due(const std::string& worker, monotonic_time now) const;
  /// The trial task was dispatched. Precondition: trial_due.
  void begin_trial(const std::string& worker);
  /// The trial ended: success re-admits the worker with an empty window, failure doubles the
  /// backoff. Counts for the kind's breaker too.
  change record_trial(const std::string& worker, const std::string& kind, bool failed,
                      monotonic_time now);
  /// The trial was not run or was cancelled: another may follow after the same backoff.
  void abandon_trial(const std::string& worker, monotonic_time now);
  /// Earliest time at which a trial is due.
  std::optional<monotonic_time> next_trial() const;

  /// Whether the kind's circuit breaker is open.
  bool kind_suspended(const std::string& kind, monotonic_time now) const;

private:
  struct result {
    std::string kind;
    bool failed = false;
  };
  struct result_tally {
    std::size_t results = 0;
    std::size_t failures = 0;
  };
  struct worker_state {
    std::deque<result> recent_results;
    std::size_t failures = 0;
    bool ejected = false;
    bool trial_running = false;
    std::chrono::milliseconds backoff{0};
    monotonic_time trial_due_time;
    std::uint64_t ejection_number = 0;
  };
  struct kind_state {
    result_tally totals;
    std::size_t consecutive_failures = 0;
    std::set<std::string> failed_workers;
    std::optional<monotonic_time> suspended_until;
  };

  void add_to_tallies(worker_state& state, const result& value);
  void remove_from_tallies(worker_state& state, const result& value);
  void clear_recent_results(worker_state& state);
  void record_for_breaker(const std::string& worker, const std::string& kind, bool failed,
                          monotonic_time now);
  bool is_outlier(const worker_state& state) const;
  bool ejection_allowed() const;
  void readmit(worker_state& state);

  std::map<std::string, worker_state> workers_;
  std::map<std::string, kind_state> kinds_;
  std::size_t ejected_count_ = 0;
  std::uint64_t ejection_counter_ = 0;
};

} // namespace parsleylead

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

/// Outlier detection for workers and a circuit breaker for each kind (docs/design.md, D10).
/// Not thread-safe.
class worker_health {
public:
  /// Number of recent results of a worker that outlier detection considers.
  static constexpr std::size_t result_window = 10;
  /// Failures in the window below which a worker is never ejected.
  static constexpr std::size_t min_failures = 5;
  /// At most 30 % of the workers are ejected.
  static constexpr std::size_t max_ejected_percent = 30;
  static constexpr std::chrono::milliseconds min_backoff{1000};
  static constexpr std::chrono::milliseconds max_backoff{60'000};
  /// Consecutive failures of a kind that open its circuit breaker.
  static constexpr std::size_t breaker_failures = 10;
  /// Number of distinct workers on which these failures must have occurred.
  static constexpr std::size_t breaker_workers = 2;
  static constexpr std::chrono::milliseconds breaker_open_time{5000};

  /// Effect of a result on the worker.
  enum class change { none, ejected, readmitted };

  void add_worker(const std::string& worker);
  /// Removes a worker. Returns the workers re-admitted so that at most `max_ejected_percent` of the
  /// remaining ones are ejected.
  std::vector<std::string> remove_worker(const std::string& worker);

  /// Records the result of a task that was not a trial. Results of an ejected worker count only for
  /// the kind's circuit breaker.
  change record(const std::string& worker, const std::string& kind, bool failed,
                monotonic_time now);

  bool ejected(const std::string& worker) const;
  std::size_t ejected_count() const { return ejected_count_; }
  /// Whether an ejected worker may be sent a trial task now.
  bool trial_due(const std::string& worker, monotonic_time now) const;
  /// Records that a trial task was dispatched. Precondition: `trial_due`.
  void begin_trial(const std::string& worker);
  /// Records the result of a trial. Success re-admits the worker with an empty window, failure
  /// doubles the backoff. The result also counts for the kind's circuit breaker.
  change record_trial(const std::string& worker, const std::string& kind, bool failed,
                      monotonic_time now);
  /// Records that a trial was not run or was cancelled. The next one is due after the same backoff.
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

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/placement/demand.hpp"
#include "parsleylead/placement/worker_view.hpp"

namespace parsleylead {

/// Decides to which workers a `want` message, a request for credits, is sent. A worker needs one
/// only if tasks wait, no credit is available, and neither a dispatch nor a `want` has informed it
/// since the demand last rose from none. Not thread-safe.
class demand_tracker {
public:
  /// Minimum time between two `want` messages to the same worker.
  static constexpr std::chrono::milliseconds min_want_interval{100};
  /// Workers asked at once for each waiting task. If all were asked, most would grant a credit that
  /// remains unused.
  static constexpr std::size_t workers_asked_per_task = 2;
  /// Time before further workers are asked, about ten round trips.
  static constexpr std::chrono::milliseconds batch_interval{20};

  /// Adds a worker to which a session was opened. Its agent does not know this entry's demand yet.
  void add_worker(const std::string& worker);
  void remove_worker(const std::string& worker);

  /// Sets the current demand. Call it whenever the demand may have changed from or to none.
  void set_demand(const demand& current);
  /// Returns the workers to which a `want` must be sent now and marks them as informed.
  /// `credit_available`: some worker has a credit that a waiting task can use.
  /// `serves_waiting`: whether a worker is usable and serves a kind with waiting tasks.
  std::vector<std::string> due_wants(bool credit_available, monotonic_time now,
                                     const std::function<bool(const std::string&)>& serves_waiting);
  /// Earliest time at which a `want` that the last `due_wants` postponed for a time limit is due.
  std::optional<monotonic_time> next_due() const { return next_due_; }
  /// Records that a dispatch with this demand was sent to the worker.
  void dispatch_sent(const std::string& worker, const demand& carried);

  /// Records that a `want` was sent. It is wasted if no credit that the worker granted afterwards,
  /// in its answer or in a grant message, is spent before the demand falls to none.
  void want_sent(const std::string& worker) { ++open_wants_[worker].sent; }
  /// Records that the answer to a `want`, or a grant message, contained credits.
  void credit_granted(const std::string& worker);
  /// Records that a credit of the worker was spent.
  void credit_spent(const std::string& worker);
  /// Returns and resets the number of wasted `want` messages; 0 while there is demand.
  std::uint64_t take_wasted_want_count();

private:
  struct worker_state {
    /// Demand generation of which the worker was informed; 0 for none.
    std::uint64_t informed_generation = 0;
    std::optional<monotonic_time> last_want_time;
  };

  /// Number of `want` messages to a worker without a spent credit, and how many of them were
  /// granted one.
  struct want_usage {
    std::uint64_t sent = 0;
    std::uint64_t granted = 0;
  };

  std::map<std::string, want_usage> open_wants_;
  std::map<std::string, worker_state> workers_;
  /// Workers that were not informed of the demand of `uninformed_generation_`. Kept between calls,
  /// so that `due_wants` does not scan all workers.
  std::set<std::string> uninformed_workers_;
  std::uint64_t uninformed_generation_ = 0;
  /// Number of times that the demand rose from none.
  std::uint64_t demand_generation_ = 0;
  bool has_demand_ = false;
  std::optional<monotonic_time> next_due_;
  std::size_t waiting_tasks_ = 0;
  /// Number of `want` messages since `batch_start_`, for the demand of `batch_generation_`.
  std::size_t batch_wants_ = 0;
  std::uint64_t batch_generation_ = 0;
  monotonic_time batch_start_;
  /// The next search starts after this worker, so that all are asked in turn.
  std::string last_asked_worker_;
};

/// Number of unused credits to return to the worker without a recall: all if the worker is ejected
/// or the entry is leaving. Otherwise unused credits are kept until recalled, also without backlog.
std::uint32_t credits_to_return(const worker_view& worker, bool entry_leaving);

} // namespace parsleylead

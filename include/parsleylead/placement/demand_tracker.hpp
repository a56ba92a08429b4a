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

/// Decides which workers are sent a `want` message. A worker needs one only if backlog waits, no
/// credit is available, and no dispatch or `want` has told it since the demand rose from none.
/// Not thread-safe.
class demand_tracker {
public:
  /// At most one `want` to a worker in this time.
  static constexpr std::chrono::milliseconds min_want_interval{100};
  /// Workers asked at once for each waiting task. One task that asked all workers would be granted
  /// credits by most of them and use one.
  static constexpr std::size_t workers_asked_per_task = 2;
  /// Further workers are asked after this time, about ten round trips.
  static constexpr std::chrono::milliseconds batch_interval{20};

  /// A session to the worker was opened: its agent knows no demand of this entry.
  void add_worker(const std::string& worker);
  void remove_worker(const std::string& worker);

  /// Call it whenever the demand may have changed from or to none.
  void set_demand(const demand& current);
  /// Workers to which a `want` has to be sent now; they then count as told.
  /// `credit_available`: some worker has a credit that the waiting work can use.
  /// `serves_waiting`: whether a worker is usable and serves a kind that waits.
  std::vector<std::string> due_wants(bool credit_available, monotonic_time now,
                                     const std::function<bool(const std::string&)>& serves_waiting);
  /// When a `want` that only the interval delayed in the last `due_wants` becomes due.
  std::optional<monotonic_time> next_due() const { return next_due_; }
  /// A dispatch that carried this demand was sent to the worker.
  void dispatch_sent(const std::string& worker, const demand& carried);

  /// The following calls tell which `want` messages were wasted: those after which no credit of
  /// the worker's answer or of a grant message was spent while the demand lasted.
  void want_sent(const std::string& worker) { ++open_wants_[worker].sent; }
  /// The answer to a `want`, or a grant message, brought credits.
  void credit_granted(const std::string& worker);
  /// A credit of the worker was spent.
  void credit_spent(const std::string& worker);
  /// Wasted `want` messages since the last call. The open ones are wasted when no demand is left.
  std::uint64_t take_wasted_want_count();

private:
  struct worker_state {
    /// Rise of the demand that the worker was told; 0 for none.
    std::uint64_t informed_generation = 0;
    std::optional<monotonic_time> last_want_time;
  };

  /// `want` messages to a worker whose use is not decided yet, and how many were granted.
  struct want_usage {
    std::uint64_t sent = 0;
    std::uint64_t granted = 0;
  };

  std::map<std::string, want_usage> open_wants_;
  std::map<std::string, worker_state> workers_;
  /// Workers without the demand of rise `uninformed_generation_`, so that a call with nothing to do
  /// is cheap.
  std::set<std::string> uninformed_workers_;
  std::uint64_t uninformed_generation_ = 0;
  /// How often the demand rose from none.
  std::uint64_t demand_generation_ = 0;
  bool has_demand_ = false;
  std::optional<monotonic_time> next_due_;
  std::size_t waiting_tasks_ = 0;
  /// `want` messages since `batch_start_`, for the rise `batch_generation_`.
  std::size_t batch_wants_ = 0;
  std::uint64_t batch_generation_ = 0;
  monotonic_time batch_start_;
  /// The search for untold workers starts after this one, so that all are asked in turn.
  std::string last_asked_worker_;
};

/// Unused credits to give back without being asked: all of an ejected worker or of an entry that
/// is leaving. A missing backlog is no reason: idle credits stay until recalled.
std::uint32_t credits_to_return(const worker_view& worker, bool entry_leaving);

} // namespace parsleylead

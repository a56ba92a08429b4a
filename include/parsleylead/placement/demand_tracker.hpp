#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
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

  /// Call it whenever the demand may have changed, with the demand for the worker's kinds.
  /// Returns true if a `want` has to be sent now; it then counts as sent.
  /// `credit_available`: some worker has a credit that the waiting work can use.
  bool want_due(const std::string& worker, const demand& current, bool credit_available,
                monotonic_time now);
  /// When a `want` that only the interval delays becomes due.
  std::optional<monotonic_time> next_due(const std::string& worker) const;
  /// A dispatch that carried this demand was sent to the worker.
  void dispatched(const std::string& worker, const demand& carried);
  /// A session was opened or lost: the agent knows no demand of this entry.
  void forget(const std::string& worker) { workers_.erase(worker); }

private:
  struct worker_state {
    bool told = false;
    std::optional<monotonic_time> last_want;
    std::optional<monotonic_time> due;
  };
  std::map<std::string, worker_state> workers_;
};

/// Unused credits to give back without being asked: all of an ejected worker or of an entry that
/// is leaving. A missing backlog is no reason: idle credits stay until recalled.
std::uint32_t credits_to_give_back(const worker_view& worker, bool entry_leaving);

} // namespace parsleylead

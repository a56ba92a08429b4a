#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "parsleylead/fleet/fleet_agent.hpp"

namespace parsleylead {

/// Connection of an agent to one entry; kept while the entry is disconnected.
struct fleet_agent::session {
  std::string address;
  std::shared_ptr<frame_link> link;
  std::string entry;
  std::uint64_t incarnation = 0;
  owner_id owner = 0;
  bool established = false;
  bool lease_expired = false;
  monotonic_time last_heard{};
  /// When the newest frame that the entry is known to have received was sent.
  std::optional<monotonic_time> heard_by_entry;
  monotonic_time status_sent{};
  bool status_due = false;
  /// The session is beyond the maximum and will be closed. When the entry was told that the worker
  /// accepts no more of its orders.
  std::optional<monotonic_time> closing_since;
  std::optional<worker_status> sent_status;
  fleet_frame outgoing;
};

} // namespace parsleylead

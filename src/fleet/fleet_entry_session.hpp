#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "parsleylead/fleet/fleet_entry.hpp"

namespace parsleylead {

/// Connection of an entry to an agent or another entry.
struct fleet_entry::session {
  std::shared_ptr<frame_link> link;
  /// Address that this process connected to; empty for an accepted connection.
  std::string dialled;
  fleet_member peer;
  bool is_agent = false;
  bool established = false;
  bool closed = false;
  worker_index worker = 0;
  monotonic_time opened{};
  std::int64_t routes_version = -1;
  fleet_frame outgoing;
  /// What another entry knows of the waiting durable jobs.
  waiting_counts::peer_view waiting_jobs_known;
  /// Time of the agent's newest frame, on its clock.
  std::chrono::milliseconds newest_sent{0};
};

} // namespace parsleylead

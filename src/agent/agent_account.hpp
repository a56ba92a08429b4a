#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "parsleylead/base/reason.hpp"

namespace parsleylead {

/// Counters of one agent since its start, and gauges of its current state. At any moment
/// dispatches = finished + failed + not run + refused + open.
struct agent_account {
  std::uint64_t dispatches = 0;
  std::uint64_t starts = 0;
  std::uint64_t finished = 0;
  /// Sent to the upstream but not answered, by reason; they may have run.
  std::map<reason, std::uint64_t> failed;
  /// Passed the commit point but not sent to the upstream, by reason.
  std::map<reason, std::uint64_t> not_run;
  /// Refused before the commit point, by reason.
  std::map<reason, std::uint64_t> refused;
  /// Running, or waiting for a slot.
  std::uint64_t open = 0;
  /// Outcomes sent again after a session was resumed.
  std::uint64_t duplicate_results = 0;
  /// Outcomes that no entry acknowledged within the retention time.
  std::uint64_t expired_results = 0;
  std::uint64_t sessions_opened = 0;
  std::uint64_t sessions_refused = 0;
  std::uint64_t sessions_lost = 0;
  std::uint64_t announces = 0;
  std::uint64_t grants = 0;
  std::uint64_t recalls = 0;
  std::uint64_t recalls_unanswered = 0;
  std::uint64_t credits_returned = 0;
  std::uint64_t wants = 0;
  std::uint64_t wants_without_grant = 0;
  std::uint64_t probes = 0;
  /// RPC calls and replies sent.
  std::uint64_t messages = 0;

  // Gauges.
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t granted = 0;
  std::uint64_t queued = 0;
  std::uint64_t sessions = 0;
  std::uint64_t unacknowledged = 0;
};

std::string to_json(const agent_account& account);

/// Formats the account in the Prometheus text format, version 0.0.4.
std::string to_prometheus(const agent_account& account);

} // namespace parsleylead

#pragma once

#include <cstdint>
#include <string_view>

namespace parsleylead {

/// Why a request, task or message was refused, failed or abandoned; the account counts each code
/// separately. The numeric values are part of the internal protocol and never change meaning.
enum class reason : std::uint16_t {
  none = 0,
  // Refused before anything ran.
  malformed_request = 1,
  unknown_kind = 2,
  job_too_large = 3,
  invalid_key = 4,
  key_expired = 5,
  duplicate_key = 6,
  claim_unavailable = 7,
  queue_full = 8,
  rate_limited = 9,
  deadline_unreachable = 10,
  no_capable_worker = 11,
  kind_suspended = 12,
  entry_leaving = 13,
  catalogue_unavailable = 14,
  kind_removed = 15,
  // A dispatch that an agent refused before its commit point.
  agent_leaving = 20,
  upstream_absent = 21,
  no_free_slot = 22,
  stale_revision = 23,
  stale_session = 24,
  kind_not_served = 25,
  sealed = 26,
  connect_failed = 27,
  budget_exhausted = 28,
  retries_exhausted = 29,
  // Ended after something may have run.
  deadline_exceeded = 40,
  cancelled = 41,
  task_failed = 42,
  upstream_disconnected = 43,
  agent_lost = 44,
  agent_restarted = 45,
  answer_too_large = 46,
  // Internal protocol and processes.
  protocol_error = 60,
  version_mismatch = 61,
  disconnected = 62,
  timeout = 63,
  unknown_submission = 64,
  answer_expired = 65,
  internal = 66,
};

/// Stable snake_case name of the reason, as shown in answers, logs and metrics.
std::string_view to_string(reason value);

/// Maps a wire value to a reason; values from newer versions become `reason::internal`.
reason reason_from_wire(std::uint16_t value);

} // namespace parsleylead

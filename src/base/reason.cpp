#include "parsleylead/base/reason.hpp"

#include <array>
#include <utility>

namespace parsleylead {
namespace {

constexpr auto reason_names = std::to_array<std::pair<reason, std::string_view>>({
    {reason::none, "none"},
    {reason::malformed_request, "malformed_request"},
    {reason::unknown_kind, "unknown_kind"},
    {reason::job_too_large, "job_too_large"},
    {reason::invalid_key, "invalid_key"},
    {reason::key_expired, "key_expired"},
    {reason::duplicate_key, "duplicate_key"},
    {reason::claim_unavailable, "claim_unavailable"},
    {reason::queue_full, "queue_full"},
    {reason::rate_limited, "rate_limited"},
    {reason::deadline_unreachable, "deadline_unreachable"},
    {reason::no_capable_worker, "no_capable_worker"},
    {reason::kind_suspended, "kind_suspended"},
    {reason::entry_leaving, "entry_leaving"},
    {reason::catalogue_unavailable, "catalogue_unavailable"},
    {reason::kind_removed, "kind_removed"},
    {reason::agent_leaving, "agent_leaving"},
    {reason::upstream_absent, "upstream_absent"},
    {reason::no_free_slot, "no_free_slot"},
    {reason::stale_revision, "stale_revision"},
    {reason::stale_session, "stale_session"},
    {reason::kind_not_served, "kind_not_served"},
    {reason::sealed, "sealed"},
    {reason::connect_failed, "connect_failed"},
    {reason::budget_exhausted, "budget_exhausted"},
    {reason::retries_exhausted, "retries_exhausted"},
    {reason::deadline_exceeded, "deadline_exceeded"},
    {reason::cancelled, "cancelled"},
    {reason::task_failed, "task_failed"},
    {reason::upstream_disconnected, "upstream_disconnected"},
    {reason::agent_lost, "agent_lost"},
    {reason::agent_restarted, "agent_restarted"},
    {reason::answer_too_large, "answer_too_large"},
    {reason::protocol_error, "protocol_error"},
    {reason::version_mismatch, "version_mismatch"},
    {reason::disconnected, "disconnected"},
    {reason::timeout, "timeout"},
    {reason::unknown_submission, "unknown_submission"},
    {reason::answer_expired, "answer_expired"},
    {reason::internal, "internal"},
});

} // namespace

std::string_view to_string(reason value) {
  for (const auto& [code, name] : reason_names) {
    if (code == value) {
      return name;
    }
  }
  return "internal";
}

reason reason_from_wire(std::uint16_t value) {
  for (const auto& [code, name] : reason_names) {
    if (static_cast<std::uint16_t>(code) == value) {
      return code;
    }
  }
  return reason::internal;
}

} // namespace parsleylead

#pragma once

#include <string>
#include <vector>

#include "agent_links.hpp"
#include "member_service.hpp"
#include "parsleylead/account/account.hpp"
#include "parsleylead/catalogue/catalogue_replica.hpp"
#include "parsleylead/claim/claimant.hpp"
#include "parsleylead/observe/metrics_registry.hpp"

namespace parsleylead {

/// Current gauge values of an entry.
struct entry_gauges {
  std::size_t open_jobs = 0;
  std::size_t waiting_tasks = 0;
  std::size_t tasks_in_flight = 0;
  std::size_t open_sessions = 0;
  std::uint64_t catalogue_offset = 0;
  bool log_reachable = false;
  claimant_statistics claims;
};

/// Body of GET /v1/catalogue. `replica` is null while the catalogue is not known.
std::string catalogue_report(const std::string& process, const catalogue_replica* replica);

/// Body of GET /v1/members.
std::string members_report(const entry_member& self, const std::vector<entry_member>& entries,
                           const agent_links& agents, const dispatcher& decisions);

/// Body of GET /v1/account.
std::string account_report(const std::string& process, const account_snapshot& snapshot);

/// Updates the metrics that are derived from the account and the gauges.
void update_metrics(metrics_registry& metrics, const account_snapshot& snapshot,
                    const entry_gauges& gauges);

} // namespace parsleylead

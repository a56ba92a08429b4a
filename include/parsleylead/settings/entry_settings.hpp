#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/settings/common_settings.hpp"

namespace parsleylead {

/// Settings of the HTTP service for callers.
struct caller_settings {
  endpoint address;
  /// Number of pool threads. Each waiting caller and each kept-alive connection occupies one.
  std::size_t threads = 128;
  std::size_t max_body_bytes = 4UL * 1024 * 1024;
  std::chrono::milliseconds keep_alive{5000};
  /// Time for which the answer of a finished job can be fetched.
  std::chrono::seconds answer_retention{600};
};

/// Settings for the detection of silent connections to agents.
struct session_settings {
  /// Time without received data after which the entry sends a probe while tasks are outstanding.
  std::chrono::milliseconds probe_after{250};
  /// Time after which an unanswered probe makes the entry open a new connection.
  std::chrono::milliseconds probe_timeout{500};
  std::chrono::milliseconds idle_probe_interval{30'000};
  /// Time after which an agent that cannot be reached counts as lost.
  std::chrono::milliseconds resume_timeout{3000};
  std::chrono::milliseconds connect_timeout{500};
};

/// Settings for claims of non-idempotent requests.
struct claim_settings {
  std::uint32_t partitions = 1;
  std::chrono::seconds key_lifetime{3600};
  std::chrono::seconds clock_skew{300};
  std::chrono::milliseconds min_append_interval{10};
  /// Answers up to this size are stored in the log with the outcome.
  std::size_t max_logged_answer_bytes = 16UL * 1024;
};

/// Settings of the catalogue replica.
struct catalogue_settings {
  /// Maximum wait of one read of the log; also the retry interval while the log is unavailable.
  std::chrono::milliseconds poll_wait{500};
  /// A snapshot is appended when the oldest change that none covers is this old.
  std::chrono::seconds snapshot_after{21'600};
};

/// Settings of the placement policy and the backlog.
struct policy_settings {
  /// "credits", "shared" or one of the baselines for measurements: "random", "round_robin",
  /// "two_choices" and "probing".
  std::string name = "credits";
  /// Order of the backlog: "smallest_first" or "first_come".
  std::string order = "smallest_first";
  /// Share of the time budget, 0 to 1, after which a waiting job gets the highest priority.
  double aging_share = 0.5;
};

/// Settings of parsleylead-entry.
struct entry_settings {
  std::string name;
  std::string region;
  std::string availability_zone;
  endpoint rpc_address;
  /// The address announced to peers, for hosts behind address translation or a proxy. Default: the
  /// RPC address in use.
  std::optional<endpoint> advertised_rpc_address;
  endpoint operations_address;
  /// This entry's number among the site's entries, from 1 to `entry_slots`.
  std::uint32_t entry_slot = 1;
  /// Number of entries that share the limits of the catalogue.
  std::uint32_t entry_slots = 1;
  /// RPC addresses of other entries.
  std::vector<endpoint> seeds;
  std::chrono::milliseconds exchange_interval{1000};
  /// Time between answering /ready with 503 and refusing new jobs, in which the load balancer
  /// notices the change.
  std::chrono::milliseconds drain_notice{2000};
  /// Time after which a planned stop ends the jobs that are still open. Their callers get a failure
  /// that says whether the job may have run.
  std::chrono::milliseconds drain_limit{60'000};
  caller_settings callers;
  session_settings sessions;
  log_service_settings log;
  claim_settings claims;
  catalogue_settings catalogue;
  policy_settings policy;
  logging_settings logging;
  trace_settings traces;
};

} // namespace parsleylead

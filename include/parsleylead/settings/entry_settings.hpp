#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/settings/common_settings.hpp"

namespace parsleylead {

/// HTTP service for callers.
struct caller_settings {
  endpoint address;
  /// Pool threads; each waiting caller and each kept-alive connection holds one.
  std::size_t threads = 128;
  std::size_t max_body_bytes = 4UL * 1024 * 1024;
  std::chrono::milliseconds keep_alive{5000};
  /// How long a finished job's answer can be fetched.
  std::chrono::seconds answer_retention{600};
};

/// Detection of silent connections to agents.
struct session_settings {
  /// With work outstanding and nothing received for this long, the entry probes.
  std::chrono::milliseconds probe_after{250};
  /// An unanswered probe makes the entry open a new connection.
  std::chrono::milliseconds probe_timeout{500};
  std::chrono::milliseconds idle_probe_interval{30'000};
  /// An agent that cannot be reached for this long is lost.
  std::chrono::milliseconds resume_timeout{3000};
  std::chrono::milliseconds connect_timeout{500};
};

/// Claims of non-idempotent requests.
struct claim_settings {
  std::uint32_t partitions = 1;
  std::chrono::seconds key_lifetime{3600};
  std::chrono::seconds clock_skew{300};
  std::chrono::milliseconds min_append_interval{10};
  /// Answers up to this size are kept in the log with the outcome.
  std::size_t max_logged_answer_bytes = 16UL * 1024;
};

/// Replica of the catalogue.
struct catalogue_settings {
  /// Longest wait of one read of the log; also the retry interval while the log is down.
  std::chrono::milliseconds poll_wait{500};
  /// A snapshot is appended when the oldest change not covered by one is this old.
  std::chrono::seconds snapshot_after{21'600};
};

/// Placement policy.
struct policy_settings {
  /// "credits" or "shared", or a baseline for measurements: "random", "round_robin", "two_choices",
  /// "probing".
  std::string name = "credits";
  /// Order of the backlog: "smallest_first" or "first_come".
  std::string order = "smallest_first";
  /// Share of the time budget after which a waiting job goes first, 0 to 1.
  double aging_share = 0.5;
};

/// Settings of parsleylead-entry.
struct entry_settings {
  std::string name;
  std::string region;
  std::string availability_zone;
  endpoint rpc_address;
  /// The address that peers are told to connect to; by default the RPC address in use. For hosts
  /// behind an address translation or a proxy.
  std::optional<endpoint> advertised_rpc_address;
  endpoint operations_address;
  /// This entry's number among the site's entries, from 1 to `entry_slots`.
  std::uint32_t entry_slot = 1;
  /// Number of entries that share the limits of the catalogue.
  std::uint32_t entry_slots = 1;
  /// RPC addresses of other entries.
  std::vector<endpoint> seeds;
  std::chrono::milliseconds exchange_interval{1000};
  /// Time between turning /ready to 503 and refusing new jobs, so that the balancer notices.
  std::chrono::milliseconds drain_notice{2000};
  /// A planned stop ends open jobs truthfully after this time.
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

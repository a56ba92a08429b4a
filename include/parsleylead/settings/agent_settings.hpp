#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/settings/common_settings.hpp"

namespace parsleylead {

/// Settings for the upstream beside the agent.
struct upstream_settings {
  /// The address at which the agent listens for the upstream's announcement.
  endpoint announce_address;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::uint32_t cores = 0;
  std::uint64_t memory_mb = 0;
  /// An announcement expires if it is not repeated within this time.
  std::chrono::milliseconds lease{3000};
  std::chrono::milliseconds connect_timeout{250};
  std::size_t max_answer_bytes = 1024UL * 1024;
};

/// Settings of parsleylead-agent.
struct agent_settings {
  std::string name;
  std::string region;
  std::string availability_zone;
  endpoint rpc_address;
  /// The address announced to peers, for hosts behind address translation or a proxy. Default: the
  /// RPC address in use.
  std::optional<endpoint> advertised_rpc_address;
  endpoint operations_address;
  /// RPC addresses of entries.
  std::vector<endpoint> seeds;
  /// The platform's log, from which addresses of entries are read while no entry can be reached.
  std::optional<endpoint> log_address;
  std::chrono::milliseconds announce_interval{1000};
  std::chrono::milliseconds max_announce_interval{10'000};
  /// Time for which the state of an entry without a session is kept.
  std::chrono::seconds state_retention{60};
  /// Time after which a planned stop aborts the tasks that still run and reports them as failed.
  std::chrono::milliseconds drain_limit{60'000};
  upstream_settings upstream;
  logging_settings logging;
  trace_settings traces;
};

} // namespace parsleylead

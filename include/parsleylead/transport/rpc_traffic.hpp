#pragma once

#include <cstdint>

namespace parsleylead {

/// Bytes transferred by all RPC connections of this process since it started.
struct rpc_traffic {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

/// Thread-safe.
rpc_traffic total_rpc_traffic();

} // namespace parsleylead

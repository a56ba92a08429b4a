#pragma once

#include <cstddef>
#include <cstdint>

#include "parsleylead/web/web_server.hpp"

namespace parsleylead {

/// What the host grants a process.
struct process_limits {
  std::uint64_t memory_mb = 0;
  std::size_t max_descriptors = 0;
};

/// What a server of a process is for.
enum class server_role : std::uint8_t { callers, readiness, metrics, announcements };

/// Returns the memory that the connections of all servers of a process may hold together.
/// Thread-safe.
std::size_t connection_memory_bytes(const process_limits& limits);

/// Returns the limits of one server of a process. Thread-safe.
web_server_limits limits_of_server(const process_limits& limits, server_role role);

} // namespace parsleylead

#include "parsleylead/web/process_limits.hpp"

#include <algorithm>

namespace parsleylead {
namespace {

// The rest of the memory is for the program itself (13 MB with 600 connections), jobs, links, and
// what the allocator keeps of released memory.
constexpr std::uint64_t connections_share = 4;
constexpr std::size_t file_descriptors = 200;
// Links to 96 agents and other entries, forwarded requests, the store, readiness and metrics.
constexpr std::size_t max_reserved_descriptors = 300;
constexpr std::size_t min_caller_connections = 16;
// One load balancer and one reader of the metrics use a few connections each.
constexpr std::size_t max_service_connections = 32;
// A worker announces itself on one connection at a time.
constexpr std::size_t max_announcement_connections = 128;

} // namespace

std::size_t connection_memory_bytes(const process_limits& process) {
  constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
  return process.memory_mb * bytes_per_mb / connections_share;
}

web_server_limits limits_of_server(const process_limits& process, server_role role) {
  const auto available =
      process.max_descriptors - std::min(process.max_descriptors, file_descriptors);
  const auto connections = std::max(available - std::min(max_reserved_descriptors, available / 2),
                                    min_caller_connections);
  web_server_limits limits;
  switch (role) {
  case server_role::callers:
    limits.max_connections = connections;
    break;
  case server_role::announcements:
    limits.max_connections = std::min(connections, max_announcement_connections);
    break;
  case server_role::readiness:
  case server_role::metrics:
    limits.max_connections = std::min(connections, max_service_connections);
    break;
  }
  return limits;
}

} // namespace parsleylead

#pragma once

#include <asio/io_context.hpp>
#include <memory>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/settings/agent_settings.hpp"

namespace parsleylead {

/// How `agent_process::run` ended.
enum class agent_exit : std::uint8_t {
  /// All running tasks ended and all outcomes were delivered.
  drained,
  /// Running tasks were ended early; their outcomes were reported.
  abandoned_tasks,
};

/// The agent beside one upstream: listens for the upstream's announcements, serves entries over
/// RPC and calls the upstream. Construct, `start` and `run` it on one thread, which becomes its
/// control thread.
///
/// Example:
///   agent_process agent(settings);
///   if (agent.start().ok()) {
///     agent.run();  // until request_stop()
///   }
class agent_process {
public:
  explicit agent_process(agent_settings settings);
  ~agent_process();
  agent_process(const agent_process&) = delete;
  agent_process& operator=(const agent_process&) = delete;

  /// Listens at the three addresses of the settings. Errors: kUnavailable with the address as peer,
  /// for example if a port is in use.
  absl::Status start();

  /// Serves until a requested stop is complete. Precondition: `start` succeeded.
  agent_exit run();

  /// Begins a graceful shutdown: no new starts, running tasks finish, outcomes are delivered until
  /// acknowledged. A second request ends running tasks at once. Thread-safe.
  void request_stop();

  /// Addresses in use, for settings with port 0. Precondition: `start` succeeded.
  endpoint rpc_endpoint() const;
  endpoint operations_endpoint() const;
  endpoint announce_endpoint() const;

  /// For signal handlers of the binary.
  asio::io_context& io();

private:
  class impl;
  std::unique_ptr<impl> impl_;
};

} // namespace parsleylead

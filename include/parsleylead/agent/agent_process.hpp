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
  /// Running tasks were aborted and reported as failed.
  abandoned_tasks,
};

/// The agent of one upstream: accepts the upstream's announcements over HTTP, serves entries over
/// RPC and forwards their tasks to the upstream. Construct, `start` and `run` it on the same
/// thread, which becomes its control thread.
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

  /// Opens the RPC, operations and announcement listeners. Errors: kUnavailable with the address as
  /// peer, for example if a port is in use.
  absl::Status start();

  /// Blocks until a requested shutdown is complete. Precondition: `start` succeeded.
  agent_exit run();

  /// Begins a graceful shutdown: no task starts any more, running tasks finish and their outcomes
  /// are resent until acknowledged. A second request aborts the running tasks. Thread-safe.
  void request_stop();

  /// Bound addresses, with the actual port if the settings have port 0. Precondition: `start`
  /// succeeded.
  endpoint rpc_endpoint() const;
  endpoint operations_endpoint() const;
  endpoint announce_endpoint() const;

  /// The event loop of the control thread, for the signal handlers of the executable.
  asio::io_context& io();

private:
  class impl;
  std::unique_ptr<impl> impl_;
};

} // namespace parsleylead

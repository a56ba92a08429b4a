#pragma once

#include <asio/io_context.hpp>
#include <memory>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/platform_log/log_service.hpp"
#include "parsleylead/settings/entry_settings.hpp"

namespace parsleylead {

/// The parsleylead-entry process: serves callers, other entries, agents and operators.
///
/// Example:
///   entry_process process(settings, log);
///   if (const auto status = process.start(); status.ok()) {
///     process.run();  // until request_stop or a drain set in the catalogue
///   }
class entry_process {
public:
  /// `log` must outlive the process.
  entry_process(const entry_settings& settings, log_service& log);
  ~entry_process();
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  /// Binds all ports and starts the threads. Errors: kUnavailable with the address as peer.
  /// Precondition: called on the thread that constructed the process.
  absl::Status start();

  /// Runs the control loop until the process has stopped. Same thread as `start`.
  void run();

  /// The first call starts a graceful shutdown in which open jobs finish. The second call stops at
  /// once; open jobs are answered with a failure that says whether they may have run. Thread-safe.
  void request_stop();

  /// For the signal handlers of the binary.
  asio::io_context& io();

  /// Bound addresses. Precondition: `start` succeeded.
  endpoint caller_endpoint() const;
  endpoint operations_endpoint() const;
  endpoint rpc_endpoint() const;

private:
  class impl;
  std::unique_ptr<impl> impl_;
};

} // namespace parsleylead

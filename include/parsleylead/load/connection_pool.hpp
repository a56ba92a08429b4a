#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/tool/http_client.hpp"

namespace parsleylead {

/// Keep-alive connections to one server. An idle connection occupies a server thread, so the pool
/// keeps at most `max_idle` of them, for at most `max_idle_time`. Thread-safe.
class connection_pool {
public:
  connection_pool(endpoint server, http_timeouts timeouts)
      : server_(std::move(server)), timeouts_(timeouts) {}

  /// As `http_client::send`, on an idle connection or a new one.
  absl::StatusOr<http_response> send(const http_request& request);

private:
  static constexpr std::size_t max_idle = 16;
  /// Shorter than the server's keep-alive time, so that no request is sent on a connection that the
  /// server is closing.
  static constexpr std::chrono::milliseconds max_idle_time{1000};

  struct idle_connection {
    http_client client;
    monotonic_time idle_since;
  };

  http_client acquire();
  void release(http_client client);

  endpoint server_;
  http_timeouts timeouts_;
  std::mutex mutex_;
  std::vector<idle_connection> idle_;
};

} // namespace parsleylead

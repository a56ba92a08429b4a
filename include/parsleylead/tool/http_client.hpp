#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

struct http_request {
  std::string method = "GET";
  std::string path;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

struct http_response {
  int status = 0;
  std::string body;
};

struct http_timeouts {
  std::chrono::milliseconds connect{2000};
  std::chrono::milliseconds read{10'000};
};

/// A persistent HTTP connection of a command-line tool to a server; bodies are JSON. Blocking, one
/// call at a time.
class http_client {
public:
  explicit http_client(const endpoint& server, http_timeouts timeouts = {});
  ~http_client();
  http_client(http_client&&) noexcept;
  http_client& operator=(http_client&&) noexcept;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request without retries. Errors, with the server as peer: kUnavailable if no
  /// connection was made, so that nothing was sent; kAborted if no reply arrived, so that the
  /// request may have taken effect.
  absl::StatusOr<http_response> send(const http_request& request);

private:
  class state;
  std::unique_ptr<state> state_;
};

} // namespace parsleylead

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

struct http_request {
  std::string method;
  std::string path;
  std::string body;
};

struct http_reply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
};

/// An HTTP server in threads of its own. A request without a complete body never reaches the
/// handler.
class http_listener {
public:
  using handler = std::function<http_reply(const http_request&)>;

  /// `handle` is called on the listener's threads.
  http_listener(std::size_t threads, std::size_t max_body_bytes, handler handle);
  ~http_listener();
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;

  /// Listens at `address`; port 0 takes a free one. Errors: kUnavailable with the address as peer.
  absl::Status listen(const endpoint& address);

  /// The address in use. Precondition: `listen` succeeded.
  endpoint local_endpoint() const;

  /// Closes the listener and waits for the requests in progress.
  void stop();

private:
  class impl;
  std::unique_ptr<impl> impl_;
};

} // namespace parsleylead

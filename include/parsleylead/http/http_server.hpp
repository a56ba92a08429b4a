#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

/// A request as passed to a handler.
struct http_request {
  std::string method;
  std::string path;
  std::string body;
  /// "ip:port" of the client.
  std::string peer;
  /// Capture groups of the route's pattern.
  std::vector<std::string> captures;
  std::multimap<std::string, std::string> query;
  std::string traceparent;
};

/// The response returned by a handler.
struct http_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
};

/// Limits of an HTTP server.
struct http_server_options {
  /// Each open connection occupies one thread, also between requests.
  std::size_t max_threads = 64;
  std::size_t max_body_bytes = 1024UL * 1024;
  std::chrono::milliseconds keep_alive{5000};
};

/// A small HTTP/1.1 server over cpp-httplib. Handlers run on pool threads and may block.
class http_server {
public:
  using handler = std::function<http_response(const http_request&)>;

  explicit http_server(const http_server_options& options);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Adds a handler; `pattern` is a regular expression that must match the whole path.
  /// Precondition: not started.
  void route(const std::string& method, const std::string& pattern, handler handle);

  /// Listens and serves on background threads; port 0 selects a free port. Errors: kUnavailable
  /// with the address as peer, for example if the port is in use.
  absl::Status start(const endpoint& address);

  /// The bound address. Precondition: `start` succeeded.
  endpoint local_endpoint() const { return local_; }

  /// While `closing` is set, every response tells the client to close its connection. Thread-safe.
  void set_closing(bool closing);

  /// Stops accepting, waits for running handlers and joins all threads. Thread-safe.
  void stop();

private:
  class state;
  std::unique_ptr<state> state_;
  endpoint local_;
};

} // namespace parsleylead

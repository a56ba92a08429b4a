#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/web/web_message.hpp"

namespace parsleylead {

/// Calls one HTTP/1.1 server over persistent connections, one call at a time on each. Used on the
/// loop's thread only.
class web_client {
public:
  using callback = std::function<void(absl::StatusOr<web_response>)>;

  /// At most `max_connections` calls run at a time; further calls are queued.
  web_client(asio::io_context& io, endpoint server, std::size_t max_connections);
  ~web_client();
  web_client(const web_client&) = delete;
  web_client& operator=(const web_client&) = delete;

  /// Sends a request. `done` is called exactly once, unless the client is destroyed first. Errors:
  /// kUnavailable if the request was not sent; kDeadlineExceeded after `timeout`, which includes
  /// the time in the queue; kAborted if the connection failed before the whole request was written;
  /// kUnknown if it failed after that without a complete response. After the last three the server
  /// may have carried out the call: a server that stopped sending may still read.
  void call(web_request request, std::chrono::milliseconds timeout, callback done);

private:
  class state;
  class connection;
  std::shared_ptr<state> state_;
};

} // namespace parsleylead

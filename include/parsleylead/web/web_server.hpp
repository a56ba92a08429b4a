#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/web/memory_budget.hpp"
#include "parsleylead/web/web_message.hpp"

namespace parsleylead {

/// A received request and the means to respond to it. Used on the loop's thread only.
class web_exchange {
public:
  virtual ~web_exchange() = default;

  virtual const web_request& request() const = 0;

  /// Sends the response. Only the first call has an effect.
  virtual void respond(web_response response) = 0;

  /// Sends the response instead of that of the work which was begun for the request: the handler of
  /// `on_abandoned` is called to end that work. The connection is closed then, so that a late
  /// response of that work cannot be taken for that of another request. Has no effect after
  /// `respond`.
  virtual void reject(web_response response) = 0;

  /// A job was accepted for the request, which is not shed any more. Releases the header fields and
  /// the body, and keeps only the part of the target that log lines show. `held_bytes` is the
  /// memory that the work holds in their place until the exchange is destroyed.
  virtual void accept(std::size_t held_bytes = 0) = 0;

  /// Closes the connection without a response.
  virtual void abort() = 0;

  /// `handler` is called once if the client closes the connection before the response is sent, or
  /// if the request is rejected.
  virtual void on_abandoned(std::function<void()> handler) = 0;
};

/// Limits of a server. Sizes are in bytes.
struct web_server_limits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{256} * 1024;
  std::size_t max_connections = 3000;
  /// A persistent connection without a request is closed after this time.
  std::chrono::milliseconds idle_timeout{60'000};
  /// A request must be complete within this time of its first byte.
  std::chrono::milliseconds receive_timeout{3'000};
  std::size_t max_header_fields = 100;
  /// A response must be read within this time.
  std::chrono::milliseconds response_timeout{10'000};
};

/// An HTTP/1.1 server on an Asio loop, without a thread per connection or request. Each connection
/// serves one request at a time. Used on the loop's thread only.
class web_server {
public:
  using handler = std::function<void(std::shared_ptr<web_exchange>)>;

  /// `budget` is shared by the servers of a process; without one, the server has its own. Over the
  /// budget, and at `max_connections`, connections are closed in the order of `shed_order`; those
  /// whose incomplete request is shed get a 503.
  web_server(asio::io_context& io, web_server_limits limits, handler on_request,
             std::shared_ptr<memory_budget> budget = nullptr);
  ~web_server();
  web_server(const web_server&) = delete;
  web_server& operator=(const web_server&) = delete;

  /// Listens at the address; may be called for several addresses. Errors: kUnavailable.
  absl::Status listen(const endpoint& address);

  /// Closes each connection after its next response. Idle connections stay open until then, because
  /// a request may be on its way. New connections are still accepted, so that a client that was
  /// already directed here gets an answer.
  void close_after_response();

  /// Closes the listening sockets, so that new connections are refused and can be opened elsewhere.
  /// Open connections are not affected.
  void stop_listening();

  /// Closes the connections on which no request is in progress. Returns whether none is left.
  bool close_idle_connections();

  /// Rejects all requests that have no response yet.
  void reject_open_requests(const web_response& response);

  /// Number of open connections.
  std::size_t connections() const;

  /// Number of connections on which a request has been received in part, including bytes that have
  /// not been read from the socket, or whose response has not been written completely.
  std::size_t open_requests() const;

private:
  class state;
  class connection;
  std::shared_ptr<state> state_;
};

} // namespace parsleylead

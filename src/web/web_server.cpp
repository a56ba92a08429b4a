#include "parsleylead/web/web_server.hpp"

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <unordered_set>
#include <vector>

#include "message_parser.hpp"
#include "parsleylead/link/open_acceptor.hpp"
#include "write_message.hpp"

namespace parsleylead {
namespace {

using asio::ip::tcp;

constexpr std::size_t read_chunk_bytes = std::size_t{8} * 1024;
// Limit of pipelined data buffered while a request is in progress.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;
// Interval of the checks for idle and receive time-outs.
constexpr std::chrono::milliseconds timeout_check_interval{1'000};
// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
constexpr std::chrono::milliseconds accept_retry_delay{50};

web_response error_response(int status, std::string_view message) {
  return {status, {}, std::string(R"({"error":")") + std::string(message) + "\"}"};
}

} // namespace

class web_server::state : public std::enable_shared_from_this<web_server::state> {
public:
  state(asio::io_context& loop, web_server_limits server_limits, handler callback)
      : io(loop), limits(server_limits), on_request(std::move(callback)), timeout_timer(loop) {}

  absl::Status listen(const endpoint& address);
  void accept(tcp::acceptor& acceptor);
  void add_connection(tcp::socket socket);
  void close_timed_out_connections();
  void reject_open_requests(const web_response& response);
  void stop_listening();
  void stop();

  asio::io_context& io;
  web_server_limits limits;
  handler on_request;
  asio::steady_timer timeout_timer;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
  std::unordered_set<std::shared_ptr<connection>> connections;
  bool closing = false;
  bool listening = true;
  bool stopped = false;
};

class web_server::connection : public web_exchange,
                               public std::enable_shared_from_this<web_server::connection> {
public:
  connection(std::shared_ptr<state> server, tcp::socket socket)
      : server_(std::move(server)), socket_(std::move(socket)),
        parser_(HTTP_REQUEST, server_->limits.max_header_bytes, server_->limits.max_body_bytes) {}

  void read() {
    if (reading_ || closed_ || receive_buffer_.size() > max_pipelined_bytes) {
      return;
    }
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(read_chunk_),
        [self = shared_from_this()](const asio::error_code& error, std::size_t count) {
          self->reading_ = false;
          self->received(error, count);
        });
  }

  const web_request& request() const override { return request_; }

  void respond(web_response response) override {
    if (!busy_ || responded_ || closed_) {
      return;
    }
    responded_ = true;
    on_abandoned_ = nullptr;
    keep_alive_ = keep_alive_ && !server_->closing;
    send_buffer_ = write_response(response, keep_alive_);
    asio::async_write(socket_, asio::buffer(send_buffer_),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                        self->sent(error);
                      });
  }

  void reject(web_response response) override {
    if (!busy_ || responded_ || closed_) {
      return;
    }
    if (const auto abandoned = std::exchange(on_abandoned_, nullptr)) {
      abandoned();
    }
    keep_alive_ = false;
    respond(std::move(response));
  }

  void abort() override { close(); }

  void on_abandoned(std::function<void()> handler) override { on_abandoned_ = std::move(handler); }

  void close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    asio::error_code ignored; // The connection is discarded in either case.
    socket_.close(ignored);
    auto abandoned = std::exchange(on_abandoned_, nullptr);
    if (busy_ && !responded_ && abandoned) {
      abandoned();
    }
    server_->connections.erase(shared_from_this());
  }

  bool timed_out(std::chrono::steady_clock::time_point now) const {
    if (busy_) {
      return false;
    }
    const bool receiving = parser_.started() || !receive_buffer_.empty();
    const auto limit = receiving ? server_->limits.receive_timeout : server_->limits.idle_timeout;
    return now - last_activity_ > limit;
  }

  /// Returns whether no request is in progress, including one that the kernel has received but that
  /// has not been read.
  bool idle() const {
    asio::error_code error;
    return !busy_ && !parser_.started() && receive_buffer_.empty() &&
           (socket_.available(error) == 0 || error);
  }

private:
  void received(const asio::error_code& error, std::size_t count) {
    if (error) {
      close();
      return;
    }
    if (!parser_.started()) {
      last_activity_ = std::chrono::steady_clock::now();
    }
    receive_buffer_.append(read_chunk_.data(), count);
    if (!busy_) {
      parse();
    }
    read();
  }

  void parse() {
    const auto result = parser_.feed(receive_buffer_);
    if (result == message_parser::result::incomplete || closed_) {
      return;
    }
    busy_ = true;
    responded_ = false;
    keep_alive_ = parser_.keep_alive();
    if (result != message_parser::result::complete) {
      keep_alive_ = false;
      const bool large = result == message_parser::result::too_large;
      respond(error_response(large ? 413 : 400, large ? "request too large" : "malformed request"));
      return;
    }
    request_.method = std::move(parser_.method);
    request_.target = std::move(parser_.target);
    request_.headers = std::move(parser_.headers);
    request_.body = std::move(parser_.body);
    parser_.reset();
    server_->on_request(shared_from_this());
  }

  void sent(const asio::error_code& error) {
    busy_ = false;
    last_activity_ = std::chrono::steady_clock::now();
    if (error || !keep_alive_) {
      if (!error) {
        asio::error_code ignored; // Fails only if the peer has already disconnected.
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
      }
      close();
      return;
    }
    if (!receive_buffer_.empty()) {
      parse();
    }
    read();
  }

  std::shared_ptr<state> server_;
  tcp::socket socket_;
  message_parser parser_;
  std::array<char, read_chunk_bytes> read_chunk_{};
  std::string receive_buffer_;
  std::string send_buffer_;
  web_request request_;
  std::function<void()> on_abandoned_;
  std::chrono::steady_clock::time_point last_activity_ = std::chrono::steady_clock::now();
  bool reading_ = false;
  bool busy_ = false;
  bool responded_ = false;
  bool keep_alive_ = false;
  bool closed_ = false;
};

absl::Status web_server::state::listen(const endpoint& address) {
  auto acceptor = std::make_unique<tcp::acceptor>(io);
  if (auto status = open_acceptor(*acceptor, address); !status.ok()) {
    return status;
  }
  acceptors.push_back(std::move(acceptor));
  accept(*acceptors.back());
  if (acceptors.size() == 1) {
    close_timed_out_connections();
  }
  return absl::OkStatus();
}

void web_server::state::accept(tcp::acceptor& acceptor) {
  acceptor.async_accept(
      [self = shared_from_this(), &acceptor](const asio::error_code& error, tcp::socket socket) {
        // A connection that was accepted just before the socket closed is served like the others.
        if (!error && !self->stopped) {
          self->add_connection(std::move(socket));
        }
        if (!self->listening) {
          return;
        }
        if (error) {
          auto timer = std::make_shared<asio::steady_timer>(self->io, accept_retry_delay);
          timer->async_wait([self, &acceptor, timer](const asio::error_code&) {
            if (self->listening) {
              self->accept(acceptor);
            }
          });
          return;
        }
        self->accept(acceptor);
      });
}

void web_server::state::add_connection(tcp::socket socket) {
  if (connections.size() >= limits.max_connections) {
    return;
  }
  asio::error_code ignored; // Failure only costs latency.
  socket.set_option(tcp::no_delay(true), ignored);
  auto accepted = std::make_shared<connection>(shared_from_this(), std::move(socket));
  connections.insert(accepted);
  accepted->read();
}

void web_server::state::close_timed_out_connections() {
  timeout_timer.expires_after(timeout_check_interval);
  timeout_timer.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (error || self->stopped) {
      return;
    }
    const auto now = std::chrono::steady_clock::now();
    const std::vector<std::shared_ptr<connection>> open_connections(self->connections.begin(),
                                                                    self->connections.end());
    for (const auto& open_connection : open_connections) {
      if (open_connection->timed_out(now)) {
        open_connection->close();
      }
    }
    self->close_timed_out_connections();
  });
}

void web_server::state::reject_open_requests(const web_response& response) {
  const std::vector<std::shared_ptr<connection>> open_connections(connections.begin(),
                                                                  connections.end());
  for (const auto& open_connection : open_connections) {
    open_connection->reject(response);
  }
}

void web_server::state::stop_listening() {
  if (!std::exchange(listening, false)) {
    return;
  }
  for (auto& acceptor : acceptors) {
    // Closing the socket resets the connections that wait to be accepted, whose clients may have
    // sent their requests.
    asio::error_code error;
    acceptor->non_blocking(true, error);
    while (!error && !stopped) {
      auto socket = acceptor->accept(error);
      if (!error) {
        add_connection(std::move(socket));
      }
    }
    acceptor->close(error);
  }
}

void web_server::state::stop() {
  stopped = true;
  stop_listening();
  timeout_timer.cancel();
  const std::vector<std::shared_ptr<connection>> open_connections(connections.begin(),
                                                                  connections.end());
  for (const auto& open_connection : open_connections) {
    open_connection->close();
  }
}

web_server::web_server(asio::io_context& io, web_server_limits limits, handler on_request)
    : state_(std::make_shared<state>(io, limits, std::move(on_request))) {}

web_server::~web_server() {
  state_->stop();
}

absl::Status web_server::listen(const endpoint& address) {
  return state_->listen(address);
}

void web_server::close_after_response() {
  state_->closing = true;
}

void web_server::stop_listening() {
  state_->stop_listening();
}

bool web_server::close_idle_connections() {
  const std::vector<std::shared_ptr<connection>> open_connections(state_->connections.begin(),
                                                                  state_->connections.end());
  for (const auto& open_connection : open_connections) {
    if (open_connection->idle()) {
      open_connection->close();
    }
  }
  return state_->connections.empty();
}

void web_server::reject_open_requests(const web_response& response) {
  state_->reject_open_requests(response);
}

std::size_t web_server::connections() const {
  return state_->connections.size();
}

std::size_t web_server::open_requests() const {
  return static_cast<std::size_t>(std::count_if(state_->connections.begin(),
                                                state_->connections.end(),
                                                [](const auto& each) { return !each->idle(); }));
}

} // namespace parsleylead

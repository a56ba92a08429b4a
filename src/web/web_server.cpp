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
#include "release_memory.hpp"
#include "write_message.hpp"

namespace parsleylead {
namespace {

using asio::ip::tcp;

constexpr std::size_t read_chunk_bytes = std::size_t{8} * 1024;
// Limit of pipelined data buffered while a request is in progress.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;
// A buffer that is larger than this is released when it is empty.
constexpr std::size_t max_kept_buffer_bytes = std::size_t{1} * 1024;
// Data of a request over its limits that is discarded after the response. A connection that is
// closed with unread data is reset, which may discard the response at the client.
constexpr std::size_t max_discarded_bytes = std::size_t{4} * 1024 * 1024;
// Interval of the checks for time-outs.
constexpr std::chrono::milliseconds timeout_check_interval{1'000};
// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
constexpr std::chrono::milliseconds accept_retry_delay{50};
// Response to a shed request for which nothing has been begun.
constexpr std::string_view shed_response =
    "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\n"
    "connection: close\r\n\r\n";

web_response error_response(int status, std::string_view message) {
  return {status, {}, std::string(R"({"error":")") + std::string(message) + "\"}"};
}

web_response response_to(message_parser::result result) {
  switch (result) {
  case message_parser::result::too_large:
    return error_response(413, "request too large");
  case message_parser::result::too_many_fields:
    return error_response(431, "too many header fields");
  default:
    return error_response(400, "malformed request");
  }
}

} // namespace

class web_server::state : public std::enable_shared_from_this<web_server::state> {
public:
  state(asio::io_context& loop, web_server_limits server_limits, handler callback,
        std::shared_ptr<memory_budget> shared_budget)
      : io(loop), limits(server_limits), on_request(std::move(callback)),
        budget(shared_budget ? std::move(shared_budget) : std::make_shared<memory_budget>()),
        budget_server(budget->add_server(limits.max_connections)), timeout_timer(loop) {}

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
  std::shared_ptr<memory_budget> budget;
  memory_budget::server_id budget_server;
  asio::steady_timer timeout_timer;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
  std::unordered_set<std::shared_ptr<connection>> connections;
  /// Received bytes, until they are appended to the buffer of their connection.
  std::array<char, read_chunk_bytes> read_chunk{};
  bool closing = false;
  bool listening = true;
  bool stopped = false;
};

class web_server::connection : public web_exchange,
                               public std::enable_shared_from_this<web_server::connection> {
public:
  connection(std::shared_ptr<state> server, tcp::socket socket)
      : server_(std::move(server)), socket_(std::move(socket)),
        parser_(HTTP_REQUEST, server_->limits.max_header_bytes, server_->limits.max_body_bytes,
                server_->limits.max_header_fields) {}

  ~connection() override { server_->budget->remove(id_); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Returns whether the connection was admitted.
  bool start() {
    const auto id = server_->budget->admit(
        server_->budget_server,
        [weak = weak_from_this()](shed_reason reason) {
          if (const auto self = weak.lock()) {
            self->shed(reason);
          }
        },
        std::chrono::steady_clock::now());
    if (!id) {
      return false;
    }
    id_ = *id;
    asio::error_code ignored; // Failure only costs latency.
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    update_budget();
    read();
    return true;
  }

  void read() {
    if (reading_ || closed_ || !may_read()) {
      return;
    }
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const asio::error_code& error) {
                         self->reading_ = false;
                         self->readable(error);
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
    response_began_ = std::chrono::steady_clock::now();
    release_request();
    update_budget();
    if (closed_) {
      return;
    }
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

  void accept(std::size_t held_bytes) override {
    if (responded_) {
      return; // The job was refused at once.
    }
    accepted_ = true;
    work_bytes_ = held_bytes;
    std::string(logged_target(request_)).swap(request_.target);
    release_request();
    update_budget();
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
    parser_.reset();
    release_memory(receive_buffer_);
    server_->budget->close(id_);
    update_budget();
    server_->connections.erase(shared_from_this());
  }

  /// Closes the connection to free what it holds.
  void shed(shed_reason /*reason*/) {
    if (!busy_ && receiving() && !discarding_) {
      asio::error_code ignored; // The client may have disconnected, or not read earlier responses.
      socket_.write_some(asio::buffer(shed_response), ignored);
    }
    close();
    release_request();
    update_budget();
  }

  bool timed_out(std::chrono::steady_clock::time_point now) const {
    if (busy_) {
      return false;
    }
    const auto limit = receiving() ? server_->limits.receive_timeout : server_->limits.idle_timeout;
    return now - last_activity_ > limit;
  }

  /// Closes the connection if the client has not read the response in time.
  void close_if_unread(std::chrono::steady_clock::time_point now) {
    if (responded_ && busy_ && now - response_began_ > server_->limits.response_timeout) {
      server_->budget->shed(id_, shed_reason::unread_response);
    }
  }

  /// Returns whether no request is in progress, including one that the kernel has received but that
  /// has not been read.
  bool idle() const {
    asio::error_code error;
    return !busy_ && !parser_.started() && receive_buffer_.empty() &&
           (socket_.available(error) == 0 || error);
  }

private:
  bool receiving() const { return parser_.started() || !receive_buffer_.empty() || discarding_; }

  /// While a request is in progress, the connection is read to notice that the client disconnects.
  bool may_read() const {
    if (!busy_) {
      return true;
    }
    return !discarding_ && receive_buffer_.size() <= max_pipelined_bytes &&
           (receive_buffer_.empty() || !server_->budget->under_pressure());
  }

  request_phase phase() const {
    if (accepted_) {
      return request_phase::accepted;
    }
    if (busy_) {
      return request_phase::complete;
    }
    return receiving() ? request_phase::incomplete : request_phase::idle;
  }

  /// Reports what the connection holds. May close the connection.
  void update_budget() {
    const auto bytes = sizeof(connection) + receive_buffer_.capacity() + parser_.held_bytes() +
                       request_bytes_ + send_buffer_.capacity() + work_bytes_;
    server_->budget->update(id_, phase(), bytes, std::chrono::steady_clock::now());
  }

  /// Releases what is not needed once the request has been handled.
  void release_request() {
    release_memory(request_.headers);
    release_memory(request_.body);
    request_bytes_ = request_.target.capacity();
  }

  void readable(const asio::error_code& wait_error) {
    if (wait_error || closed_) {
      close();
      return;
    }
    asio::error_code error;
    const auto count = socket_.read_some(asio::buffer(server_->read_chunk), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      read();
    } else if (error) {
      close();
    } else if (discarding_) {
      discard(count);
    } else {
      received(count);
    }
  }

  void discard(std::size_t count) {
    discarded_bytes_ += count;
    if (discarded_bytes_ > max_discarded_bytes) {
      close();
    } else {
      read();
    }
  }

  void received(std::size_t count) {
    if (!parser_.started()) {
      last_activity_ = std::chrono::steady_clock::now();
    }
    receive_buffer_.append(server_->read_chunk.data(), count);
    update_budget(); // Before a request is handled, so that it is refused if no memory is left.
    if (!busy_ && !closed_) {
      parse();
    }
    read();
  }

  void parse() {
    const auto result = parser_.feed(receive_buffer_);
    if (receive_buffer_.empty() && receive_buffer_.capacity() > max_kept_buffer_bytes) {
      release_memory(receive_buffer_);
    }
    if (result == message_parser::result::incomplete) {
      update_budget();
      return;
    }
    busy_ = true;
    responded_ = false;
    keep_alive_ = parser_.keep_alive();
    if (result != message_parser::result::complete) {
      keep_alive_ = false;
      discarding_ = true;
      parser_.reset();
      release_memory(receive_buffer_);
      respond(response_to(result));
      return;
    }
    request_bytes_ = parser_.held_bytes();
    request_.method = std::move(parser_.method);
    request_.target = std::move(parser_.target);
    request_.headers = std::move(parser_.headers);
    request_.body = std::move(parser_.body);
    parser_.reset();
    update_budget();
    if (!closed_) {
      server_->on_request(shared_from_this());
    }
  }

  void sent(const asio::error_code& error) {
    if (closed_) {
      return;
    }
    busy_ = false;
    accepted_ = false;
    work_bytes_ = 0;
    release_memory(send_buffer_);
    last_activity_ = std::chrono::steady_clock::now();
    if (error || !keep_alive_) {
      finish(error);
      return;
    }
    if (!receive_buffer_.empty()) {
      parse();
    } else {
      update_budget();
    }
    read();
  }

  /// Ends the connection after its last response.
  void finish(const asio::error_code& error) {
    if (!error) {
      asio::error_code ignored; // Fails only if the peer has already disconnected.
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
    if (error || !discarding_) {
      close();
      return;
    }
    update_budget();
    read();
  }

  std::shared_ptr<state> server_;
  tcp::socket socket_;
  message_parser parser_;
  std::string receive_buffer_;
  std::string send_buffer_;
  web_request request_;
  std::function<void()> on_abandoned_;
  std::chrono::steady_clock::time_point last_activity_ = std::chrono::steady_clock::now();
  std::chrono::steady_clock::time_point response_began_;
  connection_id id_ = 0;
  /// Memory of the received request.
  std::size_t request_bytes_ = 0;
  /// Memory of the work that was begun for an accepted request.
  std::size_t work_bytes_ = 0;
  std::size_t discarded_bytes_ = 0;
  /// The request was over its limits: what the client still sends is discarded.
  bool discarding_ = false;
  /// A job was accepted for the request in progress.
  bool accepted_ = false;
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
  auto accepted = std::make_shared<connection>(shared_from_this(), std::move(socket));
  connections.insert(accepted);
  if (!accepted->start()) {
    connections.erase(accepted);
  }
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
      open_connection->close_if_unread(now);
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

web_server::web_server(asio::io_context& io, web_server_limits limits, handler on_request,
                       std::shared_ptr<memory_budget> budget)
    : state_(std::make_shared<state>(io, limits, std::move(on_request), std::move(budget))) {}

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

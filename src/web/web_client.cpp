#include "parsleylead/web/web_client.hpp"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cerrno>
#include <deque>
#include <sys/socket.h>
#include <utility>
#include <vector>

#include "message_parser.hpp"
#include "write_message.hpp"

namespace parsleylead {
namespace {

using asio::ip::tcp;
using std::chrono::steady_clock;

constexpr std::size_t read_chunk_bytes = std::size_t{32} * 1024;
constexpr std::size_t max_header_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;

struct pending_call {
  web_request request;
  steady_clock::time_point deadline;
  web_client::callback done;
};

} // namespace

class web_client::state : public std::enable_shared_from_this<web_client::state> {
public:
  state(asio::io_context& loop, endpoint address, std::size_t connection_limit)
      : io(loop), server(std::move(address)), authority(to_string(server)),
        max_connections(connection_limit) {}

  void call(pending_call pending);
  void release(const std::shared_ptr<connection>& released, bool reusable);
  void stop();

  asio::io_context& io;
  endpoint server;
  std::string authority;
  std::size_t max_connections;
  std::vector<std::shared_ptr<connection>> idle;
  std::vector<std::shared_ptr<connection>> busy;
  std::deque<pending_call> waiting;
  bool stopped = false;
};

class web_client::connection : public std::enable_shared_from_this<web_client::connection> {
public:
  explicit connection(std::shared_ptr<state> client)
      : client_(std::move(client)), socket_(client_->io), timer_(client_->io),
        parser_(HTTP_RESPONSE, max_header_bytes, max_body_bytes) {}

  void run(pending_call pending) {
    call_ = std::move(pending);
    call_active_ = true;
    written_ = false;
    send_buffer_ = write_request(call_.request, client_->authority);
    parser_.reset();
    receive_buffer_.clear();
    timer_.expires_at(call_.deadline);
    timer_.async_wait(
        [self = shared_from_this(), call_number = ++call_number_](const asio::error_code& error) {
          if (!error && call_number == self->call_number_ && self->call_active_) {
            self->finish(absl::DeadlineExceededError("no response before the deadline from " +
                                                     self->client_->authority),
                         false);
          }
        });
    if (connected_) {
      write();
    } else {
      connect();
    }
  }

  void close() {
    connected_ = false;
    timer_.cancel();
    asio::error_code ignored; // The connection is discarded in either case.
    socket_.close(ignored);
  }

  /// Also called on idle connections, to detect a close by the server before the next call.
  void read() {
    if (reading_) {
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

  /// Returns false if the server has closed the connection, even if the loop has not reported it
  /// yet: a request sent on such a connection would get no response.
  bool usable() {
    if (!connected_) {
      return false;
    }
    char byte = 0;
    const auto count = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

private:
  void connect() {
    asio::error_code error;
    const auto address = asio::ip::make_address(client_->server.ip, error);
    if (error) {
      finish(absl::UnavailableError("not an IP address: " + client_->server.ip), false);
      return;
    }
    socket_.async_connect({address, client_->server.port},
                          [self = shared_from_this()](const asio::error_code& connect_error) {
                            if (!self->call_active_) {
                              return;
                            }
                            if (connect_error) {
                              self->finish(absl::UnavailableError("cannot connect to " +
                                                                  self->client_->authority + ": " +
                                                                  connect_error.message()),
                                           false);
                              return;
                            }
                            self->connected_ = true;
                            asio::error_code ignored; // Failure only costs latency.
                            self->socket_.set_option(tcp::no_delay(true), ignored);
                            self->write();
                          });
  }

  void write() {
    asio::async_write(socket_, asio::buffer(send_buffer_),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                        self->written_ = !error;
                        if (error && self->call_active_) {
                          self->finish(
                              absl::AbortedError("connection to " + self->client_->authority +
                                                 " failed while writing: " + error.message()),
                              false);
                        }
                      });
    read();
  }

  void received(const asio::error_code& error, std::size_t count) {
    if (!call_active_) {
      // The server closed the connection or sent unsolicited data, so it cannot be reused.
      close();
      return;
    }
    auto result = message_parser::result::malformed;
    if (!error) {
      receive_buffer_.append(read_chunk_.data(), count);
      result = parser_.feed(receive_buffer_);
    } else if (error == asio::error::eof && parser_.started()) {
      result = parser_.feed_eof();
    }
    if (result == message_parser::result::incomplete) {
      read();
      return;
    }
    if (result != message_parser::result::complete) {
      const auto message = "connection to " + client_->authority + " failed while reading: " +
                           (error ? error.message() : "malformed response");
      finish(written_ ? absl::UnknownError(message) : absl::AbortedError(message), false);
      return;
    }
    const bool reusable = parser_.keep_alive() && !error;
    finish(web_response{parser_.status(), std::move(parser_.headers), std::move(parser_.body)},
           reusable);
  }

  void finish(absl::StatusOr<web_response> result, bool reusable) {
    call_active_ = false;
    ++call_number_;
    timer_.cancel();
    auto done = std::move(call_.done);
    if (!reusable) {
      close();
    }
    const auto self = shared_from_this();
    const auto client = client_;
    client->release(self, reusable);
    if (!client->stopped) {
      done(std::move(result));
    }
  }

  std::shared_ptr<state> client_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  message_parser parser_;
  std::array<char, read_chunk_bytes> read_chunk_{};
  std::string receive_buffer_;
  std::string send_buffer_;
  pending_call call_;
  std::uint64_t call_number_ = 0;
  bool connected_ = false;
  bool reading_ = false;
  bool written_ = false;
  bool call_active_ = false;
};

void web_client::state::call(pending_call pending) {
  while (!idle.empty() && !idle.back()->usable()) {
    idle.back()->close();
    idle.pop_back();
  }
  if (idle.empty() && busy.size() >= max_connections) {
    waiting.push_back(std::move(pending));
    return;
  }
  std::shared_ptr<connection> chosen;
  if (idle.empty()) {
    chosen = std::make_shared<connection>(shared_from_this());
  } else {
    chosen = idle.back();
    idle.pop_back();
  }
  busy.push_back(chosen);
  chosen->run(std::move(pending));
}

void web_client::state::release(const std::shared_ptr<connection>& released, bool reusable) {
  std::erase(busy, released);
  if (stopped) {
    return;
  }
  if (reusable) {
    idle.push_back(released);
    released->read();
  }
  while (!waiting.empty()) {
    auto next = std::move(waiting.front());
    waiting.pop_front();
    if (next.deadline <= steady_clock::now()) {
      next.done(absl::DeadlineExceededError("deadline passed in the queue for a connection to " +
                                            authority));
      continue;
    }
    call(std::move(next));
    break;
  }
}

void web_client::state::stop() {
  stopped = true;
  waiting.clear();
  for (const auto& open_connection : idle) {
    open_connection->close();
  }
  for (const auto& open_connection : busy) {
    open_connection->close();
  }
  idle.clear();
}

web_client::web_client(asio::io_context& io, endpoint server, std::size_t max_connections)
    : state_(std::make_shared<state>(io, std::move(server), max_connections)) {}

web_client::~web_client() {
  state_->stop();
}

void web_client::call(web_request request, std::chrono::milliseconds timeout, callback done) {
  state_->call({std::move(request), steady_clock::now() + timeout, std::move(done)});
}

} // namespace parsleylead

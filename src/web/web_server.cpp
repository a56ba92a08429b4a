#include "parsleylead/web/web_server.hpp"

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
// Bytes of a next request that are kept while the present one is being answered.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;
// Between two checks of the connections for idle and receive time-outs.
constexpr std::chrono::milliseconds sweep_interval{1'000};
// Pause after a failed accept, so that a lack of descriptors does not become a busy loop.
constexpr std::chrono::milliseconds accept_retry{50};

web_response error_response(int status, std::string_view message) {
  return {status, {}, std::string(R"({"error":")") + std::string(message) + "\"}"};
}

} // namespace

class web_server::state : public std::enable_shared_from_this<web_server::state> {
public:
  state(asio::io_context& loop, web_server_limits bounds, handler callback)
      : io(loop), limits(bounds), on_request(std::move(callback)), sweep_timer(loop) {}

  absl::Status listen(const endpoint& address);
  void accept(tcp::acceptor& acceptor);
  void sweep();
  void close_after_response();
  void stop();

  asio::io_context& io;
  web_server_limits limits;
  handler on_request;
  asio::steady_timer sweep_timer;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
  std::unordered_set<std::shared_ptr<connection>> connections;
  bool closing = false;
  bool stopped = false;
};

class web_server::connection : public web_exchange,
                               public std::enable_shared_from_this<web_server::connection> {
public:
  connection(std::shared_ptr<state> server, tcp::socket socket)
      : server_(std::move(server)), socket_(std::move(socket)),
        parser_(HTTP_REQUEST, server_->limits.max_header_bytes, server_->limits.max_body_bytes) {}

  void read() {
    if (reading_ || closed_ || input_.size() > max_pipelined_bytes) {
      return;
    }
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(chunk_),
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
    abandoned_ = nullptr;
    keep_ = keep_ && !server_->closing;
    output_ = write_response(response, keep_);
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                        self->sent(error);
                      });
  }

  void abort() override { close(); }

  void on_abandoned(std::function<void()> handler) override { abandoned_ = std::move(handler); }

  void close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    asio::error_code ignored; // The connection is given up whatever the result.
    socket_.close(ignored);
    auto abandoned = std::exchange(abandoned_, nullptr);
    if (busy_ && !responded_ && abandoned) {
      abandoned();
    }
    server_->connections.erase(shared_from_this());
  }

  bool timed_out(std::chrono::steady_clock::time_point now) const {
    if (busy_) {
      return false;
    }
    const bool receiving = parser_.started() || !input_.empty();
    const auto limit = receiving ? server_->limits.receive_timeout : server_->limits.idle_timeout;
    return now - last_activity_ > limit;
  }

  bool idle() const { return !busy_ && !parser_.started() && input_.empty(); }

private:
  void received(const asio::error_code& error, std::size_t count) {
    if (error) {
      close();
      return;
    }
    if (!parser_.started()) {
      last_activity_ = std::chrono::steady_clock::now();
    }
    input_.append(chunk_.data(), count);
    if (!busy_) {
      parse();
    }
    read();
  }

  void parse() {
    const auto result = parser_.feed(input_);
    if (result == message_parser::result::incomplete || closed_) {
      return;
    }
    busy_ = true;
    responded_ = false;
    keep_ = parser_.keep_alive();
    if (result != message_parser::result::complete) {
      keep_ = false;
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
    if (error || !keep_) {
      if (!error) {
        asio::error_code ignored; // A peer that is already gone needs no shutdown.
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
      }
      close();
      return;
    }
    if (!input_.empty()) {
      parse();
    }
    read();
  }

  std::shared_ptr<state> server_;
  tcp::socket socket_;
  message_parser parser_;
  std::array<char, read_chunk_bytes> chunk_{};
  std::string input_;
  std::string output_;
  web_request request_;
  std::function<void()> abandoned_;
  std::chrono::steady_clock::time_point last_activity_ = std::chrono::steady_clock::now();
  bool reading_ = false;
  bool busy_ = false;
  bool responded_ = false;
  bool keep_ = false;
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
    sweep();
  }
  return absl::OkStatus();
}

void web_server::state::accept(tcp::acceptor& acceptor) {
  acceptor.async_accept(
      [self = shared_from_this(), &acceptor](const asio::error_code& error, tcp::socket socket) {
        if (self->stopped) {
          return;
        }
        if (error) {
          auto timer = std::make_shared<asio::steady_timer>(self->io, accept_retry);
          timer->async_wait([self, &acceptor, timer](const asio::error_code&) {
            if (!self->stopped) {
              self->accept(acceptor);
            }
          });
          return;
        }
        if (self->connections.size() < self->limits.max_connections) {
          asio::error_code ignored; // Without the option the connection is only slower.
          socket.set_option(tcp::no_delay(true), ignored);
          auto made = std::make_shared<connection>(self, std::move(socket));
          self->connections.insert(made);
          made->read();
        }
        self->accept(acceptor);
      });
}

void web_server::state::sweep() {
  sweep_timer.expires_after(sweep_interval);
  sweep_timer.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (error || self->stopped) {
      return;
    }
    const auto now = std::chrono::steady_clock::now();
    const std::vector<std::shared_ptr<connection>> all(self->connections.begin(),
                                                       self->connections.end());
    for (const auto& each : all) {
      if (each->timed_out(now)) {
        each->close();
      }
    }
    self->sweep();
  });
}

void web_server::state::close_after_response() {
  closing = true;
  const std::vector<std::shared_ptr<connection>> all(connections.begin(), connections.end());
  for (const auto& each : all) {
    if (each->idle()) {
      each->close();
    }
  }
}

void web_server::state::stop() {
  stopped = true;
  asio::error_code ignored; // The process is ending.
  for (auto& acceptor : acceptors) {
    acceptor->close(ignored);
  }
  sweep_timer.cancel();
  const std::vector<std::shared_ptr<connection>> all(connections.begin(), connections.end());
  for (const auto& each : all) {
    each->close();
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
  state_->close_after_response();
}

std::size_t web_server::connections() const {
  return state_->connections.size();
}

} // namespace parsleylead

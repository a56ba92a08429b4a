#include "parsleylead/link/frame_link.hpp"

#include <array>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cstdint>

#include "parsleylead/base/big_endian.hpp"
#include "parsleylead/link/open_acceptor.hpp"

namespace parsleylead {
namespace {

using asio::ip::tcp;

constexpr std::size_t header_bytes = 4;
constexpr std::size_t read_chunk_bytes = std::size_t{16} * 1024;
// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

frame_link::frame_link(tcp::socket socket)
    : socket_(std::move(socket)), read_chunk_(read_chunk_bytes, '\0'), last_received_(lease_now()),
      last_sent_(last_received_) {
  asio::error_code error;
  socket_.set_option(tcp::no_delay(true), error); // Failure only costs latency.
  const auto remote = socket_.remote_endpoint(error);
  peer_ = error ? "?" : remote.address().to_string() + ":" + std::to_string(remote.port());
}

void frame_link::start(std::function<void(std::string_view)> on_frame,
                       std::function<void(const std::string&)> on_closed) {
  on_frame_ = std::move(on_frame);
  on_closed_ = std::move(on_closed);
  read();
}

void frame_link::send(std::string_view payload) {
  if (closed_) {
    return;
  }
  if (send_queue_.size() + payload.size() > max_queued_bytes) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->fail("too much unsent data: the peer does not read");
    });
    return;
  }
  append_big_endian(send_queue_, payload.size(), header_bytes);
  send_queue_ += payload;
  last_sent_ = lease_now();
  if (!write_scheduled_ && write_buffer_.empty()) {
    write_scheduled_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->write_scheduled_ = false;
      self->write();
    });
  }
}

void frame_link::close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  asio::error_code ignored; // The connection is discarded in either case.
  socket_.close(ignored);
}

void frame_link::read() {
  socket_.async_read_some(
      asio::buffer(read_chunk_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t count) {
        if (self->closed_) {
          return;
        }
        if (error) {
          self->fail(error.message());
          return;
        }
        const auto now = lease_now();
        if (now - self->last_received_ > self->max_silence_) {
          // This process was suspended: the buffered frames may be older than the peer's leases,
          // so they must not be processed any more.
          self->fail("no data received within the allowed time");
          return;
        }
        self->last_received_ = now;
        self->receive_buffer_.append(self->read_chunk_.data(), count);
        self->parse();
        if (!self->closed_) {
          self->read();
        }
      });
}

void frame_link::parse() {
  std::size_t offset = 0;
  while (!closed_ && receive_buffer_.size() - offset >= header_bytes) {
    const auto length =
        read_big_endian(std::string_view(receive_buffer_).substr(offset, header_bytes));
    if (length > max_frame_bytes) {
      fail("frame exceeds the maximum size");
      return;
    }
    if (receive_buffer_.size() - offset - header_bytes < length) {
      break;
    }
    on_frame_(std::string_view(receive_buffer_).substr(offset + header_bytes, length));
    offset += header_bytes + length;
  }
  receive_buffer_.erase(0, offset);
}

void frame_link::write() {
  if (closed_ || send_queue_.empty() || !write_buffer_.empty()) {
    return;
  }
  write_buffer_.swap(send_queue_);
  asio::async_write(socket_, asio::buffer(write_buffer_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      self->write_buffer_.clear();
                      if (error) {
                        self->fail(error.message());
                        return;
                      }
                      self->write();
                    });
}

void frame_link::fail(const std::string& cause) {
  if (closed_) {
    return;
  }
  close();
  if (on_closed_) {
    on_closed_(cause);
  }
}

frame_acceptor::frame_acceptor(asio::io_context& io,
                               std::function<void(std::shared_ptr<frame_link>)> on_link)
    : acceptor_(io), on_link_(std::move(on_link)) {}

absl::Status frame_acceptor::listen(const endpoint& address) {
  auto status = open_acceptor(acceptor_, address);
  if (status.ok()) {
    accept_next();
  }
  return status;
}

void frame_acceptor::accept_next() {
  acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      auto timer =
          std::make_shared<asio::steady_timer>(acceptor_.get_executor(), accept_retry_delay);
      timer->async_wait([this, timer](const asio::error_code& timer_error) {
        if (!timer_error) {
          accept_next();
        }
      });
      return;
    }
    on_link_(std::make_shared<frame_link>(std::move(socket)));
    accept_next();
  });
}

void connect_frame_link(
    asio::io_context& io, const std::string& address, std::chrono::milliseconds timeout,
    std::function<void(std::shared_ptr<frame_link>, const std::string& cause)> done) {
  const auto parsed = parse_endpoint(address);
  if (!parsed.ok()) {
    asio::post(io,
               [done = std::move(done)] { done(nullptr, "the peer's address is not ip:port"); });
    return;
  }
  const tcp::endpoint remote_address(asio::ip::make_address(parsed->ip), parsed->port);
  auto socket = std::make_shared<tcp::socket>(io);
  auto timer = std::make_shared<asio::steady_timer>(io, timeout);
  timer->async_wait([socket](const asio::error_code& cancelled) {
    if (!cancelled) {
      asio::error_code ignored; // Aborts the pending connect.
      socket->close(ignored);
    }
  });
  socket->async_connect(remote_address, [socket, timer, done = std::move(done)](
                                            const asio::error_code& connect_error) {
    timer->cancel();
    if (connect_error || !socket->is_open()) {
      done(nullptr, connect_error ? connect_error.message() : "connect timed out");
      return;
    }
    done(std::make_shared<frame_link>(std::move(*socket)), "");
  });
}

} // namespace parsleylead

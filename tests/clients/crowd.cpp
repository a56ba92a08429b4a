#include "crowd.hpp"

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <optional>

namespace parsleylead::clients {
namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds reopen_delay{500};
// A small receive buffer, so that unread responses stay at the server.
constexpr int receive_buffer_bytes = 4 * 1024;

} // namespace

class crowd::client : public std::enable_shared_from_this<crowd::client> {
public:
  client(crowd& owner, const endpoint& server)
      : owner_(owner), server_(asio::ip::make_address(server.ip), server.port),
        write_timer_(owner.io_), read_timer_(owner.io_) {}

  void open();

private:
  /// Returns a handler that does nothing for an earlier connection, and opens the connection again
  /// after an error.
  template <class Next>
  auto guard(Next next) {
    return [self = shared_from_this(), generation = generation_,
            next = std::move(next)](const asio::error_code& error, std::size_t /*count*/ = 0) {
      if (generation != self->generation_) {
        return;
      }
      if (error) {
        self->reopen();
      } else {
        next();
      }
    };
  }

  void reopen() {
    ++generation_;
    socket_.reset();
    read_timer_.cancel();
    write_timer_.expires_after(reopen_delay);
    write_timer_.async_wait(guard([this] { open(); }));
  }

  void write() {
    const auto& behavior = owner_.behavior_;
    const auto left = behavior.text.size() - sent_;
    if (left == 0) {
      return;
    }
    const auto count =
        behavior.piece_bytes == 0 ? left : std::min<std::size_t>(left, behavior.piece_bytes);
    const auto begin = sent_;
    sent_ += count;
    asio::async_write(*socket_, asio::buffer(behavior.text.data() + begin, count), guard([this] {
      write_timer_.expires_after(owner_.behavior_.piece_interval);
      write_timer_.async_wait(guard([this] { write(); }));
    }));
  }

  /// Notices that the server has reset a connection that is not read.
  void watch() {
    socket_->async_wait(tcp::socket::wait_error, guard([this] { reopen(); }));
  }

  void read_later() {
    if (owner_.behavior_.read_bytes == 0) {
      return;
    }
    read_timer_.expires_after(owner_.behavior_.read_interval);
    read_timer_.async_wait(guard([this] {
      const auto count = std::min(owner_.behavior_.read_bytes, read_buffer_.size());
      socket_->async_read_some(asio::buffer(read_buffer_, count), guard([this] { read_later(); }));
    }));
  }

  crowd& owner_;
  tcp::endpoint server_;
  std::optional<tcp::socket> socket_;
  asio::steady_timer write_timer_;
  asio::steady_timer read_timer_;
  std::array<char, std::size_t{64} * 1024> read_buffer_{};
  std::size_t sent_ = 0;
  std::size_t generation_ = 0;
};

void crowd::client::open() {
  ++generation_;
  sent_ = 0;
  socket_.emplace(owner_.io_, server_.protocol());
  socket_->set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
  socket_->async_connect(server_, guard([this] {
                           ++owner_.opened_;
                           write();
                           watch();
                           read_later();
                         }));
}

crowd::crowd(const endpoint& server, std::size_t connections, const client_behavior& behavior)
    : behavior_(behavior) {
  for (std::size_t i = 0; i < connections; ++i) {
    std::make_shared<client>(*this, server)->open();
  }
  thread_ = std::thread([this] { io_.run(); });
}

crowd::~crowd() {
  io_.stop();
  thread_.join();
}

} // namespace parsleylead::clients

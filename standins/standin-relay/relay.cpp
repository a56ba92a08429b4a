#include "relay.hpp"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace parsleylead::standin {

using asio::ip::tcp;

namespace {

constexpr std::size_t chunk_bytes = 64UL * 1024;

tcp::endpoint to_asio(const endpoint& value) {
  return {asio::ip::make_address(value.ip), value.port};
}

} // namespace

// Copies bytes between a client and the target until one side closes.
class relay_connection : public std::enable_shared_from_this<relay_connection> {
public:
  relay_connection(relay& owner, tcp::socket client)
      : owner_(owner), client_(std::move(client)), target_(owner.io_) {}

  void start() {
    target_.async_connect(to_asio(owner_.target_),
                          [self = shared_from_this()](const asio::error_code& error) {
                            if (error) {
                              self->close();
                              return;
                            }
                            self->set_no_delay();
                            self->read_next(self->client_, self->target_, self->to_target_);
                            self->read_next(self->target_, self->client_, self->to_client_);
                          });
  }

  void silence() {
    if (!silent_) {
      silent_ = true;
      ++owner_.stats_.silenced;
    }
  }

  void silence(relay_direction lost) {
    (lost == relay_direction::to_target ? to_target_ : to_client_).silent = true;
  }

  void close() {
    asio::error_code ignored;
    client_.close(ignored);
    target_.close(ignored);
    open_ = false;
  }

  /// Closes both sides with a reset.
  void reset() {
    asio::error_code ignored;
    for (auto* const side : {&client_, &target_}) {
      side->set_option(tcp::socket::linger(true, 0), ignored);
    }
    close();
  }

  bool is_open() const { return open_; }

  bool is_abandoned() const { return abandoned_; }

private:
  struct byte_stream {
    explicit byte_stream(asio::io_context& io) : timer(io) {}
    std::array<char, chunk_bytes> buffer{};
    asio::steady_timer timer;
    bool silent = false;
  };

  void set_no_delay() {
    asio::error_code ignored;
    client_.set_option(tcp::no_delay(true), ignored);
    target_.set_option(tcp::no_delay(true), ignored);
  }

  void read_next(tcp::socket& from, tcp::socket& to, byte_stream& stream) {
    from.async_read_some(asio::buffer(stream.buffer),
                         [self = shared_from_this(), &from, &to,
                          &stream](const asio::error_code& error, std::size_t count) {
                           self->on_read(from, to, stream, error, count);
                         });
  }

  void on_read(tcp::socket& from, tcp::socket& to, byte_stream& stream,
               const asio::error_code& error, std::size_t count) {
    if (silent_ || stream.silent) {
      // Keeps this side open even if the other side closes, as on a lost connection.
      owner_.stats_.bytes_swallowed += count;
      if (!error) {
        read_next(from, to, stream);
      } else {
        abandoned_ = true;
      }
      return;
    }
    if (error) {
      close();
      return;
    }
    if (owner_.delay_.count() == 0) {
      forward(from, to, stream, count);
      return;
    }
    stream.timer.expires_after(owner_.delay_);
    stream.timer.async_wait(
        [self = shared_from_this(), &from, &to, &stream, count](const asio::error_code&) {
          self->forward(from, to, stream, count);
        });
  }

  void forward(tcp::socket& from, tcp::socket& to, byte_stream& stream, std::size_t count) {
    owner_.stats_.bytes_forwarded += count;
    asio::async_write(to, asio::buffer(stream.buffer.data(), count),
                      [self = shared_from_this(), &from, &to,
                       &stream](const asio::error_code& error, std::size_t) {
                        if (error) {
                          self->close();
                          return;
                        }
                        self->read_next(from, to, stream);
                      });
  }

  relay& owner_;
  tcp::socket client_;
  tcp::socket target_;
  byte_stream to_target_{owner_.io_};
  byte_stream to_client_{owner_.io_};
  bool silent_ = false;
  bool open_ = true;
  /// One side has closed the connection while it was silenced.
  bool abandoned_ = false;
};

relay::relay(asio::io_context& io, const endpoint& listen_address, endpoint target)
    : io_(io), acceptor_(io), address_(to_asio(listen_address)), target_(std::move(target)) {
  bind();
  address_ = acceptor_.local_endpoint();
  listen();
}

void relay::bind() {
  acceptor_.open(address_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address_);
}

void relay::listen() {
  acceptor_.listen();
  ++listen_count_;
  accept_next();
}

void relay::stop_listening() {
  acceptor_.close();
  // A bound socket that does not listen keeps the port; the system refuses its connections.
  bind();
}

endpoint relay::local_endpoint() const {
  return {address_.address().to_string(), address_.port()};
}

void relay::silence_open() {
  for (const auto& connection : open_connections()) {
    connection->silence();
  }
}

void relay::silence_all() {
  faults_.silent = true;
  silence_open();
}

void relay::silence_one_way(relay_direction lost) {
  faults_.lost_direction = lost;
  for (const auto& connection : open_connections()) {
    connection->silence(lost);
  }
}

void relay::cut_open() {
  for (const auto& connection : open_connections()) {
    connection->close();
  }
}

void relay::reset_open() {
  for (const auto& connection : open_connections()) {
    connection->reset();
  }
}

void relay::refuse_all() {
  faults_.close_accepted = true;
  cut_open();
}

void relay::refuse_connections() {
  auto faults = faults_;
  faults.refuse = true;
  set_faults(faults);
}

void relay::close_abandoned() {
  for (const auto& connection : open_connections()) {
    if (connection->is_abandoned()) {
      connection->close();
    }
  }
}

void relay::set_faults(const relay_faults& faults) {
  const bool refused = std::exchange(faults_, faults).refuse;
  if (faults.refuse && !refused) {
    stop_listening();
  } else if (!faults.refuse && refused) {
    listen();
  }
}

relay_stats relay::stats() const {
  relay_stats result = stats_;
  result.open = static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(), [](const auto& weak) {
        const auto connection = weak.lock();
        return connection != nullptr && connection->is_open();
      }));
  return result;
}

void relay::accept_next() {
  acceptor_.async_accept(
      [this, count = listen_count_](const asio::error_code& error, tcp::socket socket) {
        // The relay has stopped listening since.
        if (error == asio::error::operation_aborted || count != listen_count_ || faults_.refuse) {
          return;
        }
        if (!error) {
          start(std::move(socket));
        }
        accept_next();
      });
}

void relay::start(tcp::socket client) {
  ++stats_.accepted;
  if (faults_.close_accepted) {
    return;
  }
  auto connection = std::make_shared<relay_connection>(*this, std::move(client));
  if (faults_.silent) {
    connection->silence();
  }
  if (faults_.lost_direction) {
    connection->silence(*faults_.lost_direction);
  }
  connection->start();
  std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
  connections_.push_back(connection);
}

std::vector<std::shared_ptr<relay_connection>> relay::open_connections() {
  std::vector<std::shared_ptr<relay_connection>> open;
  for (const auto& weak : connections_) {
    if (auto connection = weak.lock(); connection != nullptr && connection->is_open()) {
      open.push_back(std::move(connection));
    }
  }
  return open;
}

} // namespace parsleylead::standin

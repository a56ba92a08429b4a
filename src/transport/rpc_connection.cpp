#include "parsleylead/transport/rpc_connection.hpp"

#include <algorithm>
#include <array>
#include <asio/connect.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <memory>
#include <vector>

#include "parsleylead/transport/rpc_traffic.hpp"

namespace parsleylead {
namespace {

using asio::ip::tcp;

std::atomic<std::uint64_t> bytes_sent{0};
std::atomic<std::uint64_t> bytes_received{0};

capnp::ReaderOptions reader_options() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = max_message_bytes / sizeof(capnp::word);
  return options;
}

kj::Exception socket_exception(const char* operation, const asio::error_code& error) {
  return KJ_EXCEPTION(DISCONNECTED, operation, error.message());
}

// Resolves when the socket is ready. Waiting for readiness instead of data means that no buffer is
// in use after the promise is dropped.
class ready_adapter {
public:
  ready_adapter(kj::PromiseFulfiller<void>& fulfiller, tcp::socket& socket,
                tcp::socket::wait_type type)
      : fulfiller_(std::make_shared<kj::PromiseFulfiller<void>*>(&fulfiller)) {
    socket.async_wait(type, [target = fulfiller_](const asio::error_code& error) {
      if (*target == nullptr) {
        return;
      }
      if (error) {
        (*target)->reject(socket_exception("socket wait failed", error));
        return;
      }
      (*target)->fulfill();
    });
  }
  ~ready_adapter() { *fulfiller_ = nullptr; }
  ready_adapter(const ready_adapter&) = delete;
  ready_adapter& operator=(const ready_adapter&) = delete;

private:
  std::shared_ptr<kj::PromiseFulfiller<void>*> fulfiller_;
};

class socket_stream : public kj::AsyncIoStream {
public:
  explicit socket_stream(tcp::socket socket) : socket_(std::move(socket)) {
    asio::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    return read_more(static_cast<std::byte*>(buffer), min_bytes, max_bytes, 0);
  }

  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    std::vector<asio::const_buffer> buffers{asio::const_buffer(buffer, size)};
    return write_more(std::move(buffers));
  }

  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(pieces.size());
    for (const auto& piece : pieces) {
      buffers.emplace_back(piece.begin(), piece.size());
    }
    return write_more(std::move(buffers));
  }

  kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }

  void shutdownWrite() override {
    asio::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }

  void abortRead() override {
    asio::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_receive, ignored);
  }

private:
  kj::Promise<std::size_t> read_more(std::byte* buffer, std::size_t min_bytes,
                                     std::size_t max_bytes, std::size_t done) {
    while (done < min_bytes) {
      asio::error_code error;
      const auto count = socket_.read_some(asio::buffer(buffer + done, max_bytes - done), error);
      if (error == asio::error::would_block) {
        return ready(tcp::socket::wait_read).then([this, buffer, min_bytes, max_bytes, done] {
          return read_more(buffer, min_bytes, max_bytes, done);
        });
      }
      if (error == asio::error::eof) {
        break;
      }
      if (error) {
        return socket_exception("read failed", error);
      }
      done += count;
      bytes_received.fetch_add(count, std::memory_order_relaxed);
    }
    return done;
  }

  kj::Promise<void> write_more(std::vector<asio::const_buffer> buffers) {
    while (!buffers.empty()) {
      asio::error_code error;
      const auto count = socket_.write_some(buffers, error);
      if (error == asio::error::would_block) {
        return ready(tcp::socket::wait_write).then([this, rest = std::move(buffers)]() mutable {
          return write_more(std::move(rest));
        });
      }
      if (error) {
        return socket_exception("write failed", error);
      }
      drop_written(buffers, count);
      bytes_sent.fetch_add(count, std::memory_order_relaxed);
    }
    return kj::READY_NOW;
  }

  static void drop_written(std::vector<asio::const_buffer>& buffers, std::size_t count) {
    auto first = buffers.begin();
    while (first != buffers.end() && count >= first->size()) {
      count -= first->size();
      ++first;
    }
    buffers.erase(buffers.begin(), first);
    if (!buffers.empty()) {
      buffers.front() += count;
    }
  }

  kj::Promise<void> ready(tcp::socket::wait_type type) {
    return kj::newAdaptedPromise<void, ready_adapter>(socket_, type);
  }

  tcp::socket socket_;
};

// Resolves with the connected socket. Dropping the promise closes the socket.
class connect_adapter {
public:
  connect_adapter(kj::PromiseFulfiller<kj::Own<rpc_connection>>& fulfiller, asio::io_context& io,
                  const endpoint& peer)
      : state_(std::make_shared<state>(&fulfiller, io)) {
    const tcp::endpoint address(asio::ip::make_address(peer.ip), peer.port);
    state_->socket.async_connect(address, [state = state_, peer](const asio::error_code& error) {
      if (state->target == nullptr) {
        return;
      }
      if (error) {
        const auto text = to_string(peer);
        state->target->reject(
            KJ_EXCEPTION(DISCONNECTED, "connect failed", text.c_str(), error.message()));
        return;
      }
      state->target->fulfill(kj::heap<rpc_connection>(make_stream(std::move(state->socket))));
    });
  }
  ~connect_adapter() {
    state_->target = nullptr;
    asio::error_code ignored;
    state_->socket.close(ignored);
  }
  connect_adapter(const connect_adapter&) = delete;
  connect_adapter& operator=(const connect_adapter&) = delete;

private:
  struct state {
    state(kj::PromiseFulfiller<kj::Own<rpc_connection>>* fulfiller, asio::io_context& io)
        : target(fulfiller), socket(io) {}
    kj::PromiseFulfiller<kj::Own<rpc_connection>>* target;
    tcp::socket socket;
  };
  std::shared_ptr<state> state_;
};

capnp::Capability::Client request_bootstrap(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& system) {
  capnp::MallocMessageBuilder message(8);
  auto vat = message.getRoot<capnp::rpc::twoparty::VatId>();
  vat.setSide(capnp::rpc::twoparty::Side::SERVER);
  return system.bootstrap(vat);
}

} // namespace

rpc_traffic total_rpc_traffic() {
  return {bytes_sent.load(std::memory_order_relaxed),
          bytes_received.load(std::memory_order_relaxed)};
}

kj::Own<kj::AsyncIoStream> make_stream(tcp::socket socket) {
  return kj::heap<socket_stream>(std::move(socket));
}

rpc_connection::rpc_connection(kj::Own<kj::AsyncIoStream> stream)
    : stream_(kj::mv(stream)),
      network_(*stream_, capnp::rpc::twoparty::Side::CLIENT, reader_options()),
      system_(capnp::makeRpcClient(network_)), bootstrap_(request_bootstrap(system_)) {}

rpc_connection::rpc_connection(kj::Own<kj::AsyncIoStream> stream,
                               capnp::Capability::Client bootstrap)
    : stream_(kj::mv(stream)),
      network_(*stream_, capnp::rpc::twoparty::Side::SERVER, reader_options()),
      system_(capnp::makeRpcServer(network_, kj::mv(bootstrap))), bootstrap_(nullptr) {}

kj::Promise<void> rpc_connection::on_disconnect() {
  return network_.onDisconnect();
}

kj::Promise<kj::Own<rpc_connection>> connect(rpc_loop& loop, const endpoint& peer,
                                             std::chrono::milliseconds limit) {
  auto connected = kj::newAdaptedPromise<kj::Own<rpc_connection>, connect_adapter>(loop.io(), peer);
  return loop.with_timeout(kj::mv(connected), limit);
}

} // namespace parsleylead

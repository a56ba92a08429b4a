#include "parsleylead/transport/rpc_server.hpp"

#include <asio/ip/address.hpp>

#include "parsleylead/base/error.hpp"
#include "parsleylead/link/open_acceptor.hpp"
#include "parsleylead/transport/ignore_task_errors.hpp"

namespace parsleylead {
namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

rpc_server::rpc_server(rpc_loop& loop, capnp::Capability::Client bootstrap)
    : loop_(loop), bootstrap_(kj::mv(bootstrap)), acceptor_(loop.io()),
      disconnect_watchers_(kj::heap<kj::TaskSet>(ignore_task_errors())),
      lifetime_(std::make_shared<bool>(true)) {}

rpc_server::~rpc_server() {
  *lifetime_ = false;
  disconnect_watchers_ = nullptr;
}

absl::Status rpc_server::listen(const endpoint& address) {
  if (const auto error = bind_and_listen(acceptor_, address)) {
    return make_error(absl::StatusCode::kUnavailable, step::connect, to_string(address),
                      "cannot listen: " + error.message());
  }
  accept_next();
  return absl::OkStatus();
}

endpoint rpc_server::local_endpoint() const {
  const auto local = acceptor_.local_endpoint();
  return {local.address().to_string(), local.port()};
}

void rpc_server::stop_accepting() {
  asio::error_code ignored;
  acceptor_.close(ignored);
}

void rpc_server::accept_next() {
  acceptor_.async_accept(
      [this, alive = lifetime_](const asio::error_code& error, tcp::socket socket) {
        if (!*alive || !acceptor_.is_open()) {
          return;
        }
        if (error) {
          // Without free file descriptors accept fails immediately; the delay prevents a busy loop.
          disconnect_watchers_->add(
              loop_.sleep_for(accept_retry_delay).then([this] { accept_next(); }));
          return;
        }
        add_connection(std::move(socket));
        accept_next();
      });
}

void rpc_server::add_connection(tcp::socket socket) {
  auto connection = kj::heap<rpc_connection>(make_stream(std::move(socket)), bootstrap_);
  auto& added = *connection;
  connections_.push_back(kj::mv(connection));
  const auto position = std::prev(connections_.end());
  // evalLater, because the connection must not be destroyed inside its own callback.
  disconnect_watchers_->add(added.on_disconnect().then([this, position] {
    return kj::evalLater([this, position] { connections_.erase(position); });
  }));
}

} // namespace parsleylead

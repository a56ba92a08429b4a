#pragma once

#include <capnp/capability.h>

#include <asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/transport/rpc_connection.hpp"

namespace parsleylead {

/// Accepts RPC connections and offers one bootstrap capability to each. Control thread only.
class rpc_server {
public:
  rpc_server(rpc_loop& loop, capnp::Capability::Client bootstrap);
  ~rpc_server();
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;

  /// Listens at `address`; port 0 selects a free port. Errors: kUnavailable with the address as
  /// peer, for example if the port is in use.
  absl::Status listen(const endpoint& address);

  /// The bound address. Precondition: `listen` succeeded.
  endpoint local_endpoint() const;

  /// Closes the listener; open connections stay.
  void stop_accepting();

  /// Number of open connections.
  std::size_t connection_count() const { return connections_.size(); }

private:
  void accept_next();
  void add_connection(asio::ip::tcp::socket socket);

  rpc_loop& loop_;
  capnp::Capability::Client bootstrap_;
  asio::ip::tcp::acceptor acceptor_;
  std::list<kj::Own<rpc_connection>> connections_;
  kj::Own<kj::TaskSet> disconnect_watchers_;
  std::shared_ptr<bool> lifetime_;
};

} // namespace parsleylead

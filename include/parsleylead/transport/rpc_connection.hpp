#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <string>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/transport/rpc_loop.hpp"

namespace parsleylead {

/// Largest message that a process accepts; a larger one closes the connection. It also limits how
/// many bytes a receiver may read from one message in total, so read large fields only once.
inline constexpr std::uint64_t max_message_bytes = 8ULL * 1024 * 1024;

/// Wraps a connected socket as a KJ stream. Control thread only.
kj::Own<kj::AsyncIoStream> make_stream(asio::ip::tcp::socket socket);

/// One Cap'n Proto RPC connection. Control thread only.
class rpc_connection {
public:
  /// The connecting side.
  explicit rpc_connection(kj::Own<kj::AsyncIoStream> stream);

  /// The accepting side, which offers `bootstrap` and requests none.
  rpc_connection(kj::Own<kj::AsyncIoStream> stream, capnp::Capability::Client bootstrap);

  /// The capability that the other side offers. Calls on it fail once the connection has ended.
  capnp::Capability::Client bootstrap() { return bootstrap_; }

  /// Resolves when the connection has ended. Silent packet loss does not end it: use time-outs.
  kj::Promise<void> on_disconnect();

private:
  kj::Own<kj::AsyncIoStream> stream_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system_;
  // Requested once: requesting it on an ended connection would create a second RPC state on the
  // closed stream, which throws from a destructor.
  capnp::Capability::Client bootstrap_;
};

/// Opens a TCP connection to `peer`. The promise rejects with a KJ exception that names the peer if
/// this fails or takes longer than `limit`. Control thread only.
kj::Promise<kj::Own<rpc_connection>> connect(rpc_loop& loop, const endpoint& peer,
                                             std::chrono::milliseconds limit);

} // namespace parsleylead

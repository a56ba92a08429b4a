#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "parsleylead/base/endpoint.hpp"

namespace parsleylead::standin {

class relay_connection;

/// Direction of the bytes that a relay forwards.
enum class relay_direction : std::uint8_t { to_target, to_client };

/// Faults of the connections that are opened while they are in force.
struct relay_faults {
  /// The relay does not listen, so the system refuses connections (ECONNREFUSED).
  bool refuse = false;
  /// Connections are accepted and closed at once.
  bool close_accepted = false;
  /// All data is discarded.
  bool silent = false;
  /// The data of this direction is discarded.
  std::optional<relay_direction> lost_direction;
};

/// Counters of a relay since its start. `open` is the current number of open connections.
struct relay_stats {
  std::size_t accepted = 0;
  std::size_t open = 0;
  std::size_t silenced = 0;
  std::uint64_t bytes_forwarded = 0;
  std::uint64_t bytes_swallowed = 0;
};

/// A TCP relay that imitates a faulty network path between two processes. One thread runs `io`.
class relay {
public:
  relay(asio::io_context& io, const endpoint& listen_address, endpoint target);

  /// The address in use.
  endpoint local_endpoint() const;

  /// Discards all further data of the connections that are open now; new connections work. This
  /// imitates a middlebox that has lost its connection table.
  void silence_open();

  /// As `silence_open`; also discards all data of new connections until `heal`.
  void silence_all();

  /// Discards the data of one direction, on the open connections until they close and on new ones
  /// until `heal`; the other direction works.
  void silence_one_way(relay_direction lost);

  /// Closes every open connection; new connections work.
  void cut_open();

  /// Resets every open connection (RST, ECONNRESET); new connections work.
  void reset_open();

  /// Closes every open connection, and closes new ones when they are accepted, until `heal`: they
  /// are accepted without an answer. `refuse_connections` refuses them.
  void refuse_all();

  /// Stops listening until `heal`, as a process that has closed its listening socket: new
  /// connections are refused (ECONNREFUSED). Open connections work.
  void refuse_connections();

  /// Closes the connections that one side has closed while they were silenced, so that the other
  /// side learns of it, as it does once a lost path works again.
  void close_abandoned();

  /// Sets the faults of new connections. Open connections keep theirs. Throws asio::system_error if
  /// the relay cannot listen again.
  void set_faults(const relay_faults& faults);

  /// Ends the faults for new connections. Silenced connections stay silent. Throws as `set_faults`.
  void heal() { set_faults({}); }

  /// Delays each chunk that is forwarded, in both directions.
  void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }

  /// Sets the target of new connections; open ones keep theirs.
  void set_target(endpoint target) { target_ = std::move(target); }

  relay_stats stats() const;

private:
  friend class relay_connection;
  void bind();
  void listen();
  void stop_listening();
  void accept_next();
  void start(asio::ip::tcp::socket client);
  std::vector<std::shared_ptr<relay_connection>> open_connections();

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint address_;
  endpoint target_;
  std::vector<std::weak_ptr<relay_connection>> connections_;
  std::chrono::milliseconds delay_{0};
  relay_faults faults_;
  /// Number of times that the relay began to listen. Connections that an earlier listening socket
  /// accepted are closed.
  std::uint64_t listen_count_ = 0;
  relay_stats stats_;
};

} // namespace parsleylead::standin

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
  relay(asio::io_context& io, const endpoint& listen, endpoint target);

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

  /// Closes every open connection, and closes new ones when they are accepted, until `heal`.
  void refuse_all();

  /// Ends the faults for new connections. Silenced connections stay silent.
  void heal();

  /// Delays each chunk that is forwarded, in both directions.
  void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }

  /// Sets the target of new connections; open ones keep theirs.
  void set_target(endpoint target) { target_ = std::move(target); }

  relay_stats stats() const;

private:
  friend class relay_connection;
  void accept_next();
  void start(asio::ip::tcp::socket client);
  std::vector<std::shared_ptr<relay_connection>> open_connections();

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  endpoint target_;
  std::vector<std::weak_ptr<relay_connection>> connections_;
  std::chrono::milliseconds delay_{0};
  bool silence_new_ = false;
  std::optional<relay_direction> lost_direction_;
  bool refuse_new_ = false;
  relay_stats stats_;
};

} // namespace parsleylead::standin

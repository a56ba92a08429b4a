#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/web/shed_order.hpp"

namespace parsleylead {

/// Why a connection was closed to protect the process.
enum class shed_reason : std::uint8_t {
  /// The memory was used up, and the request was incomplete.
  incomplete,
  /// The memory was used up, and no job had been accepted for the request.
  not_accepted,
  /// The server had as many connections as it may have.
  connection_limit,
  /// The client did not read the response in time.
  unread_response,
};

inline constexpr std::size_t shed_reasons = 4;

const char* to_string(shed_reason reason);

/// The memory that the connections of a process may hold together, over all its servers. Over the
/// budget it sheds requests in the order of `shed_order`; those with an accepted job never. Does no
/// I/O. Not thread-safe.
class memory_budget {
public:
  /// Closes the connection. Called at most once for each connection, from within `update`,
  /// `admit` or `shed`.
  using shed_handler = std::function<void(shed_reason)>;
  using server_id = std::size_t;
  using shed_counts = std::array<std::uint64_t, shed_reasons>;

  /// Budget of servers that are not given one.
  static constexpr std::size_t default_max_bytes = std::size_t{256} * 1024 * 1024;

  explicit memory_budget(std::size_t max_bytes = default_max_bytes) : max_bytes_(max_bytes) {}

  /// Adds a server that may have this many connections.
  server_id add_server(std::size_t max_connections);

  /// Admits a connection of the server `at`, which holds nothing yet. At the server's limit, first
  /// sheds the one that has been idle or incomplete the longest. Returns an empty value if there is
  /// none.
  std::optional<connection_id> admit(server_id at, shed_handler shed, monotonic_time now);

  /// Records what the connection holds, and sheds requests while the budget is exceeded; the
  /// connection itself may be among them. Has no effect on a connection that has been closed,
  /// except that its bytes are counted until `remove`.
  void update(connection_id connection, request_phase phase, std::size_t bytes, monotonic_time now);

  /// The connection is closed: it no longer counts towards the limit of its server and cannot be
  /// shed. Its bytes count until `remove`, as an accepted job may still refer to them.
  void close(connection_id connection);

  /// The connection has released its memory.
  void remove(connection_id connection);

  /// Sheds this connection. Has no effect if it is closed.
  void shed(connection_id connection, shed_reason reason);

  /// Memory held by all connections.
  std::size_t bytes() const { return bytes_; }
  /// Whether over half of the budget is used, so that connections should not read ahead.
  bool under_pressure() const { return bytes_ > max_bytes_ / 2; }
  /// Connections shed so far, by `shed_reason`.
  const shed_counts& counts() const { return counts_; }

private:
  struct server {
    std::size_t max_connections = 0;
    std::size_t connections = 0;
    shed_order order;
  };
  struct connection_record {
    server_id server = 0;
    shed_handler shed;
    std::size_t bytes = 0;
    bool open = true;
  };

  void shed_excess();

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::vector<server> servers_;
  std::unordered_map<connection_id, connection_record> connections_;
  connection_id next_connection_ = 1;
  shed_counts counts_{};
};

} // namespace parsleylead

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

using connection_id = std::uint64_t;

/// Progress of the request on a connection.
enum class request_phase : std::uint8_t {
  /// No request has begun.
  idle,
  /// A request has been received in part.
  incomplete,
  /// A whole request, or its response, for which no job was accepted.
  complete,
  /// A job was accepted for the request. Such a request is never shed.
  accepted,
};

inline constexpr std::size_t request_phases = 4;

/// A request that may be shed.
struct shed_candidate {
  connection_id connection = 0;
  request_phase phase = request_phase::idle;
  /// Since when the connection is in this phase.
  monotonic_time since;
};

/// The order in which requests are shed. Responds to clients that hold memory or connections
/// without making progress. Not thread-safe.
class shed_order {
public:
  /// Adds a connection or changes its phase. `now` is ignored if the phase is the same.
  void set(connection_id connection, request_phase phase, monotonic_time now);
  void remove(connection_id connection);

  /// The next request to be shed to free memory: the oldest incomplete one, otherwise the oldest
  /// complete one.
  std::optional<shed_candidate> next_for_memory() const;
  /// The connection to be closed to admit another: the one that has been idle or incomplete the
  /// longest.
  std::optional<shed_candidate> next_for_connection() const;

private:
  std::optional<shed_candidate> oldest(request_phase phase) const;

  std::unordered_map<connection_id, std::pair<request_phase, monotonic_time>> phases_;
  /// By phase, oldest first.
  std::array<std::set<std::pair<monotonic_time, connection_id>>, request_phases> by_age_;
};

/// Returns whether `a` is shed before `b` to free memory.
bool sheds_before(const shed_candidate& a, const shed_candidate& b);

} // namespace parsleylead

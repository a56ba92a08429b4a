#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/fleet/run_types.hpp"

namespace parsleylead {

/// One entry that others can connect to.
struct fleet_member {
  std::string name;
  std::uint64_t incarnation = 0;
  /// "ip:port" for frame links.
  std::string address;
  std::string availability_zone;

  bool operator==(const fleet_member&) const = default;
};

/// The first frame of each session.
struct session_hello {
  fleet_member sender;
  bool is_agent = false;
  /// Incarnation of the receiver that the sender last had a session with; 0 for none.
  std::uint64_t resumed_incarnation = 0;
};

/// The routes that are in force, as the operators' text.
struct route_update {
  std::int64_t version = 0;
  std::string text;
};

/// Number of jobs of one queue.
struct queue_count {
  std::string queue;
  std::uint32_t jobs = 0;

  bool operator==(const queue_count&) const = default;
};

/// Everything that one process has to say to another at one moment; see schema/fleet.capnp.
struct fleet_frame {
  std::optional<session_hello> hello;
  std::vector<start_order> starts;
  std::vector<run_id> stops;
  std::vector<run_id> moves;
  std::vector<run_end> ends;
  std::vector<slow_run> slow_runs;
  std::optional<worker_status> status;
  std::vector<fleet_member> members;
  std::optional<std::vector<run_id>> outstanding;
  /// Version of the sender's routes; -1 for none.
  std::int64_t routes_version = -1;
  /// The routes of that version; empty if the receiver has them.
  std::string routes;
  bool leaving = false;
  /// Partitions of durable jobs that the sender owns, sent first in each session and when it claims
  /// one.
  std::vector<partition_claim> claims;
  std::vector<end_ack> end_acks;
  /// Durable jobs of the sender that have not begun.
  std::vector<queue_count> waiting_durable_jobs;

  bool empty() const;
};

/// Thread-safe.
std::string encode_frame(const fleet_frame& frame);

/// Errors: kInvalidArgument for bytes that are no frame of this protocol version. Thread-safe.
absl::StatusOr<fleet_frame> decode_frame(std::string_view bytes);

} // namespace parsleylead

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/evacuation/zone_evacuations.hpp"
#include "parsleylead/fleet/run_types.hpp"

namespace parsleylead {

/// An entry that other processes can connect to.
struct fleet_member {
  std::string name;
  std::uint64_t incarnation = 0;
  /// Address of its frame links as "ip:port".
  std::string address;
  std::string availability_zone;

  bool operator==(const fleet_member&) const = default;
};

/// Handshake; part of the first frame that each side of a session sends.
struct session_hello {
  fleet_member sender;
  bool is_agent = false;
  /// Incarnation of the receiver in the sender's previous session with it; 0 if there was none.
  std::uint64_t resumed_incarnation = 0;
  /// An agent opened the session because the receiver requested it.
  bool requested = false;
};

/// Request of an entry for a session with a worker that meets a requirement. Entries pass it on to
/// agents of such workers and to other entries.
struct worker_request {
  fleet_member entry;
  /// Identifies the request together with the entry's name and incarnation.
  std::uint64_t number = 0;
  worker_requirement requirement;
  /// Number of requests for this requirement since the search began.
  std::uint32_t attempt = 1;
  /// The sender received the request from another entry.
  bool relayed = false;
  /// The worker has to be idle, as those that the entry reaches are busy.
  bool idle = false;
  /// `queue_hash` of the agents' names of these busy workers.
  std::vector<std::uint32_t> busy_agents;

  bool operator==(const worker_request&) const = default;
};

/// Request to an agent for a session with an entry.
struct session_request {
  fleet_member entry;
  /// See `worker_request`.
  bool idle = false;

  bool operator==(const session_request&) const = default;
};

/// A version of the routes, as the text that operators wrote.
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

/// Waiting durable jobs of one partition by queue.
struct partition_counts {
  /// The ownership in which the jobs were counted.
  partition_claim claim;
  /// Increases with each change within the epoch.
  std::uint32_t revision = 0;
  std::vector<queue_count> counts;

  bool operator==(const partition_counts&) const = default;
};

/// One message between two processes. Batches everything that is due; see schema/fleet.capnp.
struct fleet_frame {
  std::optional<session_hello> hello;
  std::vector<start_order> starts;
  /// The worker's incarnation that `starts` were placed for, as the entry was told last; 0 if it is
  /// not known.
  std::int64_t worker_incarnation = 0;
  std::vector<run_id> stops;
  /// Runs to stop whose end has to be reported, because the task will be placed again.
  std::vector<run_id> moves;
  std::vector<run_end> ends;
  std::vector<slow_run> slow_runs;
  std::optional<worker_status> status;
  std::vector<fleet_member> members;
  /// Runs that the sender still expects an end of, sent when a session is resumed.
  std::optional<std::vector<run_id>> outstanding;
  /// Version of the sender's routes; -1 for none.
  std::int64_t routes_version = -1;
  /// Text of that version; empty if the receiver already has it.
  std::string routes;
  /// The sender asks for the text of the receiver's routes.
  bool routes_wanted = false;
  bool leaving = false;
  /// Partitions of durable jobs that the sender owns; sent at the start of each session and on each
  /// new claim.
  std::vector<partition_claim> claims;
  std::vector<end_ack> end_acks;
  /// Durable jobs without a started task, in the partitions whose counts are news to the receiver.
  std::vector<partition_counts> waiting_durable_jobs;
  /// Crashes of the sender's worker that point to a queue.
  std::vector<crash_report> crashes;
  /// When an agent sent the frame, on its clock; 0 in frames of entries.
  std::chrono::milliseconds sent{0};
  /// Newest `sent` that an entry has received in the session; 0 if there is none.
  std::chrono::milliseconds heard{0};
  /// Sent between entries.
  std::vector<worker_request> worker_requests;
  /// Sent to agents.
  std::vector<session_request> session_requests;
  /// The entry still needs this session, which it requested. Not counted as content.
  bool keep_session = false;
  /// Absent if the receiver was told before, or if the sender knows none.
  std::optional<evacuation_state> evacuations;

  /// Returns whether the frame has no content; the times do not count.
  bool empty() const;
};

/// Serializes a frame. Thread-safe.
std::string encode_frame(const fleet_frame& frame);

/// Parses a frame. Errors: kInvalidArgument if the bytes are not a frame of this protocol version.
/// Thread-safe.
absl::StatusOr<fleet_frame> decode_frame(std::string_view bytes);

} // namespace parsleylead

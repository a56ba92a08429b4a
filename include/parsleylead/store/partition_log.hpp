#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/store/keyed_store.hpp"

namespace parsleylead {

/// One partition of a keyed topic.
struct topic_partition {
  std::string topic;
  std::uint32_t number = 0;

  bool operator==(const topic_partition&) const = default;
};

/// The partitions that are assigned to a member of a group.
struct group_assignment {
  /// Increases with each change of the group.
  std::uint64_t generation = 0;
  std::vector<std::uint32_t> partitions;
};

/// The member to which a partition is assigned.
struct partition_holder {
  std::uint32_t partition = 0;
  std::string member;
};

/// Client of a store with partitioned keyed topics, and with groups whose members are assigned the
/// partitions. Used on the event loop's thread only. Each callback is called once, after the call
/// has returned. Errors: as for `keyed_store`, and kAborted from `append`.
class partition_log {
public:
  virtual ~partition_log() = default;

  /// Reads the newest record of each key, in pages: those after the key `after`, or the first page
  /// if it is empty.
  virtual void read_newest(const topic_partition& from, const std::string& after,
                           std::function<void(absl::StatusOr<keyed_snapshot>)> done) = 0;
  /// Reads the existing records from an offset on, without waiting. kOutOfRange also if there are
  /// none.
  virtual void read_records(const topic_partition& from, std::uint64_t offset,
                            std::function<void(absl::StatusOr<keyed_snapshot>)> done) = 0;
  /// Appends all records, or none with kAborted if the partition does not end at `end`. A record
  /// without a value removes its key. The result is the new end.
  virtual void append(const topic_partition& to, std::uint64_t end,
                      const std::vector<keyed_record>& records,
                      std::function<void(absl::StatusOr<std::uint64_t>)> done) = 0;
  /// Joins the group or stays in it for `ttl`; fails if there is no answer within `timeout`.
  /// `generation` is that of the last assignment known to the member and confirms that it no longer
  /// uses the partitions that this assignment does not list; they are then assigned to others.
  virtual void join(const std::string& group, const std::string& member, const std::string& topic,
                    std::chrono::milliseconds ttl, std::chrono::milliseconds timeout,
                    std::uint64_t generation,
                    std::function<void(absl::StatusOr<group_assignment>)> done) = 0;
  virtual void leave(const std::string& group, const std::string& member,
                     std::function<void(absl::Status)> done) = 0;
  virtual void holders(const std::string& group,
                       std::function<void(absl::StatusOr<std::vector<partition_holder>>)> done) = 0;
};

} // namespace parsleylead

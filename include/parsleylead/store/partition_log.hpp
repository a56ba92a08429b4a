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

/// What a member of a group holds.
struct group_assignment {
  /// Rises with each change of the group.
  std::uint64_t generation = 0;
  std::vector<std::uint32_t> partitions;
};

/// The holder of one partition.
struct partition_holder {
  std::uint32_t partition = 0;
  std::string member;
};

/// Keyed topics with many partitions, and groups that share them out. Used on the loop's thread
/// only; each callback is called once, later than the call itself. Errors as for `keyed_store`, and
/// kAborted from `append`.
class partition_log {
public:
  virtual ~partition_log() = default;

  /// `after` continues a snapshot behind a key; empty for its beginning.
  virtual void read_newest(const topic_partition& from, const std::string& after,
                           std::function<void(absl::StatusOr<keyed_snapshot>)> done) = 0;
  /// The records from an offset on that are there now. kOutOfRange also if there are none.
  virtual void read_records(const topic_partition& from, std::uint64_t offset,
                            std::function<void(absl::StatusOr<keyed_snapshot>)> done) = 0;
  /// Appends all records or none, if the partition ends at `end`. A record without a value drops
  /// its key. The result is the new end. kAborted: the partition ends elsewhere.
  virtual void append(const topic_partition& to, std::uint64_t end,
                      const std::vector<keyed_record>& records,
                      std::function<void(absl::StatusOr<std::uint64_t>)> done) = 0;
  /// Joins the group or stays in it for `ttl`; fails if there is no answer within `timeout`.
  /// Partitions of which `generation` was the last known
  /// share and that are no longer listed go to other members.
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

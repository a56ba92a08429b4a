#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace parsleylead {

/// The newest record of one key.
struct keyed_record {
  std::string key;
  std::string value;
};

/// The newest records of a keyed topic.
struct keyed_snapshot {
  std::vector<keyed_record> records;
  /// Offset at which later records begin.
  std::uint64_t end = 0;
  /// The store had more records than it lists in one answer.
  bool has_more = false;
};

/// Topics that keep the newest record of each key. Used on the loop's thread only; each callback is
/// called once, later than the call itself.
///
/// Errors of all calls: kOutOfRange if the records were deleted; kResourceExhausted if the store
/// rejects the call for its rate; kUnavailable if nothing was done; others if the call may have
/// been carried out.
class keyed_store {
public:
  virtual ~keyed_store() = default;

  /// `after` continues a snapshot behind a key; empty for its beginning.
  virtual void read_newest(const std::string& topic, const std::string& after,
                           std::function<void(absl::StatusOr<keyed_snapshot>)> done) = 0;
  /// The records from an offset, as soon as there is one, or none after `wait`.
  virtual void read_from(const std::string& topic, std::uint64_t offset,
                         std::chrono::milliseconds wait,
                         std::function<void(absl::StatusOr<keyed_snapshot>)> done) = 0;
  virtual void put(const std::string& topic, const keyed_record& record,
                   std::function<void(absl::Status)> done) = 0;
};

} // namespace parsleylead

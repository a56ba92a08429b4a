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

/// Records of a keyed topic.
struct keyed_snapshot {
  std::vector<keyed_record> records;
  /// Offset of the record that follows these.
  std::uint64_t end = 0;
  /// Whether the store has more records than it returns in one answer.
  bool has_more = false;
};

/// Client of a store with topics that keep the newest record of each key. Used on the event loop's
/// thread only. Each callback is called once, after the call has returned.
///
/// Errors of all calls: kOutOfRange if the records were deleted; kResourceExhausted if the store
/// rejects the call because of its rate limit; kUnavailable if the call had no effect. After any
/// other error the call may have been executed.
class keyed_store {
public:
  virtual ~keyed_store() = default;

  /// Reads the newest record of each key, in pages: those after the key `after`, or the first page
  /// if it is empty.
  virtual void read_newest(const std::string& topic, const std::string& after,
                           std::function<void(absl::StatusOr<keyed_snapshot>)> done) = 0;
  /// Reads records from an offset on. Waits for the first one, but returns none after `wait`.
  virtual void read_from(const std::string& topic, std::uint64_t offset,
                         std::chrono::milliseconds wait,
                         std::function<void(absl::StatusOr<keyed_snapshot>)> done) = 0;
  virtual void put(const std::string& topic, const keyed_record& record,
                   std::function<void(absl::Status)> done) = 0;
};

} // namespace parsleylead

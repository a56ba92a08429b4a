#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// A record of a stream of the platform's append-only log.
struct log_record {
  std::uint64_t offset = 0;
  /// Time at which the log appended the record, by the log's clock.
  wall_time append_time{};
  std::string payload;
};

/// The result of a read: a contiguous part of a stream.
struct log_read_result {
  /// Offset of the oldest retained record; equals `next` if there is none.
  std::uint64_t earliest = 0;
  /// Offset at which to continue reading.
  std::uint64_t next = 0;
  std::vector<log_record> records;
};

/// The platform's append-only log. The offsets of a stream start at 1 and increase by one for each
/// record. Calls block and must not be made on a control thread. Implementations are thread-safe.
class log_service {
public:
  virtual ~log_service() = default;

  /// Appends a record and returns its offset. After an error it is unknown whether the record was
  /// appended; to find out, read the stream and look for the record's id. Errors: kUnavailable,
  /// kDeadlineExceeded, with step log_append and the log as peer.
  virtual absl::StatusOr<std::uint64_t> append(std::string_view stream,
                                               std::string_view payload) = 0;

  /// Reads up to `max_records` records from offset `from` on, and waits up to `max_wait` for the
  /// first one. If `from` is below the earliest retained offset, reading starts there. Errors: as
  /// for `append`, with step log_read.
  virtual absl::StatusOr<log_read_result> read(std::string_view stream, std::uint64_t from,
                                               std::size_t max_records,
                                               std::chrono::milliseconds max_wait) = 0;

  /// Ends the calls in progress with an error; later calls fail with kCancelled. Called before the
  /// threads that use the log are stopped, so that they need not wait for time-outs.
  virtual void close() {}
};

} // namespace parsleylead

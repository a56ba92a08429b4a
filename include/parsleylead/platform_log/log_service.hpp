#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// One record of a stream of the platform's append-only log.
struct log_record {
  std::uint64_t offset = 0;
  /// When the log appended the record, by the log's clock.
  wall_time append_time{};
  std::string payload;
};

/// A contiguous part of a stream.
struct log_read_result {
  /// Offset of the oldest record that the log still keeps; equals `next` if it keeps none.
  std::uint64_t earliest = 0;
  /// Offset at which to continue reading.
  std::uint64_t next = 0;
  std::vector<log_record> records;
};

/// The platform's append-only log. Offsets of a stream start at 1 and grow by one a record.
/// Calls block; never call them on a control thread. Implementations are thread-safe.
class log_service {
public:
  virtual ~log_service() = default;

  /// Appends one record and returns its offset. An error does not say whether the record was
  /// appended: read the stream for its id. Errors: kUnavailable, kDeadlineExceeded with step
  /// log_append and the log as peer.
  virtual absl::StatusOr<std::uint64_t> append(std::string_view stream,
                                               std::string_view payload) = 0;

  /// Reads up to `max_records` from `from` on, waiting up to `max_wait` for the first one. Reading
  /// below `earliest` starts at `earliest`. Errors: as for append, with step log_read.
  virtual absl::StatusOr<log_read_result> read(std::string_view stream, std::uint64_t from,
                                               std::size_t max_records,
                                               std::chrono::milliseconds max_wait) = 0;

  /// Ends the calls in progress with an error and refuses later ones (kCancelled). Called before
  /// the threads that use the log are stopped, so that they need not wait for their time-outs.
  virtual void close() {}
};

} // namespace parsleylead

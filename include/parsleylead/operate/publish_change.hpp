#pragma once

#include <chrono>
#include <string>

#include "parsleylead/catalogue/catalogue_replica.hpp"
#include "parsleylead/platform_log/log_service.hpp"

namespace parsleylead {

/// Stream of the platform's log that holds the catalogue.
inline constexpr std::string_view catalogue_stream = "catalogue";

struct publish_options {
  /// How long to look up and retry a change whose append got no reply.
  std::chrono::milliseconds timeout{10'000};
  std::chrono::milliseconds retry_interval{200};
};

/// Outcome of a published change.
struct publish_result {
  catalogue_change change;
  change_result result = change_result::corrupt;
  /// Offset of the change's first record.
  std::uint64_t offset = 0;
  std::string detail;
  /// After a conflict: the last accepted change of the subject, if the log still has it.
  std::optional<applied_change> winner;
};

/// Replays the log up to its end. Blocks. Errors: those of `log_service::read`;
/// kFailedPrecondition if the log no longer holds the whole state.
absl::StatusOr<catalogue_replica> read_catalogue(log_service& log);

/// Applies the records up to and including `last_offset`, or up to the end of the stream if
/// `last_offset` is 0.
absl::Status catch_up(log_service& log, catalogue_replica& replica, std::uint64_t last_offset);

/// Appends a change and reads its result from the log. After a lost reply it looks for the change's
/// id in the log and appends the change again if it is absent; a duplicate append is harmless
/// because replicas check the base revision. Blocks. Errors: kDeadlineExceeded if the result is
/// still unknown after the timeout; kFailedPrecondition as for `read_catalogue`.
absl::StatusOr<publish_result> publish_change(log_service& log, catalogue_replica& replica,
                                              const catalogue_change& change,
                                              const publish_options& options);

} // namespace parsleylead

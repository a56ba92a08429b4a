#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

/// Numbers of messages that processes have sent.
struct message_counts {
  double messages = 0;
  /// By the label `cause`.
  std::map<std::string, double> wasted;

  message_counts& operator+=(const message_counts& other);
};

/// Sums `parsleylead_messages_total` and `parsleylead_wasted_messages_total` of a /metrics page.
message_counts parse_message_counts(std::string_view metrics_text);

/// Returns the increase between two readings of one process. A counter that decreased was reset by
/// a restart, so its whole value counts.
message_counts difference(const message_counts& before, const message_counts& after);

/// Reads /metrics of one process. Blocks. Errors: as for `http_client::send`; kInternal for any
/// status but 200; kNotFound if the process does not count its messages.
absl::StatusOr<message_counts> read_message_counts(const endpoint& operations);

} // namespace parsleylead

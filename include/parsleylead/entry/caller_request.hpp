#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "parsleylead/base/failure.hpp"

namespace parsleylead {

/// A caller's job, as received.
struct caller_request {
  std::string kind;
  /// Request key; required for non-idempotent kinds.
  std::optional<std::string> key;
  /// Time from receipt in which the caller wants the answer; absent: the kind's limit.
  std::optional<std::chrono::milliseconds> budget;
  std::vector<std::string> tasks;
  /// False: answer 202 at once, the caller fetches the result later.
  bool wait = true;
  std::string traceparent;
};

/// Parses the body of POST /v1/jobs. A task is a string, or {"base64": "..."} for binary payloads.
/// Errors: malformed_request at step receive, with the path of the first bad field. Thread-safe.
std::variant<caller_request, failure> parse_caller_request(std::string_view body);

} // namespace parsleylead

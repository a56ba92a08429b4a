#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "parsleylead/base/failure.hpp"

namespace parsleylead {

/// A parsed job request of a caller.
struct caller_request {
  std::string kind;
  /// Request key; required for non-idempotent kinds.
  std::optional<std::string> key;
  /// Time budget, counted from receipt; if absent, the limit of the kind applies.
  std::optional<std::chrono::milliseconds> budget;
  std::vector<std::string> tasks;
  /// If false, the entry replies 202 at once and the caller fetches the result later.
  bool wait = true;
  std::string traceparent;
};

/// Parses the body of POST /v1/jobs. A task is a string, or {"base64": "..."} for binary payloads.
/// Errors: malformed_request at step receive, with the path of the first bad field. Thread-safe.
std::variant<caller_request, failure> parse_caller_request(std::string_view body);

} // namespace parsleylead

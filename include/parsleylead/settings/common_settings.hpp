#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

/// Format and level of the log output on standard error.
struct logging_settings {
  /// "plain" or "json".
  std::string format = "plain";
  /// "debug", "info", "warning" or "error".
  std::string level = "info";
};

/// File to which spans are written, one JSON object a line. An empty path disables tracing.
struct trace_settings {
  std::string path;
};

/// The platform's append-only log.
struct log_service_settings {
  endpoint address;
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds request_timeout{3000};
  /// Time for which the platform keeps a record. At least twice the key lifetime.
  std::chrono::seconds retention{86400};
};

} // namespace parsleylead

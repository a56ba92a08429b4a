#pragma once

#include <string>

#include "parsleylead/base/reason.hpp"
#include "parsleylead/base/step.hpp"

namespace parsleylead {

/// Why and where a request or task ended without an answer.
struct failure {
  reason cause = reason::none;
  step failed_step = step::none;
  /// The other process at that step: a name or "ip:port"; empty if none was involved.
  std::string peer;
  /// A human-readable sentence; never parsed.
  std::string detail;

  bool operator==(const failure&) const = default;
};

/// One line for logs: "reason at step, peer: detail".
std::string to_string(const failure& value);

} // namespace parsleylead

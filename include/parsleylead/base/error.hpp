#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "parsleylead/base/step.hpp"

namespace parsleylead {

/// Creates a status that carries the step that failed and the peer involved.
/// Precondition: `code` is not OK. Thread-safe.
absl::Status make_error(absl::StatusCode code, step failed_step, std::string_view peer,
                        std::string_view message);

/// The step stored by `make_error`, or `step::none`. Thread-safe.
step error_step(const absl::Status& status);

/// The peer stored by `make_error`, or an empty string. Thread-safe.
std::string error_peer(const absl::Status& status);

/// One line for logs: code, step, peer and message. Thread-safe.
std::string describe(const absl::Status& status);

} // namespace parsleylead

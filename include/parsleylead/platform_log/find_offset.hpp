#pragma once

#include <cstdint>
#include <string_view>

#include "parsleylead/platform_log/log_service.hpp"

namespace parsleylead {

/// Finds the offset of the first retained record that was appended at or after `time`, by binary
/// search with reads of one record. Returns the offset after the last record if there is none.
/// Precondition: the append times of the stream do not decrease. Blocks. Errors: as for
/// `log_service::read`.
absl::StatusOr<std::uint64_t> find_offset(log_service& log, std::string_view stream,
                                          wall_time time);

/// Returns the offset after the last record. Blocks. Errors: as for `log_service::read`.
absl::StatusOr<std::uint64_t> find_end(log_service& log, std::string_view stream);

} // namespace parsleylead

#pragma once

#include <cstdint>
#include <string_view>

namespace parsleylead {

/// The processing step of a request in which an error occurred. The numeric values are part of the
/// internal protocol.
enum class step : std::uint16_t {
  none = 0,
  settings = 1,
  receive = 2,
  admit = 3,
  claim = 4,
  place = 5,
  dispatch = 6,
  start = 7,
  run = 8,
  gather = 9,
  answer = 10,
  announce = 11,
  connect = 12,
  resume = 13,
  catalogue = 14,
  log_append = 15,
  log_read = 16,
  drain = 17,
};

/// Stable snake_case name of the step, as shown in answers, logs and metrics.
std::string_view to_string(step value);

/// Maps a wire value to a step; unknown values become `step::none`.
step step_from_wire(std::uint16_t value);

} // namespace parsleylead

#pragma once

#include "object_reader.hpp"
#include "parsleylead/settings/common_settings.hpp"

namespace parsleylead {

// Upper bounds that catch a value written in the wrong unit.
inline constexpr std::int64_t minute_ms = 60'000;
inline constexpr std::int64_t hour_ms = 60 * minute_ms;
inline constexpr std::int64_t day_s = 86'400;
inline constexpr std::int64_t mebibyte = 1024LL * 1024;

inline void read_logging(object_reader reader, logging_settings& target) {
  reader.choice("format", target.format, {"plain", "json"});
  reader.choice("level", target.level, {"debug", "info", "warning", "error"});
  reader.finish();
}

inline void read_traces(object_reader reader, trace_settings& target) {
  reader.text("path", target.path);
  reader.finish();
}

} // namespace parsleylead

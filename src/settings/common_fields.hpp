#pragma once

#include "object_reader.hpp"
#include "parsleylead/settings/common_settings.hpp"

namespace parsleylead {

// Upper bounds of settings, to detect values in a wrong unit.
inline constexpr std::int64_t minute_ms = 60'000;
inline constexpr std::int64_t hour_ms = 60 * minute_ms;
inline constexpr std::int64_t day_s = 86'400;
inline constexpr std::int64_t mebibyte = 1024LL * 1024;

inline void read_logging(object_reader reader, logging_settings& target) {
  reader.choice("format", target.format, {"plain", "json"});
  reader.choice("level", target.level, {"debug", "info", "warning", "error"});
  reader.reject_unknown_fields();
}

inline void read_traces(object_reader reader, trace_settings& target) {
  reader.text("path", target.path);
  reader.reject_unknown_fields();
}

/// Parses the text of a settings file with `read`, which fills in the settings and reports errors.
template <class Settings>
settings_result<Settings> parse_settings(std::string_view text,
                                         void (*read)(object_reader&, Settings&)) {
  settings_result<Settings> result;
  const auto value = parse_settings_text(text, result.errors);
  if (value.is_discarded()) {
    return result;
  }
  Settings settings;
  object_reader reader(&value, "", result.errors);
  read(reader, settings);
  if (result.errors.empty()) {
    result.settings = std::move(settings);
  }
  return result;
}

/// Reads a settings file and parses its text with `parse`.
template <class Settings>
settings_result<Settings> load_settings(const std::string& path,
                                        settings_result<Settings> (*parse)(std::string_view)) {
  settings_result<Settings> result;
  std::string text;
  if (!read_settings_file(path, text, result.errors)) {
    return result;
  }
  return parse(text);
}

} // namespace parsleylead

#pragma once

#include <string>
#include <string_view>

#include "parsleylead/settings/entry_settings.hpp"
#include "parsleylead/settings/setting_error.hpp"

namespace parsleylead {

/// Parses and checks the settings of parsleylead-entry, which are JSON with comments. Durations are
/// integers with the unit as suffix of the field name, for example "probe_after_ms". Optional
/// fields that are absent keep their defaults; unknown and repeated fields are errors. Never
/// throws. Thread-safe.
settings_result<entry_settings> parse_entry_settings(std::string_view text);

/// Reads and parses a settings file. If it cannot be read, the result is one error with an empty
/// path.
settings_result<entry_settings> load_entry_settings(const std::string& path);

} // namespace parsleylead

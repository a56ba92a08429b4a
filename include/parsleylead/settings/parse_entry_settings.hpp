#pragma once

#include <string>
#include <string_view>

#include "parsleylead/settings/entry_settings.hpp"
#include "parsleylead/settings/setting_error.hpp"

namespace parsleylead {

/// Parses and checks the settings of parsleylead-entry: JSON with comments. Times are integers with
/// the unit as suffix of the field's name, for example "lease_ms". Fields that are absent keep
/// their defaults; unknown and repeated fields are faults. Never throws. Thread-safe.
settings_result<entry_settings> parse_entry_settings(std::string_view text);

/// Reads and parses a file. A file that cannot be read is one error with an empty path.
settings_result<entry_settings> load_entry_settings(const std::string& path);

} // namespace parsleylead

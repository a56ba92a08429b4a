#pragma once

#include <string>
#include <string_view>

#include "parsleylead/settings/agent_settings.hpp"
#include "parsleylead/settings/setting_error.hpp"

namespace parsleylead {

/// Parses and checks the settings of parsleylead-agent, which are JSON with comments. Durations are
/// integers with the unit as suffix of the field name, for example "lease_ms". Optional fields that
/// are absent keep their defaults; unknown and repeated fields are errors. Never throws.
/// Thread-safe.
settings_result<agent_settings> parse_agent_settings(std::string_view text);

/// Reads and parses a settings file. If it cannot be read, the result is one error with an empty
/// path.
settings_result<agent_settings> load_agent_settings(const std::string& path);

} // namespace parsleylead

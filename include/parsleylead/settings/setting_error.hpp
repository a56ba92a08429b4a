#pragma once

#include <optional>
#include <string>
#include <vector>

namespace parsleylead {

/// An error in a settings file.
struct setting_error {
  /// Dotted path of the field, for example "sessions.probe_after_ms"; empty for the whole file.
  std::string path;
  /// The value found, as JSON, or a description; "nothing" for a missing field.
  std::string value;
  /// Description of the allowed values.
  std::string allowed;

  bool operator==(const setting_error&) const = default;
};

/// Formats an error as one line: "sessions.probe_after_ms: found -3, allowed: ...".
std::string to_string(const setting_error& error);

/// The settings, or all errors found in the file.
template <class Settings>
struct settings_result {
  /// Set if and only if `errors` is empty.
  std::optional<Settings> settings;
  std::vector<setting_error> errors;

  bool ok() const { return settings.has_value(); }
};

} // namespace parsleylead

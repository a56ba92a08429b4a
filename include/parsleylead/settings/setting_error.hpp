#pragma once

#include <optional>
#include <string>
#include <vector>

namespace parsleylead {

/// One fault of a settings file.
struct setting_error {
  /// Dotted path of the field, for example "sessions.probe_after_ms"; empty for the whole file.
  std::string path;
  /// What was found, as JSON; "nothing" for a missing field.
  std::string value;
  /// What is allowed.
  std::string allowed;

  bool operator==(const setting_error&) const = default;
};

/// One line for people: "sessions.probe_after_ms: found -3, allowed: ...".
std::string to_string(const setting_error& error);

/// The settings, or every fault of the file at once.
template <class Settings>
struct settings_result {
  /// Set if and only if `errors` is empty.
  std::optional<Settings> settings;
  std::vector<setting_error> errors;

  bool ok() const { return settings.has_value(); }
};

} // namespace parsleylead

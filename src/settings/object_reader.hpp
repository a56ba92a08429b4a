#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/settings/setting_error.hpp"

namespace parsleylead {

/// Whether a field may be absent.
enum class presence { optional, required };

/// Inclusive range of an integer field.
struct integer_range {
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

/// Reads the fields of a JSON object into variables and collects all errors. A target keeps its
/// value if its field is absent or invalid. Call `reject_unknown_fields` last.
class object_reader {
public:
  /// A null `value` stands for an absent object, whose required fields are reported as missing.
  /// Precondition: `value` and `errors` outlive the reader.
  object_reader(const nlohmann::json* value, std::string path, std::vector<setting_error>& errors);

  /// Returns a reader for a nested object.
  object_reader object(std::string_view name);

  template <std::integral Integer>
  void integer(std::string_view name, Integer& target, integer_range allowed) {
    std::int64_t found = 0;
    if (read_integer(name, found, allowed)) {
      target = static_cast<Integer>(found);
    }
  }

  /// `name` ends with the unit of the target: "_ms" or "_s".
  template <class Rep, class Period>
  void duration(std::string_view name, std::chrono::duration<Rep, Period>& target,
                integer_range allowed) {
    std::int64_t found = 0;
    if (read_integer(name, found, allowed)) {
      target = std::chrono::duration<Rep, Period>(found);
    }
  }

  /// A number from 0 to 1.
  void ratio(std::string_view name, double& target);
  void text(std::string_view name, std::string& target);
  /// A required name: up to 64 letters, digits, '-', '_' and '.', beginning with a letter or digit.
  void identifier(std::string_view name, std::string& target);
  void choice(std::string_view name, std::string& target,
              const std::vector<std::string_view>& allowed);
  void address(std::string_view name, endpoint& target);
  /// Leaves the target empty if the field is absent. Port 0 is an error, because peers could not
  /// connect to it.
  void optional_address(std::string_view name, std::optional<endpoint>& target);
  void addresses(std::string_view name, std::vector<endpoint>& target, presence required_presence);

  /// Adds an error for the field, for example if a rule for several fields is violated.
  void add_error(std::string_view name, std::string value, std::string allowed);

  /// Adds an error for each field that was not read, with the most similar known name.
  void reject_unknown_fields();

private:
  const nlohmann::json* find(std::string_view name, presence required_presence,
                             std::string_view allowed);
  bool read_integer(std::string_view name, std::int64_t& target, integer_range allowed);
  bool read_address(const nlohmann::json& value, const std::string& path, endpoint& target);
  std::string path_of(std::string_view name) const;

  const nlohmann::json* value_;
  std::string path_;
  std::vector<setting_error>* errors_;
  std::vector<std::string> known_fields_;
};

/// Parses JSON with comments. Malformed JSON adds an error and gives a discarded value. A repeated
/// field of an object adds an error only.
nlohmann::json parse_settings_text(std::string_view text, std::vector<setting_error>& errors);

/// Reads a file. On failure adds an error and returns false.
bool read_settings_file(const std::string& path, std::string& text,
                        std::vector<setting_error>& errors);

/// An address and the name of its field.
struct named_address {
  std::string_view field;
  endpoint address;
};

/// Adds an error for each address that an earlier field has, too. Port 0 means any free port and is
/// never a duplicate.
void require_unique_addresses(object_reader& reader, const std::vector<named_address>& addresses);

} // namespace parsleylead

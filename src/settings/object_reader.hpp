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

/// Reads the fields of one JSON object into variables and collects every fault. A target keeps its
/// value if its field is absent or faulty. Call `finish` last: it reports unknown fields.
class object_reader {
public:
  /// `value` may be null for an absent object; required fields are then reported as missing.
  /// Precondition: `value` and `errors` outlive the reader.
  object_reader(const nlohmann::json* value, std::string path, std::vector<setting_error>& errors);

  /// A reader for a nested object. Precondition: this reader outlives it.
  object_reader object(std::string_view name);

  template <std::integral Integer>
  void integer(std::string_view name, Integer& target, integer_range allowed) {
    std::int64_t found = 0;
    if (read_integer(name, found, allowed)) {
      target = static_cast<Integer>(found);
    }
  }

  /// The unit is part of `name`: "_ms" or "_s".
  template <class Rep, class Period>
  void duration(std::string_view name, std::chrono::duration<Rep, Period>& target,
                integer_range allowed) {
    std::int64_t found = 0;
    if (read_integer(name, found, allowed)) {
      target = std::chrono::duration<Rep, Period>(found);
    }
  }

  void ratio(std::string_view name, double& target);
  void text(std::string_view name, std::string& target);
  /// Letters, digits, '-', '_' and '.', at most 64, beginning with a letter or digit; required.
  void identifier(std::string_view name, std::string& target);
  void choice(std::string_view name, std::string& target,
              const std::vector<std::string_view>& allowed);
  void address(std::string_view name, endpoint& target);
  /// Leaves the target empty if the field is absent. Port 0 is a fault: a peer could not connect.
  void optional_address(std::string_view name, std::optional<endpoint>& target);
  void addresses(std::string_view name, std::vector<endpoint>& target, presence needed);

  /// Reports a fault of a rule that covers several fields. `value` is what was found.
  void fault(std::string_view name, std::string value, std::string allowed);

  void finish();

private:
  const nlohmann::json* find(std::string_view name, presence needed, std::string_view allowed);
  bool read_integer(std::string_view name, std::int64_t& target, integer_range allowed);
  bool read_address(const nlohmann::json& value, const std::string& path, endpoint& target);
  std::string path_of(std::string_view name) const;

  const nlohmann::json* value_;
  std::string path_;
  std::vector<setting_error>* errors_;
  std::vector<std::string> known_;
};

/// Parses JSON with comments; adds an error and returns a discarded value if that fails or if a
/// field is repeated within one object.
nlohmann::json parse_settings_text(std::string_view text, std::vector<setting_error>& errors);

/// Reads a whole file; adds an error and returns false if that fails.
bool read_settings_file(const std::string& path, std::string& text,
                        std::vector<setting_error>& errors);

/// An address together with the field that holds it.
struct named_address {
  std::string_view field;
  endpoint address;
};

/// Reports addresses that are used twice. Port 0 means "any free port" and is never a duplicate.
void require_unique_addresses(object_reader& reader, const std::vector<named_address>& addresses);

} // namespace parsleylead

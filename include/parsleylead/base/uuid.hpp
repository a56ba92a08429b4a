#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// A 128-bit identifier. Version 7 (RFC 9562, section 5.7) starts with its creation time in
/// milliseconds since the Unix epoch.
class uuid {
public:
  uuid() = default;

  /// A version 7 identifier with the given time and 74 random bits. Thread-safe.
  static uuid make_v7(wall_time created);

  /// Parses the 36-character form. Returns nothing if the text has another form.
  static std::optional<uuid> parse(std::string_view text);

  /// Creation time of a version 7 identifier; nothing for other versions.
  std::optional<wall_time> created() const;

  /// The 36-character lower-case form.
  std::string to_string() const;

  /// Written out because clang-tidy 14 reports a null pointer in a defaulted `<=>`.
  auto operator<=>(const uuid& other) const { return bytes_ <=> other.bytes_; }
  bool operator==(const uuid& other) const = default;

private:
  std::array<std::uint8_t, 16> bytes_{};
};

/// A random non-zero number that identifies one start of a process. Thread-safe.
std::uint64_t make_incarnation();

} // namespace parsleylead

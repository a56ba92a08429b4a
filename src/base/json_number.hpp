#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace parsleylead {

/// Returns the value if it is an integer that the type can hold. `json::get` would convert any
/// number without a check. Thread-safe.
template <class Integer>
std::optional<Integer> read_integer(const nlohmann::json& value) {
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    return std::in_range<Integer>(number) ? std::optional(static_cast<Integer>(number))
                                          : std::nullopt;
  }
  if (value.is_number_integer()) {
    const auto number = value.get<std::int64_t>();
    return std::in_range<Integer>(number) ? std::optional(static_cast<Integer>(number))
                                          : std::nullopt;
  }
  return std::nullopt;
}

/// Like `read_integer`, for a field of an object; empty if there is no such field.
template <class Integer>
std::optional<Integer> read_integer_field(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() ? std::nullopt : read_integer<Integer>(*found);
}

} // namespace parsleylead

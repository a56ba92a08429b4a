#pragma once

#include <cstdint>
#include <string>

namespace parsleylead {

/// Identifies one start of an entry process.
struct entry_key {
  std::string name;
  std::uint64_t incarnation = 0;

  // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
  auto operator<=>(const entry_key&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Identifies a session of an entry. Each later session has a higher counter.
struct session_key {
  entry_key entry;
  std::uint64_t counter = 0;

  // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
  auto operator<=>(const session_key&) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace parsleylead

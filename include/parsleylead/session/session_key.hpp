#pragma once

#include <cstdint>
#include <string>

namespace parsleylead {

/// One start of one entry process.
struct entry_key {
  std::string name;
  std::uint64_t incarnation = 0;

  // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
  auto operator<=>(const entry_key&) const = default; // NOLINT(modernize-use-nullptr)
};

/// One session of an entry; the counter is higher for each later session.
struct session_key {
  entry_key entry;
  std::uint64_t counter = 0;

  // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
  auto operator<=>(const session_key&) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace parsleylead

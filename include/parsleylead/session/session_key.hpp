#pragma once

#include <cstdint>
#include <string>

namespace parsleylead {

/// One start of one entry process.
struct entry_key {
  std::string name;
  std::uint64_t incarnation = 0;

  auto operator<=>(const entry_key&) const = default;
};

/// One session of an entry; the counter is higher for each later session.
struct session_key {
  entry_key entry;
  std::uint64_t counter = 0;

  auto operator<=>(const session_key&) const = default;
};

} // namespace parsleylead

#pragma once

#include <string_view>

namespace parsleylead {

/// Ends the process with a message on standard error: an invariant of the program is broken, and
/// running on could break a promise to callers. Thread-safe.
[[noreturn]] void invariant_violated(std::string_view what);

/// Checks an invariant, also in release builds. Thread-safe.
inline void check_invariant(bool holds, std::string_view what) {
  if (!holds) {
    invariant_violated(what);
  }
}

} // namespace parsleylead

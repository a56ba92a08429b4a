#pragma once

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace parsleylead {

/// Ends the process with a message on standard error: an invariant of the program is broken, and
/// running on could break a promise to callers. Thread-safe.
[[noreturn]] inline void invariant_violated(std::string_view what) {
  std::fprintf(stderr, "invariant violated: %.*s\n", static_cast<int>(what.size()), what.data());
  std::abort();
}

/// Checks an invariant, also in release builds. Thread-safe.
inline void check_invariant(bool holds, std::string_view what) {
  if (!holds) {
    invariant_violated(what);
  }
}

} // namespace parsleylead

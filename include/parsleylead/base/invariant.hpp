#pragma once

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace parsleylead {

/// Prints a message to standard error and aborts: with a broken invariant the process could give
/// callers wrong results. Thread-safe.
[[noreturn]] inline void invariant_violated(std::string_view message) {
  std::fprintf(stderr, "invariant violated: %.*s\n", static_cast<int>(message.size()),
               message.data());
  std::abort();
}

/// Aborts if an invariant does not hold, in release builds too. Thread-safe.
inline void check_invariant(bool holds, std::string_view message) {
  if (!holds) {
    invariant_violated(message);
  }
}

} // namespace parsleylead

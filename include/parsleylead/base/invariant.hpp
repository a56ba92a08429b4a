#pragma once

#include <cstdio>
#include <cstdlib>

namespace parsleylead {

/// Aborts the process with `message` on standard error if `holds` is false, in release builds too.
/// For invariants whose violation would break a promise to callers. Thread-safe.
inline void check_invariant(bool holds, const char* message) {
  if (!holds) {
    std::fprintf(stderr, "invariant violated: %s\n", message);
    std::abort();
  }
}

} // namespace parsleylead

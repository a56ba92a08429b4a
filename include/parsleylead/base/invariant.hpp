#pragma once

#include <cstdio>
#include <cstdlib>

namespace parsleylead {

/// Ends the process when a guarantee would otherwise be broken; active in every build mode.
/// Thread-safe.
inline void check_invariant(bool holds, const char* rule) {
  if (!holds) {
    std::fputs("invariant violated: ", stderr);
    std::fputs(rule, stderr);
    std::fputs("\n", stderr);
    std::abort();
  }
}

} // namespace parsleylead

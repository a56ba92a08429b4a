#pragma once

namespace parsleylead {

/// Exit codes of the command-line tools (docs/design.md, section 2).
enum class exit_code : int { success = 0, refused = 1, usage = 2, unreachable = 3, timed_out = 4 };

} // namespace parsleylead

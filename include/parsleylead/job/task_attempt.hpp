#pragma once

#include <cstdint>

namespace parsleylead {

/// Identifies one dispatch of a task, so that a late result is not attributed to a later attempt.
struct task_attempt {
  std::uint32_t index = 0;
  /// 1 for the first dispatch of the task.
  std::uint32_t attempt = 0;

  auto operator<=>(const task_attempt&) const = default;
};

} // namespace parsleylead

#pragma once

#include <cstdint>

namespace parsleylead {

/// One dispatch of one task: a result of an earlier attempt never counts for a later one.
struct task_attempt {
  std::uint32_t index = 0;
  /// 1 for the first dispatch of the task.
  std::uint32_t attempt = 0;

  auto operator<=>(const task_attempt&) const = default;
};

} // namespace parsleylead

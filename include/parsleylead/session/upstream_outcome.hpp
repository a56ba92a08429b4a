#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "parsleylead/base/failure.hpp"

namespace parsleylead {

/// How a dispatched task ended at the agent.
enum class task_end : std::uint8_t {
  /// Ran; `answer` is set.
  finished,
  /// Ran or may have run; `error` is set.
  failed,
  /// Did not run and never will; `error` is set.
  not_run,
};

/// Outcome of one task, which the agent retains until the entry acknowledges it.
struct upstream_outcome {
  task_end end = task_end::not_run;
  std::string answer;
  failure error;
  /// Time at the upstream.
  std::chrono::microseconds run_time{0};

  bool operator==(const upstream_outcome&) const = default;
};

} // namespace parsleylead

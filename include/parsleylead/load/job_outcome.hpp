#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace parsleylead {

/// How a job of the load ended, as its caller saw it.
enum class job_end : std::uint8_t {
  complete,
  /// Ended as failed; tasks may have run.
  failed,
  /// Refused as not run.
  refused,
  cancelled,
  /// An answer that breaks the contract: count, order, echo, or a partial answer.
  wrong,
  /// The connection broke or timed out before an answer came.
  lost,
  /// No entry accepted a connection; nothing was sent.
  unreachable,
};

std::string_view to_string(job_end value);

struct job_outcome {
  job_end end = job_end::lost;
  /// The reason code of the answer, or what was wrong.
  std::string reason;
  /// From the intended arrival to the answer.
  std::chrono::nanoseconds response_time{0};
  /// How often the job was sent again with the same key after a lost answer.
  std::uint32_t resubmissions = 0;
};

} // namespace parsleylead

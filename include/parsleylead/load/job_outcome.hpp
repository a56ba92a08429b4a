#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace parsleylead {

/// How a job of a load test ended from the caller's point of view.
enum class job_end : std::uint8_t {
  complete,
  /// Ended as failed; tasks may have run.
  failed,
  /// Refused; no task has run.
  refused,
  cancelled,
  /// The answer breaks the contract: wrong number or order of answers, wrong echo, or partial.
  wrong,
  /// The connection was closed or timed out before an answer arrived.
  lost,
  /// No entry accepted a connection; nothing was sent.
  unreachable,
};

std::string_view to_string(job_end value);

struct job_outcome {
  job_end end = job_end::lost;
  /// Reason code of the answer, or a code for the breach of contract.
  std::string reason;
  /// From the intended arrival to the answer.
  std::chrono::nanoseconds response_time{0};
  /// Number of times the job was resent with the same key after a lost answer.
  std::uint32_t resubmissions = 0;
};

} // namespace parsleylead

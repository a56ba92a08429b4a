#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "parsleylead/base/failure.hpp"
#include "parsleylead/job/job.hpp"

namespace parsleylead {

/// HTTP response to a caller.
struct job_reply {
  int status = 0;
  /// JSON object.
  std::string body;
};

/// Status 200 with all answers in task order. Answers that are not valid UTF-8 become {"base64":
/// "..."}.
job_reply make_complete_reply(std::string_view submission, const std::vector<std::string>& answers);

/// Status 202 for a job that is still open.
job_reply make_open_reply(std::string_view submission, std::size_t tasks, std::size_t finished);

/// The state is "refused", "failed" or "cancelled", derived from `certainty` and the error's cause;
/// the status follows docs/CALLERS.md.
job_reply make_failure_reply(std::string_view submission, run_certainty certainty,
                             const failure& error);

} // namespace parsleylead

#pragma once

#include <string_view>

#include "parsleylead/load/job_outcome.hpp"
#include "parsleylead/load/job_spec.hpp"
#include "parsleylead/tool/http_client.hpp"

namespace parsleylead {

/// Checks an entry's answer to a job: status and state agree, as many answers as tasks, in order,
/// each with its own echo and, if the upstream returns it, this submission's id. An answer element
/// is an object, or a string that contains one. Sets `end` and `reason` only. Thread-safe.
job_outcome validate_answer(const job_spec& job, const http_response& response);

/// Checks an upstream's answer to a single task. Thread-safe.
job_outcome validate_task_answer(const task_spec& task, const http_response& response);

/// The field "submission" of an entry's answer, or an empty string. Thread-safe.
std::string submission_of(std::string_view body);

/// The field "state" of an entry's answer, or an empty string. Thread-safe.
std::string state_of(std::string_view body);

} // namespace parsleylead

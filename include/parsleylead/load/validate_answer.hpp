#pragma once

#include <string_view>

#include "parsleylead/load/job_outcome.hpp"
#include "parsleylead/load/job_spec.hpp"
#include "parsleylead/tool/http_client.hpp"

namespace parsleylead {

/// Checks an entry's answer to a job: the status must agree with the state, and there must be one
/// answer for each task, in order, with the echo of its task and, if the upstream returns one, the
/// id of this submission. An element of the answers is an object, or a string that contains one.
/// Sets only `end` and `reason`. Thread-safe.
job_outcome validate_answer(const job_spec& job, const http_response& response);

/// Checks an upstream's answer to a single task. Thread-safe.
job_outcome validate_task_answer(const task_spec& task, const http_response& response);

/// Returns the field "submission" of an entry's answer, or an empty string. Thread-safe.
std::string submission_of(std::string_view body);

/// Returns the field "state" of an entry's answer, or an empty string. Thread-safe.
std::string state_of(std::string_view body);

} // namespace parsleylead

#include "parsleylead/load/validate_answer.hpp"

#include <nlohmann/json.hpp>

namespace parsleylead {
namespace {

using nlohmann::json;

constexpr int status_complete = 200;
constexpr int status_cancelled = 499;

std::string string_field(const json& object, const char* field) {
  const auto found = object.is_object() ? object.find(field) : object.end();
  const bool is_text = object.is_object() && found != object.end() && found->is_string();
  return is_text ? found->get<std::string>() : std::string();
}

json parse(std::string_view body) {
  return json::parse(body, nullptr, false);
}

job_outcome invalid_answer(std::string code) {
  return {job_end::wrong, std::move(code), {}, 0};
}

/// Returns a code for the breach of contract, or an empty string if the element answers the task.
std::string check_element(const json& element, const task_spec& task,
                          const std::string& submission) {
  const json answer = element.is_string() ? parse(element.get_ref<const std::string&>()) : element;
  if (!answer.is_object()) {
    return "malformed_element";
  }
  if (string_field(answer, "echo") != task.echo) {
    return "echo_of_another_task";
  }
  const auto answered_submission = string_field(answer, "submission");
  if (!submission.empty() && !answered_submission.empty() && answered_submission != submission) {
    return "answer_to_another_submission";
  }
  return {};
}

job_outcome validate_complete(const job_spec& job, const json& body, int status) {
  if (status != status_complete) {
    return invalid_answer("complete_with_status_" + std::to_string(status));
  }
  const auto answers = body.find("answers");
  if (answers == body.end() || !answers->is_array() || answers->size() != job.tasks.size()) {
    return invalid_answer("number_of_answers");
  }
  const auto submission = string_field(body, "submission");
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    if (auto breach = check_element((*answers)[i], job.tasks[i], submission); !breach.empty()) {
      return invalid_answer(std::move(breach));
    }
  }
  return {job_end::complete, "", {}, 0};
}

job_outcome validate_incomplete(const json& body, const std::string& state, int status) {
  if (body.contains("answers")) {
    return invalid_answer("partial_answer");
  }
  if (status == status_complete) {
    return invalid_answer("status_200_without_answer");
  }
  auto reason = string_field(body, "reason");
  if (state == "cancelled" || status == status_cancelled) {
    return {job_end::cancelled, reason, {}, 0};
  }
  if (reason.empty()) {
    reason = "http_" + std::to_string(status);
  }
  if (state == "refused") {
    return {job_end::refused, std::move(reason), {}, 0};
  }
  return {job_end::failed, std::move(reason), {}, 0};
}

} // namespace

job_outcome validate_answer(const job_spec& job, const http_response& response) {
  const auto body = parse(response.body);
  if (!body.is_object()) {
    if (response.status == status_complete) {
      return invalid_answer("malformed_answer");
    }
    return {job_end::failed, "http_" + std::to_string(response.status), {}, 0};
  }
  const auto state = string_field(body, "state");
  if (state == "complete") {
    return validate_complete(job, body, response.status);
  }
  return validate_incomplete(body, state, response.status);
}

job_outcome validate_task_answer(const task_spec& task, const http_response& response) {
  if (response.status != status_complete) {
    return {job_end::failed, "http_" + std::to_string(response.status), {}, 0};
  }
  if (auto breach = check_element(parse(response.body), task, ""); !breach.empty()) {
    return invalid_answer(std::move(breach));
  }
  return {job_end::complete, "", {}, 0};
}

std::string submission_of(std::string_view body) {
  return string_field(parse(body), "submission");
}

std::string state_of(std::string_view body) {
  return string_field(parse(body), "state");
}

} // namespace parsleylead

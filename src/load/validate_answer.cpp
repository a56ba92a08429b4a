#include "parsleylead/load/validate_answer.hpp"

#include <nlohmann/json.hpp>

namespace parsleylead {
namespace {

using nlohmann::json;

constexpr int status_complete = 200;
constexpr int status_cancelled = 499;

std::string text_of(const json& object, const char* field) {
  const auto found = object.is_object() ? object.find(field) : object.end();
  const bool is_text = object.is_object() && found != object.end() && found->is_string();
  return is_text ? found->get<std::string>() : std::string();
}

json parse(std::string_view body) {
  return json::parse(body, nullptr, false);
}

job_outcome wrong(std::string why) {
  return {job_end::wrong, std::move(why), {}, 0};
}

/// Empty if the element answers the task.
std::string fault_of(const json& element, const task_spec& task, const std::string& submission) {
  const json answer = element.is_string() ? parse(element.get_ref<const std::string&>()) : element;
  if (!answer.is_object()) {
    return "malformed_element";
  }
  if (text_of(answer, "echo") != task.echo) {
    return "echo_of_another_task";
  }
  const auto answered = text_of(answer, "submission");
  if (!submission.empty() && !answered.empty() && answered != submission) {
    return "answer_to_another_submission";
  }
  return {};
}

job_outcome judge_complete(const job_spec& job, const json& body, int status) {
  if (status != status_complete) {
    return wrong("complete_with_status_" + std::to_string(status));
  }
  const auto answers = body.find("answers");
  if (answers == body.end() || !answers->is_array() || answers->size() != job.tasks.size()) {
    return wrong("number_of_answers");
  }
  const auto submission = text_of(body, "submission");
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    if (auto fault = fault_of((*answers)[i], job.tasks[i], submission); !fault.empty()) {
      return wrong(std::move(fault));
    }
  }
  return {job_end::complete, "", {}, 0};
}

job_outcome judge_incomplete(const json& body, const std::string& state, int status) {
  if (body.contains("answers")) {
    return wrong("partial_answer");
  }
  if (status == status_complete) {
    return wrong("status_200_without_answer");
  }
  auto reason = text_of(body, "reason");
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
      return wrong("malformed_answer");
    }
    return {job_end::failed, "http_" + std::to_string(response.status), {}, 0};
  }
  const auto state = text_of(body, "state");
  if (state == "complete") {
    return judge_complete(job, body, response.status);
  }
  return judge_incomplete(body, state, response.status);
}

job_outcome validate_task_answer(const task_spec& task, const http_response& response) {
  if (response.status != status_complete) {
    return {job_end::failed, "http_" + std::to_string(response.status), {}, 0};
  }
  if (auto fault = fault_of(parse(response.body), task, ""); !fault.empty()) {
    return wrong(std::move(fault));
  }
  return {job_end::complete, "", {}, 0};
}

std::string submission_of(std::string_view body) {
  return text_of(parse(body), "submission");
}

std::string state_of(std::string_view body) {
  return text_of(parse(body), "state");
}

} // namespace parsleylead

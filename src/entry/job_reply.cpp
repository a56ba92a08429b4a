#include "parsleylead/entry/job_reply.hpp"

#include <nlohmann/json.hpp>

#include "parsleylead/base/base64.hpp"

namespace parsleylead {
namespace {

using nlohmann::json;

// nlohmann::json detects invalid UTF-8 only on serialization, so each answer is serialized once
// here.
json answer_to_json(const std::string& answer) {
  json value = answer;
  try {
    static_cast<void>(value.dump());
    return value;
  } catch (const json::type_error&) {
    return {{"base64", encode_base64(answer)}};
  }
}

std::string to_json_string(std::string_view text) {
  const json value = text;
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

int refusal_status(reason cause) {
  switch (cause) {
  case reason::malformed_request:
  case reason::invalid_key:
  case reason::job_too_large:
    return 400;
  case reason::unknown_kind:
  case reason::unknown_submission:
    return 404;
  case reason::duplicate_key:
    return 409;
  case reason::key_expired:
  case reason::answer_expired:
    return 410;
  case reason::rate_limited:
  case reason::queue_full:
    return 429;
  case reason::cancelled:
    return 499;
  case reason::deadline_exceeded:
    return 504;
  default:
    return 503;
  }
}

int failure_status(reason cause) {
  switch (cause) {
  case reason::cancelled:
    return 499;
  case reason::duplicate_key:
    return 409;
  case reason::answer_expired:
    return 410;
  case reason::unknown_submission:
    return 404;
  case reason::deadline_exceeded:
    return 504;
  default:
    return 502;
  }
}

std::string_view state_name(run_certainty certainty, reason cause) {
  if (cause == reason::cancelled) {
    return "cancelled";
  }
  return certainty == run_certainty::not_run ? "refused" : "failed";
}

} // namespace

job_reply make_complete_reply(std::string_view submission,
                              const std::vector<std::string>& answers) {
  json list = json::array();
  for (const auto& answer : answers) {
    list.push_back(answer_to_json(answer));
  }
  const json body = {
      {"submission", submission}, {"state", "complete"}, {"answers", std::move(list)}};
  return {200, body.dump()};
}

job_reply make_open_reply(std::string_view submission, std::size_t tasks, std::size_t finished) {
  const json body = {
      {"submission", submission}, {"state", "open"}, {"tasks", tasks}, {"finished", finished}};
  return {202, body.dump()};
}

job_reply make_failure_reply(std::string_view submission, run_certainty certainty,
                             const failure& error) {
  std::string body = "{\"submission\":" + to_json_string(submission);
  body += ",\"state\":" + to_json_string(state_name(certainty, error.cause));
  body += ",\"run\":" + to_json_string(to_string(certainty));
  body += ",\"reason\":" + to_json_string(to_string(error.cause));
  body += ",\"step\":" + to_json_string(to_string(error.failed_step));
  body += ",\"peer\":" + to_json_string(error.peer);
  body += ",\"detail\":" + to_json_string(error.detail) + "}";
  const int status = certainty == run_certainty::not_run ? refusal_status(error.cause)
                                                         : failure_status(error.cause);
  return {status, std::move(body)};
}

} // namespace parsleylead

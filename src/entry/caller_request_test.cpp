#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "parsleylead/entry/caller_request.hpp"
#include "parsleylead/entry/job_reply.hpp"

namespace parsleylead {
namespace {

std::string problem_of(std::string_view body) {
  const auto parsed = parse_caller_request(body);
  const auto* problem = std::get_if<failure>(&parsed);
  return problem == nullptr ? "" : problem->detail;
}

TEST_CASE("a job request is parsed with all fields") {
  const auto parsed = parse_caller_request(
      R"({"kind":"quote","key":"k","budget_ms":500,"wait":false,"tasks":["a",{"base64":"AP8="}]})");
  const auto& request = std::get<caller_request>(parsed);
  CHECK(request.kind == "quote");
  CHECK(request.key == "k");
  CHECK(request.budget == std::chrono::milliseconds(500));
  CHECK_FALSE(request.wait);
  CHECK(request.tasks == std::vector<std::string>{"a", std::string("\0\xff", 2)});
}

TEST_CASE("malformed job requests name the bad field") {
  // Guards against accepting a request with a misread field.
  CHECK(problem_of("") == "the body is not a JSON object");
  CHECK(problem_of(R"({"tasks":["a"]})") == "kind: missing");
  CHECK(problem_of(R"({"kind":"a"})") == "tasks: missing");
  CHECK(problem_of(R"({"kind":"a","tasks":[]})").starts_with("tasks: expected"));
  CHECK(problem_of(R"({"kind":"a","tasks":["x",1]})").starts_with("tasks[1]: "));
  CHECK(problem_of(R"({"kind":"a","tasks":["x"],"budget_ms":0})").starts_with("budget_ms: "));
  CHECK(problem_of(R"({"kind":"a","tasks":["x"],"budget_ms":1e300})").starts_with("budget_ms: "));
  CHECK(problem_of(R"({"kind":"a","tasks":["x"],"retry":1})").starts_with("retry: unknown field"));
}

TEST_CASE("binary answers survive the JSON answer") {
  // Guards against answers that are silently altered by UTF-8 replacement.
  const auto reply = make_complete_reply("s", {"text", std::string("\0\xff", 2)});
  const auto body = nlohmann::json::parse(reply.body);
  CHECK(body["answers"][0] == "text");
  CHECK(body["answers"][1]["base64"] == "AP8=");
}

TEST_CASE("failure replies state whether the job may have run") {
  const failure error{reason::agent_lost, step::run, "worker-\xff", "gone"};
  const auto reply = make_failure_reply("s", run_certainty::may_have_run, error);
  const auto body = nlohmann::json::parse(reply.body);
  CHECK(reply.status == 502);
  CHECK(body["state"] == "failed");
  CHECK(body["run"] == "may_have_run");
  CHECK(body["reason"] == "agent_lost");
  CHECK(body["step"] == "run");
  CHECK(make_failure_reply("s", run_certainty::not_run, {reason::queue_full}).status == 429);
  CHECK(make_failure_reply("s", run_certainty::not_run, {reason::deadline_exceeded}).status == 504);
}

} // namespace
} // namespace parsleylead

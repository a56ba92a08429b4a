#include "parsleylead/entry/caller_request.hpp"

#include <nlohmann/json.hpp>

#include "parsleylead/base/base64.hpp"

namespace parsleylead {
namespace {

using nlohmann::json;

constexpr std::int64_t max_budget_ms = 24LL * 3600 * 1000;

failure malformed(std::string detail) {
  return {reason::malformed_request, step::receive, "", std::move(detail)};
}

// Returns an error text, or an empty string if the value is valid.
std::string read_task(const json& value, std::string& task) {
  if (value.is_string()) {
    task = value.get<std::string>();
    return "";
  }
  if (value.is_object() && value.size() == 1 && value.contains("base64") &&
      value["base64"].is_string()) {
    auto bytes = decode_base64(value["base64"].get<std::string>());
    if (bytes) {
      task = std::move(*bytes);
      return "";
    }
  }
  return "expected a string or {\"base64\": \"...\"}";
}

std::string read_tasks(const json& value, caller_request& request) {
  if (!value.is_array() || value.empty()) {
    return "tasks: expected an array with at least one task";
  }
  request.tasks.resize(value.size());
  for (std::size_t i = 0; i < value.size(); ++i) {
    const auto error = read_task(value[i], request.tasks[i]);
    if (!error.empty()) {
      return "tasks[" + std::to_string(i) + "]: " + error;
    }
  }
  return "";
}

std::string read_field(const std::string& name, const json& value, caller_request& request) {
  if (name == "kind") {
    if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
      return "kind: expected a non-empty string";
    }
    request.kind = value.get<std::string>();
    return "";
  }
  if (name == "key") {
    if (!value.is_string()) {
      return "key: expected a string";
    }
    request.key = value.get<std::string>();
    return "";
  }
  if (name == "budget_ms") {
    if (!value.is_number_integer() || value < 1 || value > max_budget_ms) {
      return "budget_ms: expected an integer from 1 to " + std::to_string(max_budget_ms);
    }
    request.budget = std::chrono::milliseconds(value.get<std::int64_t>());
    return "";
  }
  if (name == "wait") {
    if (!value.is_boolean()) {
      return "wait: expected true or false";
    }
    request.wait = value.get<bool>();
    return "";
  }
  if (name == "tasks") {
    return read_tasks(value, request);
  }
  return name + ": unknown field; allowed: kind, key, budget_ms, tasks, wait";
}

} // namespace

std::variant<caller_request, failure> parse_caller_request(std::string_view body) {
  const auto document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return malformed("the body is not a JSON object");
  }
  caller_request request;
  for (const auto& [name, value] : document.items()) {
    auto error = read_field(name, value, request);
    if (!error.empty()) {
      return malformed(std::move(error));
    }
  }
  if (request.kind.empty()) {
    return malformed("kind: missing");
  }
  if (request.tasks.empty()) {
    return malformed("tasks: missing");
  }
  return request;
}

} // namespace parsleylead

#include "parsleylead/load/job_file.hpp"

#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "parsleylead/base/error.hpp"

namespace parsleylead {
namespace {

using nlohmann::json;

absl::Status invalid_field(std::string_view field, std::string_view allowed) {
  return make_error(absl::StatusCode::kInvalidArgument, step::settings, "",
                    "job file: " + std::string(field) + ": expected " + std::string(allowed));
}

absl::Status check_fields(const json& job) {
  constexpr auto known = std::to_array<std::string_view>({"kind", "key", "budget_ms", "tasks"});
  for (const auto& item : job.items()) {
    if (std::find(known.begin(), known.end(), item.key()) == known.end()) {
      return invalid_field(item.key(), "only kind, key, budget_ms and tasks");
    }
  }
  const auto is_string = [&](const char* name) {
    return job.contains(name) && job[name].is_string();
  };
  if (!is_string("kind") || job["kind"].get_ref<const std::string&>().empty()) {
    return invalid_field("kind", "a string that is not empty");
  }
  if (job.contains("key") && !is_string("key")) {
    return invalid_field("key", "a string");
  }
  const bool has_budget = job.contains("budget_ms") && job["budget_ms"].is_number_unsigned();
  constexpr std::uint64_t max_budget_ms = 86'400'000; // one day
  if (!has_budget || job["budget_ms"] == 0 || job["budget_ms"] > max_budget_ms) {
    return invalid_field("budget_ms", "an integer from 1 to 86400000");
  }
  if (!job.contains("tasks") || !job["tasks"].is_array() || job["tasks"].empty()) {
    return invalid_field("tasks", "a list of at least one task");
  }
  return absl::OkStatus();
}

/// Entries accept strings and {"base64":"..."}; any other value is sent as its JSON text.
json make_payload(const json& task) {
  const bool is_valid_payload =
      task.is_string() || (task.is_object() && task.size() == 1 && task.contains("base64"));
  return is_valid_payload ? task : json(task.dump());
}

std::string to_text(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

absl::StatusOr<job_file> job_file::parse(std::string_view text) {
  const auto job = json::parse(text, nullptr, false, true);
  if (!job.is_object()) {
    return invalid_field("the whole file", "one JSON object");
  }
  if (auto status = check_fields(job); !status.ok()) {
    return status;
  }
  job_file file;
  file.kind_ = job["kind"].get<std::string>();
  file.key_ = job.value("key", std::string());
  file.budget_ = std::chrono::milliseconds(job["budget_ms"].get<std::int64_t>());
  auto payloads = json::array();
  for (const auto& task : job["tasks"]) {
    payloads.push_back(make_payload(task));
  }
  file.tasks_ = payloads.dump();
  return file;
}

std::string job_file::body(bool wait) const {
  json body = {{"kind", kind_}, {"budget_ms", budget_.count()}, {"wait", wait}};
  if (!key_.empty()) {
    body["key"] = key_;
  }
  body["tasks"] = json::parse(tasks_);
  return body.dump();
}

absl::StatusOr<job_file> load_job_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf())) {
    return make_error(absl::StatusCode::kInvalidArgument, step::settings, "",
                      "job file \"" + path + "\" cannot be read or is empty");
  }
  return job_file::parse(content.str());
}

std::string describe_answer(const std::string& body) {
  const auto answer = json::parse(body, nullptr, false);
  if (!answer.is_object()) {
    return body + "\n";
  }
  std::string text;
  for (const auto* field : {"submission", "state", "run", "reason", "step", "peer", "detail"}) {
    if (answer.contains(field) && answer[field] != "") {
      text.append(field).append(": ").append(to_text(answer[field])).append("\n");
    }
  }
  if (answer.contains("answers")) {
    std::size_t index = 0;
    for (const auto& element : answer["answers"]) {
      text.append(std::to_string(index++)).append(": ").append(to_text(element)).append("\n");
    }
  }
  return text;
}

} // namespace parsleylead

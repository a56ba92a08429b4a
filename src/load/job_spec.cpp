#include "parsleylead/load/job_spec.hpp"

#include <nlohmann/json.hpp>

namespace parsleylead {
namespace {

nlohmann::json task_json(const task_spec& task) {
  return {{"sleep_ms", task.run_time.count()}, {"echo", task.echo}};
}

} // namespace

std::string task_payload(const task_spec& task) {
  return task_json(task).dump();
}

std::string job_body(const job_spec& job, const std::string& key, bool wait) {
  nlohmann::json body = {{"kind", job.kind}, {"budget_ms", job.budget.count()}, {"wait", wait}};
  if (!key.empty()) {
    body["key"] = key;
  }
  auto& tasks = body["tasks"] = nlohmann::json::array();
  for (const auto& task : job.tasks) {
    tasks.push_back(task_payload(task));
  }
  return body.dump();
}

} // namespace parsleylead

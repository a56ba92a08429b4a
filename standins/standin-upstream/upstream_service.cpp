#include "upstream_service.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

using json = nlohmann::json;
using std::chrono::milliseconds;

task_reply upstream_service::run(const task_request& request) {
  const auto document = json::parse(request.body, nullptr, false);
  auto time = std::chrono::duration<double, std::milli>(default_time_);
  std::string echo = request.body;
  if (document.is_object()) {
    if (const auto position = document.find("sleep_ms");
        position != document.end() && position->is_number()) {
      time = std::chrono::duration<double, std::milli>(position->get<double>());
    }
    if (const auto position = document.find("echo");
        position != document.end() && position->is_string()) {
      echo = position->get<std::string>();
    }
  }
  milliseconds delay{0};
  {
    const std::lock_guard lock(mutex_);
    if (faults_.refuse) {
      return {503, R"({"error":"refused"})", false};
    }
    count_start(request, echo);
    delay = faults_.delay;
  }
  sleep(time / speed_ + delay);
  const json answer{{"echo", echo},
                    {"submission", request.submission},
                    {"task", request.task},
                    {"upstream", name_}};
  const std::lock_guard lock(mutex_);
  --running_tasks_;
  state_changed_.notify_all();
  task_reply reply{200, answer.dump(-1, ' ', false, json::error_handler_t::replace), false};
  if (faults_.fail_all) {
    reply = {500, R"({"error":"failed"})", false};
  }
  if (faults_.drop_reply > 0) {
    --faults_.drop_reply;
    reply.drop = true;
  }
  return reply;
}

bool upstream_service::record_starts(const std::string& path) {
  starts_file_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  return starts_file_ >= 0;
}

bool upstream_service::leaving() const {
  const std::lock_guard lock(mutex_);
  return faults_.leave;
}

void upstream_service::count_start(const task_request& request, const std::string& echo) {
  if (starts_file_ >= 0) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto line = std::to_string(std::chrono::duration_cast<milliseconds>(now).count()) + " " +
                      request.submission + " " + request.task + " " + echo + "\n";
    if (write(starts_file_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
      std::abort(); // Tests would draw wrong conclusions from an incomplete file.
    }
  }
  ++total_starts_;
  ++starts_by_task_[{request.submission, request.task}];
  if (!request.key.empty()) {
    ++starts_by_key_[request.key];
  }
  ++running_tasks_;
  max_running_tasks_ = std::max(max_running_tasks_, running_tasks_);
}

void upstream_service::sleep(std::chrono::duration<double, std::milli> time) {
  std::this_thread::sleep_for(time);
  std::unique_lock lock(mutex_);
  state_changed_.wait(lock, [this] { return !faults_.hang; });
}

bool upstream_service::control(const std::string& body) {
  const auto document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return false;
  }
  const std::lock_guard lock(mutex_);
  auto new_faults = faults_;
  try {
    new_faults.fail_all = document.value("fail_all", new_faults.fail_all);
    new_faults.hang = document.value("hang", new_faults.hang);
    new_faults.leave = document.value("leave", new_faults.leave);
    new_faults.refuse = document.value("refuse", new_faults.refuse);
    new_faults.drop_reply = document.value("drop_reply", new_faults.drop_reply);
    new_faults.delay = milliseconds(document.value("delay_ms", new_faults.delay.count()));
  } catch (const json::exception&) {
    return false;
  }
  faults_ = new_faults;
  state_changed_.notify_all();
  return true;
}

std::string upstream_service::starts() const {
  const std::lock_guard lock(mutex_);
  auto repeated = json::array();
  for (const auto& [task, count] : starts_by_task_) {
    if (count > 1) {
      repeated.push_back({{"submission", task.first}, {"task", task.second}, {"starts", count}});
    }
  }
  auto repeated_keys = json::array();
  for (const auto& [key, count] : starts_by_key_) {
    if (count > 1) {
      repeated_keys.push_back({{"key", key}, {"starts", count}});
    }
  }
  const json document{{"upstream", name_},
                      {"total", total_starts_},
                      {"running", running_tasks_},
                      {"max_running", max_running_tasks_},
                      {"tasks", starts_by_task_.size()},
                      {"repeated", repeated.size()},
                      {"repeated_tasks", repeated},
                      {"keys", starts_by_key_.size()},
                      {"repeated_keys", repeated_keys}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

void upstream_service::wait_idle() {
  std::unique_lock lock(mutex_);
  state_changed_.wait(lock, [this] { return running_tasks_ == 0; });
}

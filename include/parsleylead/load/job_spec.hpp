#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace parsleylead {

/// One task of a load test. The upstream stand-in sleeps for `run_time` and then returns `echo`.
struct task_spec {
  std::chrono::milliseconds run_time{0};
  /// Unique in the run, so that an answer to a different task or job is detected.
  std::string echo;

  bool operator==(const task_spec&) const = default;
};

/// One job of a load test.
struct job_spec {
  /// Scheduled arrival, relative to the start of the run.
  std::chrono::nanoseconds arrival{0};
  std::string kind;
  bool idempotent = true;
  std::chrono::milliseconds budget{0};
  std::vector<task_spec> tasks;
  /// Cancelled after `cancel_after`.
  bool cancel = false;
  std::chrono::milliseconds cancel_after{0};

  bool operator==(const job_spec&) const = default;
};

/// Returns the task as JSON: {"echo":"...","sleep_ms":n}.
std::string task_payload(const task_spec& task);

/// Returns the body for POST /v1/jobs. An empty key is omitted.
std::string job_body(const job_spec& job, const std::string& key, bool wait);

} // namespace parsleylead

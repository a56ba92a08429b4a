#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

/// Faults that the stand-in injects, set by `POST /control`.
struct upstream_faults {
  /// Each task ends with status 500 after its run time.
  bool fail_all = false;
  /// Tasks do not end until this is reset.
  bool hang = false;
  /// Requests are answered with 503 and do not count as starts.
  bool refuse = false;
  /// Number of further responses whose connections are closed after the headers.
  std::uint32_t drop_reply = 0;
  /// Added to each task's run time.
  std::chrono::milliseconds delay{0};
  /// The next announcement is a DELETE and none follows; tasks are still served.
  bool leave = false;
};

struct task_request {
  std::string kind;
  std::string submission;
  std::string task;
  /// Header x-request-key, if present.
  std::string key;
  std::string body;
};

struct task_reply {
  int status = 200;
  std::string body;
  bool drop = false;
};

/// Runs tasks by sleeping, and counts every start. Thread-safe.
class upstream_service {
public:
  /// Run times are divided by `speed`; `default_time` is used for bodies without `sleep_ms`.
  upstream_service(std::string name, double speed, std::chrono::milliseconds default_time)
      : name_(std::move(name)), speed_(speed), default_time_(default_time) {}

  /// Runs a task; blocks for its run time.
  task_reply run(const task_request& request);

  /// Applies the JSON body of `POST /control`; members that are absent keep their value. False if
  /// it is malformed.
  bool control(const std::string& body);

  /// Opens the file to which each start appends a line before the task runs: time in ms since the
  /// Unix epoch, submission, task, echo. The lines survive SIGKILL. Returns false if the file
  /// cannot be opened. Call before the first `run`.
  bool record_starts(const std::string& path);

  bool leaving() const;

  /// Returns JSON: totals, and the tasks and keys that were started more than once.
  std::string starts() const;

  /// Waits until no task runs.
  void wait_idle();

private:
  void count_start(const task_request& request, const std::string& echo);
  void sleep(std::chrono::duration<double, std::milli> time);

  int starts_file_ = -1;
  std::string name_;
  double speed_;
  std::chrono::milliseconds default_time_;
  mutable std::mutex mutex_;
  std::condition_variable state_changed_;
  upstream_faults faults_;
  std::uint64_t total_starts_ = 0;
  std::uint32_t running_tasks_ = 0;
  std::uint32_t max_running_tasks_ = 0;
  std::map<std::pair<std::string, std::string>, std::uint64_t> starts_by_task_;
  std::map<std::string, std::uint64_t> starts_by_key_;
};

#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

/// What the stand-in does instead of serving normally; set by `POST /control`.
struct upstream_faults {
  /// Each task ends with status 500 after its run time.
  bool fail_all = false;
  /// Tasks do not end until this is switched off.
  bool hang = false;
  /// Requests are answered with 503 and do not count as starts.
  bool refuse = false;
  /// The next answers break off after the headers.
  std::uint32_t drop_reply = 0;
  /// Added to each task's run time.
  std::chrono::milliseconds delay{0};
  /// The next heartbeat is a DELETE and none follows; tasks are still served.
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
  /// Run times are divided by `speed`; `default_time` is used for bodies that name none.
  upstream_service(std::string name, double speed, std::chrono::milliseconds default_time)
      : name_(std::move(name)), speed_(speed), default_time_(default_time) {}

  /// Runs a task; blocks for its run time.
  task_reply run(const task_request& request);

  /// Applies the JSON body of `POST /control`; members that are absent keep their value. False if
  /// it is malformed.
  bool control(const std::string& body);

  /// Appends a line for each start to the file before the task runs: time in ms since the Unix
  /// epoch, submission, task, echo. Survives SIGKILL. Call before the first `run`.
  bool record_starts(const std::string& path);

  bool leaving() const;

  /// JSON: totals, and what was started more than once.
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
  std::condition_variable changed_;
  upstream_faults faults_;
  std::uint64_t total_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t max_running_ = 0;
  std::map<std::pair<std::string, std::string>, std::uint64_t> by_task_;
  std::map<std::string, std::uint64_t> by_key_;
};

#pragma once

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "site.hpp"

namespace parsleylead::faults {

struct load_profile {
  int callers = 8;
  int min_tasks = 1;
  int max_tasks = 12;
  int min_sleep_ms = 5;
  int max_sleep_ms = 40;
  /// Share of jobs of the non-idempotent kind.
  double keyed_share = 0.3;
  std::chrono::milliseconds budget{8000};
  std::chrono::milliseconds pause{20};
  /// Callers stop after this many tasks.
  std::uint64_t max_tasks_in_all = UINT64_MAX;
};

/// What a caller saw of one submission.
struct attempt {
  std::uint64_t job = 0;
  int number = 1;
  int tasks = 0;
  /// Empty for an idempotent kind.
  std::string key;
  site::route target;
  enum class end { replied, not_sent, lost } outcome = end::not_sent;
  int status = 0;
  std::string body;
  std::string error;
  /// The entry was still open to callers when the attempt ended.
  bool routed_at_end = true;
  std::chrono::milliseconds duration{0};

  /// Text that a task's echo starts with; no two attempts share it.
  std::string label() const { return std::to_string(job) + "." + std::to_string(number); }
  std::string echo(int task) const { return label() + "." + std::to_string(task); }
};

/// Callers that submit jobs one after the other, on threads of their own. A keyed job that did not
/// end complete is submitted again with its key, as a client does.
class caller_load {
public:
  caller_load(const site& place, const load_profile& profile, std::uint64_t seed);
  ~caller_load();
  caller_load(const caller_load&) = delete;
  caller_load& operator=(const caller_load&) = delete;

  /// Lets the callers finish what they have begun.
  void stop();
  /// Waits until the callers have submitted all tasks of the profile.
  bool exhausted() const { return tasks_ >= profile_.max_tasks_in_all; }
  std::uint64_t tasks() const { return tasks_; }

  /// Submits one job and returns the caller's view. Thread-safe.
  attempt submit_once(const site::route& target, bool keyed, int tasks, int sleep_ms);

  /// Precondition: `stop` was called.
  const std::vector<attempt>& attempts() const { return attempts_; }

private:
  void call(std::uint64_t seed);
  void send(attempt& one, int sleep_ms);
  void keep(attempt one);

  const site& place_;
  load_profile profile_;
  std::atomic<bool> stopped_{false};
  std::atomic<std::uint64_t> tasks_{0};
  std::atomic<std::uint64_t> jobs_{0};
  std::mutex mutex_;
  std::vector<attempt> attempts_;
  std::vector<std::thread> threads_;
};

} // namespace parsleylead::faults

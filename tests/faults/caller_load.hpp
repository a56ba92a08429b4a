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
  /// Callers stop after submitting this many tasks.
  std::uint64_t max_total_tasks = UINT64_MAX;
};

/// One submission and its result as seen by the caller.
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
  /// Callers were still routed to the entry when the attempt ended.
  bool still_routed_at_end = true;
  std::chrono::milliseconds duration{0};

  /// Unique prefix of the echo text of the attempt's tasks.
  std::string label() const { return std::to_string(job) + "." + std::to_string(number); }
  std::string echo(int task) const { return label() + "." + std::to_string(task); }
};

/// Callers on separate threads that each submit one job after the other. A keyed job that did not
/// complete is submitted again with its key, as a client would.
class caller_load {
public:
  caller_load(const site& test_site, const load_profile& profile, std::uint64_t seed);
  ~caller_load();
  caller_load(const caller_load&) = delete;
  caller_load& operator=(const caller_load&) = delete;

  /// Waits for the running submissions and stops the callers.
  void stop();
  /// Returns whether the callers have submitted all tasks of the profile.
  bool exhausted() const { return tasks_ >= profile_.max_total_tasks; }
  std::uint64_t tasks() const { return tasks_; }

  /// Submits one job and returns the result. Thread-safe.
  attempt submit_once(const site::route& target, bool keyed, int tasks, int sleep_ms);

  /// Precondition: `stop` was called.
  const std::vector<attempt>& attempts() const { return attempts_; }

private:
  void run_caller(std::uint64_t seed);
  void send(attempt& current, int sleep_ms);
  void record_attempt(attempt current);

  const site& site_;
  load_profile profile_;
  std::atomic<bool> stopped_{false};
  std::atomic<std::uint64_t> tasks_{0};
  std::atomic<std::uint64_t> jobs_{0};
  std::mutex mutex_;
  std::vector<attempt> attempts_;
  std::vector<std::thread> threads_;
};

} // namespace parsleylead::faults

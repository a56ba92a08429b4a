#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/load/load_report.hpp"

namespace parsleylead {

/// Sends one job and waits for its end. Called from several threads concurrently.
using job_sender = std::function<job_outcome(const job_spec&)>;

/// Returns the jobs in order of arrival, then nullopt at the end of the run.
using job_source = std::function<std::optional<job_spec>()>;

/// Generates open-loop load: sends each job at its arrival, whether or not earlier ones were
/// answered. A job that arrives while `max_open_jobs` jobs are open counts as not sent. Response
/// times count from the scheduled arrival, so that they include delays of the sender. Use each
/// object for one run only.
class open_loop {
public:
  /// Each open job occupies one thread.
  open_loop(job_sender send, std::size_t max_open_jobs)
      : sender_(std::move(send)), max_open_jobs_(max_open_jobs) {}
  ~open_loop();
  open_loop(const open_loop&) = delete;
  open_loop& operator=(const open_loop&) = delete;

  /// Runs until the source ends and every job sent has ended. Blocks.
  void run(const job_source& next, load_report& report);

private:
  void submit(job_spec job, load_report& report);
  void send_jobs(load_report& report);
  bool wait_for_job(job_spec& job);
  void join_threads();

  job_sender sender_;
  std::size_t max_open_jobs_;
  monotonic_time start_{};
  std::mutex mutex_;
  std::condition_variable queue_changed_;
  std::deque<job_spec> queue_;
  std::size_t open_jobs_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

} // namespace parsleylead

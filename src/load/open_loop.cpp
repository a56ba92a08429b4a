#include "parsleylead/load/open_loop.hpp"

namespace parsleylead {

open_loop::~open_loop() {
  join_threads();
}

void open_loop::run(const job_source& next, load_report& report) {
  start_ = std::chrono::steady_clock::now();
  while (auto job = next()) {
    std::this_thread::sleep_until(start_ + job->arrival);
    submit(*std::move(job), report);
  }
  join_threads();
  report.set_elapsed(std::chrono::steady_clock::now() - start_);
}

void open_loop::submit(job_spec job, load_report& report) {
  const std::lock_guard lock(mutex_);
  if (open_jobs_ == max_open_jobs_) {
    report.add_not_sent();
    return;
  }
  ++open_jobs_;
  queue_.push_back(std::move(job));
  if (threads_.size() < open_jobs_) {
    threads_.emplace_back([this, &report] { send_jobs(report); });
  }
  queue_changed_.notify_one();
}

void open_loop::send_jobs(load_report& report) {
  job_spec job;
  while (wait_for_job(job)) {
    auto outcome = sender_(job);
    outcome.response_time = std::chrono::steady_clock::now() - (start_ + job.arrival);
    const std::lock_guard lock(mutex_);
    report.add(job, outcome);
    --open_jobs_;
  }
}

/// Blocks until a job is queued; returns false when the run has ended and the queue is empty.
bool open_loop::wait_for_job(job_spec& job) {
  std::unique_lock lock(mutex_);
  queue_changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
  if (queue_.empty()) {
    return false;
  }
  job = std::move(queue_.front());
  queue_.pop_front();
  return true;
}

void open_loop::join_threads() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  queue_changed_.notify_all();
  for (auto& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

} // namespace parsleylead

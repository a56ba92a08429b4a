#include "parsleylead/platform_log/log_appender.hpp"

#include "parsleylead/base/error.hpp"
#include "parsleylead/base/time.hpp"

namespace parsleylead {

log_appender::log_appender(log_service& log, log_appender_options options)
    : log_(log), options_(std::move(options)), thread_([this] { run(); }) {}

log_appender::~log_appender() {
  stop();
}

bool log_appender::append(std::string payload, result_callback on_done) {
  {
    const std::lock_guard lock(mutex_);
    if (stop_requested_ || queue_.size() >= options_.max_queued) {
      return false;
    }
    queue_.push_back({std::move(payload), std::move(on_done)});
  }
  changed_.notify_all();
  return true;
}

void log_appender::stop() {
  {
    const std::lock_guard lock(mutex_);
    stop_requested_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void log_appender::run() {
  auto next_append_time = monotonic_time::min();
  std::unique_lock lock(mutex_);
  while (!stop_requested_) {
    changed_.wait(lock, [this] { return stop_requested_ || !queue_.empty(); });
    changed_.wait_until(lock, next_append_time, [this] { return stop_requested_; });
    if (stop_requested_) {
      break;
    }
    pending_append next = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    next_append_time = std::chrono::steady_clock::now() + options_.min_interval;
    next.on_done(log_.append(options_.stream, next.payload));
    lock.lock();
  }
  const auto dropped_appends = std::move(queue_);
  queue_.clear();
  lock.unlock();
  for (const pending_append& dropped : dropped_appends) {
    dropped.on_done(make_error(absl::StatusCode::kCancelled, step::log_append, "",
                               "The record was not appended: the process is stopping."));
  }
}

} // namespace parsleylead

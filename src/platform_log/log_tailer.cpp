#include "parsleylead/platform_log/log_tailer.hpp"

#include <algorithm>

namespace parsleylead {

log_tailer::log_tailer(log_service& log, log_tailer_options options, batch_callback on_batch,
                       error_callback on_error)
    : log_(log), options_(std::move(options)), on_batch_(std::move(on_batch)),
      on_error_(std::move(on_error)), thread_([this] { run(); }) {}

log_tailer::~log_tailer() {
  stop();
}

void log_tailer::stop() {
  {
    const std::lock_guard lock(mutex_);
    stop_requested_ = true;
  }
  stop_changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool log_tailer::stop_requested() const {
  const std::lock_guard lock(mutex_);
  return stop_requested_;
}

void log_tailer::wait_or_stop(std::chrono::milliseconds time) {
  std::unique_lock lock(mutex_);
  stop_changed_.wait_for(lock, time, [this] { return stop_requested_; });
}

void log_tailer::run() {
  std::uint64_t from = options_.start_offset;
  auto backoff = options_.min_backoff;
  while (!stop_requested()) {
    const auto start_time = std::chrono::steady_clock::now();
    auto result = log_.read(options_.stream, from, options_.max_records, options_.poll_wait);
    if (stop_requested()) {
      return;
    }
    if (!result.ok()) {
      if (on_error_) {
        on_error_(result.status());
      }
      wait_or_stop(backoff);
      backoff = std::min(backoff * 2, options_.max_backoff);
      continue;
    }
    backoff = options_.min_backoff;
    const std::uint64_t begin = from;
    // Never move back, so that an invalid answer cannot make the reader deliver records twice.
    from = std::max(from, result->next);
    const auto elapsed = std::chrono::steady_clock::now() - start_time;
    const bool log_did_not_wait = result->records.empty() && elapsed < options_.poll_wait / 2;
    on_batch_({begin, std::move(*result)});
    if (log_did_not_wait) {
      wait_or_stop(options_.empty_read_pause);
    }
  }
}

} // namespace parsleylead

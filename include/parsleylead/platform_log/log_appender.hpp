#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "parsleylead/platform_log/log_service.hpp"

namespace parsleylead {

struct log_appender_options {
  std::string stream;
  /// Minimum time between the starts of two appends.
  std::chrono::milliseconds min_interval{10};
  std::size_t max_queued = 64;
};

/// Appends records to a stream in a thread of its own, in order and one at a time. There are no
/// retries; these are up to the caller. The callbacks run on that thread and must post to the
/// control thread.
class log_appender {
public:
  using result_callback = std::function<void(absl::StatusOr<std::uint64_t>)>;

  /// `log` must outlive the appender.
  log_appender(log_service& log, log_appender_options options);
  ~log_appender();
  log_appender(const log_appender&) = delete;
  log_appender& operator=(const log_appender&) = delete;

  /// Queues a record. If the queue is full or the appender was stopped, returns false and never
  /// calls `on_done`. Thread-safe.
  bool append(std::string payload, result_callback on_done);

  /// Ends the thread after the append in progress. Queued records are not appended; their callbacks
  /// receive kCancelled. Idempotent. Precondition: not called from a callback.
  void stop();

private:
  struct pending_append {
    std::string payload;
    result_callback on_done;
  };

  void run();

  log_service& log_;
  log_appender_options options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<pending_append> queue_;
  bool stop_requested_ = false;
  std::thread thread_;
};

} // namespace parsleylead

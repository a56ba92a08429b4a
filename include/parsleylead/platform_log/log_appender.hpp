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
  /// Least time between the starts of two appends.
  std::chrono::milliseconds min_interval{10};
  std::size_t max_queued = 64;
};

/// Appends records to a stream in its own thread, in order and one at a time. Each record is tried
/// once; the user decides about a retry. The callbacks run on that thread: post to the control
/// thread.
class log_appender {
public:
  using result_callback = std::function<void(absl::StatusOr<std::uint64_t>)>;

  /// `log` must outlive the appender.
  log_appender(log_service& log, log_appender_options options);
  ~log_appender();
  log_appender(const log_appender&) = delete;
  log_appender& operator=(const log_appender&) = delete;

  /// Queues a record. Returns false, and never calls `on_done`, if the queue is full or the
  /// appender was stopped. Thread-safe.
  bool append(std::string payload, result_callback on_done);

  /// Ends the thread after the append in progress. Queued records are not appended: their
  /// callbacks get kCancelled. Idempotent. Precondition: not called from a callback.
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

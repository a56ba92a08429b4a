#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "parsleylead/platform_log/log_service.hpp"

namespace parsleylead {

struct log_tailer_options {
  std::string stream;
  std::uint64_t start_offset = 1;
  std::size_t max_records = 1000;
  /// Maximum wait of one read.
  std::chrono::milliseconds poll_wait{500};
  /// Pause after the first failed read; doubles with each further one, up to `max_backoff`.
  std::chrono::milliseconds min_backoff{50};
  std::chrono::milliseconds max_backoff{1000};
  /// Pause after a read that returned no records in less than half of `poll_wait`. Limits the rate
  /// of reads if the log does not wait.
  std::chrono::milliseconds empty_read_pause{50};
};

/// The result of one successful read.
struct log_batch {
  /// Offset at which the read began. If `result.earliest` is higher, the records in between were
  /// dropped by the log.
  std::uint64_t start_offset = 0;
  log_read_result result;
};

/// Reads a stream from an offset on, in a thread of its own, and passes the batches to a callback
/// in order. Retries while the log is unavailable. The callbacks run on that thread and must post
/// to the control thread.
class log_tailer {
public:
  /// Called after each successful read, also if there were no records.
  using batch_callback = std::function<void(log_batch)>;
  /// Called after each failed read.
  using error_callback = std::function<void(const absl::Status&)>;

  /// Starts reading. `log` must outlive the tailer.
  log_tailer(log_service& log, log_tailer_options options, batch_callback on_batch,
             error_callback on_error = {});
  ~log_tailer();
  log_tailer(const log_tailer&) = delete;
  log_tailer& operator=(const log_tailer&) = delete;

  /// Ends the thread; afterwards no callback runs. Waits for the read in progress, which takes at
  /// most `poll_wait` plus the log's time-outs and ends at once after `log_service::close`.
  /// Idempotent. Precondition: not called from a callback.
  void stop();

private:
  void run();
  bool stop_requested() const;
  void wait_or_stop(std::chrono::milliseconds time);

  log_service& log_;
  log_tailer_options options_;
  batch_callback on_batch_;
  error_callback on_error_;
  mutable std::mutex mutex_;
  std::condition_variable stop_changed_;
  bool stop_requested_ = false;
  std::thread thread_;
};

} // namespace parsleylead

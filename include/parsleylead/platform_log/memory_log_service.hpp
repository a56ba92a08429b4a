#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "parsleylead/base/step.hpp"
#include "parsleylead/platform_log/log_service.hpp"

namespace parsleylead {

/// Counters of a `memory_log_service`.
struct memory_log_statistics {
  std::uint64_t appends = 0;
  std::uint64_t reads = 0;
  std::uint64_t refused = 0;
};

/// A log in memory with fault injection, for tests and for the stand-in. Thread-safe.
class memory_log_service final : public log_service {
public:
  using clock = std::function<wall_time()>;

  /// `now` returns the log's time; it is called with the lock held.
  explicit memory_log_service(clock now = wall_now);

  absl::StatusOr<std::uint64_t> append(std::string_view stream, std::string_view payload) override;
  absl::StatusOr<log_read_result> read(std::string_view stream, std::uint64_t from,
                                       std::size_t max_records,
                                       std::chrono::milliseconds max_wait) override;
  void close() override;

  /// While the log is down, every call fails with kUnavailable and has no effect.
  void set_down(bool down);
  /// Delays every call by this time.
  void set_delay(std::chrono::milliseconds delay);
  /// Makes the next `count` appends take effect, but fail with kDeadlineExceeded.
  void lose_replies(std::uint64_t count);
  /// Drops the records of a stream below an offset.
  void forget_below(std::string_view stream, std::uint64_t offset);
  /// Sets the maximum age of records and their maximum number in a stream; zero means no limit.
  /// Older records are dropped at each append and read.
  void set_retention(std::chrono::milliseconds age, std::size_t records);

  memory_log_statistics statistics() const;

private:
  struct stream_state {
    std::uint64_t earliest = 1;
    std::deque<log_record> records;
  };

  absl::Status apply_faults(std::unique_lock<std::mutex>& lock, step operation);
  void apply_retention(stream_state& stream);
  log_read_result read_records(const stream_state& stream, std::uint64_t from,
                               std::size_t max_records) const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  clock now_;
  std::map<std::string, stream_state, std::less<>> streams_;
  bool closed_ = false;
  bool down_ = false;
  std::chrono::milliseconds delay_{0};
  std::uint64_t replies_to_lose_ = 0;
  std::chrono::milliseconds max_age_{0};
  std::size_t max_records_ = 0;
  memory_log_statistics statistics_;
};

} // namespace parsleylead

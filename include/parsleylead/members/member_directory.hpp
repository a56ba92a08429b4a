#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "parsleylead/members/member_record.hpp"
#include "parsleylead/platform_log/log_service.hpp"

namespace parsleylead {

struct member_directory_options {
  /// The record to append; nothing for a process that only reads.
  std::optional<member_record> self;
  /// Interval of the appends and of the reads. Records older than two intervals are ignored.
  std::chrono::milliseconds interval{std::chrono::hours(1)};
  /// Pause after a failed read or append.
  std::chrono::milliseconds retry_interval{1000};
};

/// Makes an entry known in the log and finds the others there, so that a process whose configured
/// addresses have all been replaced still finds the site (D7). Works in a thread of its own.
class member_directory {
public:
  using member_callback = std::function<void(std::vector<member_record>)>;

  /// Starts the thread. `log` must outlive the directory. `on_members` runs on that thread: post to
  /// the control thread.
  member_directory(log_service& log, member_directory_options options, member_callback on_members);
  /// Ends the thread. Close the log first; otherwise a call in progress is awaited.
  ~member_directory();
  member_directory(const member_directory&) = delete;
  member_directory& operator=(const member_directory&) = delete;

  /// Reads again soon, for example because no known entry can be reached. Thread-safe.
  void refresh();

private:
  void run();
  bool read_and_append();
  bool read_members();

  log_service& log_;
  member_directory_options options_;
  member_callback on_members_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stop_requested_ = false;
  bool refresh_requested_ = false;
  std::chrono::steady_clock::time_point next_append_time_;
  std::thread thread_;
};

} // namespace parsleylead

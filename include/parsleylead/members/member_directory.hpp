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
  /// The record of this process; empty for a process that only reads.
  std::optional<member_record> self;
  /// Time between two appends and between two reads. Records older than two intervals are ignored.
  std::chrono::milliseconds interval{std::chrono::hours(1)};
  /// Pause after a failed read or append.
  std::chrono::milliseconds retry_interval{1000};
};

/// Publishes an entry's address in the log and reads those of the other entries, so that a process
/// finds entries even if all its configured addresses were replaced (docs/design.md, D7). Runs a
/// thread of its own.
class member_directory {
public:
  using member_callback = std::function<void(std::vector<member_record>)>;

  /// Starts the thread. `log` must outlive the directory. `on_members` runs on that thread: post to
  /// the control thread.
  member_directory(log_service& log, member_directory_options options, member_callback on_members);
  /// Ends the thread and waits for it. A call of the log in progress delays this unless the log was
  /// closed first.
  ~member_directory();
  member_directory(const member_directory&) = delete;
  member_directory& operator=(const member_directory&) = delete;

  /// Requests another read now, for example because no known entry can be reached. After a failed
  /// call it is made at the end of `retry_interval`. Thread-safe.
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

#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "parsleylead/observe/event_log.hpp"
#include "parsleylead/store/keyed_store.hpp"

namespace parsleylead {

/// Settings of a `keyed_watch`.
struct watch_options {
  /// A request that finds nothing new is answered after this time. Each request has its price; a
  /// silent connection is noticed this much later.
  std::chrono::milliseconds poll_timeout{1'000};
  /// Pause after a failed request; doubles up to `max_backoff`. The newest changes have to be in
  /// force two seconds after the store has them.
  std::chrono::milliseconds min_backoff{100};
  std::chrono::milliseconds max_backoff{800};
};

/// Follows the records of one keyed topic: first the newest of each key, then every later one.
/// Records may come more than once. Used on the loop's thread only.
class keyed_watch {
public:
  /// The references must outlive the watch.
  keyed_watch(asio::io_context& io, keyed_store& store, event_log& log, std::string topic,
              watch_options options, std::function<void(const keyed_record&)> on_record);

  void start() { read_newest(""); }
  /// Whether the newest records have been read since the start.
  bool caught_up() const { return caught_up_; }

private:
  void read_newest(const std::string& after);
  void poll_changes();
  void deliver(const keyed_snapshot& snapshot);
  void schedule_retry(const absl::Status& status);

  keyed_store& store_;
  event_log& log_;
  std::string topic_;
  watch_options options_;
  std::function<void(const keyed_record&)> on_record_;
  asio::steady_timer timer_;
  std::chrono::milliseconds backoff_{0};
  std::uint64_t next_offset_ = 0;
  bool caught_up_ = false;
  bool reachable_ = true;
  std::shared_ptr<int> lifetime_token_ = std::make_shared<int>(0);
};

} // namespace parsleylead

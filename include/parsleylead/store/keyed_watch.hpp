#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "parsleylead/observe/event_log.hpp"
#include "parsleylead/store/keyed_store.hpp"

namespace parsleylead {

/// Options of a `keyed_watch`.
struct watch_options {
  /// Time after which a request without new records is answered. A shorter time costs more
  /// requests; a longer one delays the detection of a silent connection.
  std::chrono::milliseconds poll_timeout{1'000};
  /// Pause after a failed request; doubles up to `max_backoff`, which is short because changes must
  /// be in force two seconds after the store has them.
  std::chrono::milliseconds min_backoff{100};
  std::chrono::milliseconds max_backoff{800};
};

/// Records of a keyed topic in the order of the store.
struct keyed_update {
  std::vector<keyed_record> records;
  /// All records before this offset have been delivered, or were replaced by later ones.
  std::uint64_t end = 0;
  /// `records` has the newest record of each key: keys without one do not exist, and may have been
  /// deleted since the last update.
  bool complete = false;
};

/// Delivers the records of a keyed topic: first the newest one of each key, then all later ones. A
/// record may be delivered more than once. Used on the event loop's thread only.
class keyed_watch {
public:
  /// The referenced objects must outlive the watch.
  keyed_watch(asio::io_context& io, keyed_store& store, event_log& log, std::string topic,
              watch_options options, std::function<void(const keyed_update&)> on_update);

  void start() { read_newest(""); }
  /// Whether the newest record of each key has been delivered since the start.
  bool caught_up() const { return caught_up_; }

private:
  void read_newest(const std::string& after);
  void poll_changes();
  void deliver(const keyed_update& update);
  void schedule_retry(const absl::Status& status);

  keyed_store& store_;
  event_log& log_;
  std::string topic_;
  watch_options options_;
  std::function<void(const keyed_update&)> on_update_;
  asio::steady_timer timer_;
  std::chrono::milliseconds backoff_{0};
  std::uint64_t next_offset_ = 0;
  /// Pages of the full read that is under way.
  std::vector<keyed_record> pages_;
  bool caught_up_ = false;
  bool reachable_ = true;
  /// Expires with the watch, so that callbacks of pending requests are ignored.
  std::shared_ptr<int> lifetime_token_ = std::make_shared<int>(0);
};

} // namespace parsleylead

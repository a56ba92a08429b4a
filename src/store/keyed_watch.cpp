#include "parsleylead/store/keyed_watch.hpp"

#include <algorithm>

#include "parsleylead/base/call_after.hpp"

namespace parsleylead {

keyed_watch::keyed_watch(asio::io_context& io, keyed_store& store, event_log& log,
                         std::string topic, watch_timing timing,
                         std::function<void(const keyed_record&)> on_record)
    : store_(store), log_(log), topic_(std::move(topic)), timing_(timing),
      on_record_(std::move(on_record)), timer_(io) {}

void keyed_watch::take(const keyed_snapshot& snapshot) {
  backoff_ = timing_.retry;
  if (!reachable_) {
    reachable_ = true;
    log_.write("store_regained", "topic", topic_);
  }
  for (const auto& record : snapshot.records) {
    on_record_(record);
  }
}

void keyed_watch::read_newest(const std::string& after) {
  store_.read_newest(
      topic_, after,
      [this, after, alive = std::weak_ptr<int>(alive_)](absl::StatusOr<keyed_snapshot> snapshot) {
        if (alive.expired()) {
          return;
        }
        if (!snapshot.ok()) {
          failed(snapshot.status());
          return;
        }
        take(*snapshot);
        if (after.empty()) {
          // Pages are no snapshot: what changes meanwhile is read again from here.
          next_ = snapshot->end;
        }
        if (snapshot->has_more && !snapshot->records.empty()) {
          read_newest(snapshot->records.back().key);
          return;
        }
        caught_up_ = true;
        follow();
      });
}

void keyed_watch::follow() {
  store_.read_from(
      topic_, next_, timing_.poll,
      [this, alive = std::weak_ptr<int>(alive_)](absl::StatusOr<keyed_snapshot> snapshot) {
        if (alive.expired()) {
          return;
        }
        if (!snapshot.ok()) {
          failed(snapshot.status());
          return;
        }
        take(*snapshot);
        next_ = snapshot->end;
        follow();
      });
}

void keyed_watch::failed(const absl::Status& status) {
  if (reachable_) {
    reachable_ = false;
    log_.write("store_lost", "topic", topic_, "cause", std::string(status.message()));
  }
  backoff_ = std::clamp(backoff_ * 2, timing_.retry, timing_.max_retry);
  call_after(timer_, backoff_, [this] {
    // The newest records tell everything, whatever was deleted or missed.
    read_newest("");
  });
}

} // namespace parsleylead

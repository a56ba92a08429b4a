#include "parsleylead/store/keyed_watch.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "parsleylead/base/call_after.hpp"

namespace parsleylead {

keyed_watch::keyed_watch(asio::io_context& io, keyed_store& store, event_log& log,
                         std::string topic, watch_options options,
                         std::function<void(const keyed_update&)> on_update)
    : store_(store), log_(log), topic_(std::move(topic)), options_(options),
      on_update_(std::move(on_update)), timer_(io) {}

void keyed_watch::deliver(const keyed_update& update) {
  backoff_ = options_.min_backoff;
  if (!reachable_) {
    reachable_ = true;
    log_.write("store_regained", "topic", topic_);
  }
  on_update_(update);
}

void keyed_watch::read_newest(const std::string& after) {
  store_.read_newest(topic_, after,
                     [this, after, alive = std::weak_ptr<int>(lifetime_token_)](
                         absl::StatusOr<keyed_snapshot> snapshot) {
                       if (alive.expired()) {
                         return;
                       }
                       if (!snapshot.ok()) {
                         schedule_retry(snapshot.status());
                         return;
                       }
                       if (after.empty()) {
                         // The pages are not one consistent snapshot: changes made while they
                         // are read are read again from the end of the first page.
                         next_offset_ = snapshot->end;
                         pages_.clear();
                       }
                       auto& page = snapshot->records;
                       pages_.insert(pages_.end(), std::make_move_iterator(page.begin()),
                                     std::make_move_iterator(page.end()));
                       if (snapshot->has_more && !page.empty()) {
                         read_newest(std::string(pages_.back().key));
                         return;
                       }
                       caught_up_ = true;
                       deliver({std::exchange(pages_, {}), next_offset_, true});
                       poll_changes();
                     });
}

void keyed_watch::poll_changes() {
  store_.read_from(
      topic_, next_offset_, options_.poll_timeout,
      [this, alive = std::weak_ptr<int>(lifetime_token_)](absl::StatusOr<keyed_snapshot> snapshot) {
        if (alive.expired()) {
          return;
        }
        if (!snapshot.ok()) {
          schedule_retry(snapshot.status());
          return;
        }
        next_offset_ = snapshot->end;
        deliver({std::move(snapshot->records), next_offset_, false});
        poll_changes();
      });
}

void keyed_watch::schedule_retry(const absl::Status& status) {
  if (reachable_) {
    reachable_ = false;
    log_.write("store_lost", "topic", topic_, "cause", std::string(status.message()));
  }
  backoff_ = std::clamp(backoff_ * 2, options_.min_backoff, options_.max_backoff);
  call_after(timer_, backoff_, [this] {
    // Reading the newest records again covers all that was deleted or missed meanwhile.
    read_newest("");
  });
}

} // namespace parsleylead

#include "parsleylead/store/keyed_watch.hpp"

#include <doctest/doctest.h>

#include <asio/post.hpp>
#include <deque>
#include <utility>

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

/// Returns scripted answers. Without a further answer a read never completes.
class scripted_store : public keyed_store {
public:
  explicit scripted_store(asio::io_context& io) : io_(io) {}

  void read_newest(const std::string&, const std::string& after,
                   std::function<void(absl::StatusOr<keyed_snapshot>)> done) override {
    requests.push_back("newest:" + after);
    answer(newest, std::move(done));
  }
  void read_from(const std::string&, std::uint64_t offset, milliseconds,
                 std::function<void(absl::StatusOr<keyed_snapshot>)> done) override {
    requests.push_back("from:" + std::to_string(offset));
    answer(reads, std::move(done));
  }
  void put(const std::string&, const keyed_record&, std::function<void(absl::Status)>) override {}

  std::deque<absl::StatusOr<keyed_snapshot>> newest;
  std::deque<absl::StatusOr<keyed_snapshot>> reads;
  std::vector<std::string> requests;

private:
  void answer(std::deque<absl::StatusOr<keyed_snapshot>>& script,
              std::function<void(absl::StatusOr<keyed_snapshot>)> done) {
    if (script.empty()) {
      return;
    }
    asio::post(io_, [done = std::move(done), next = std::move(script.front())] { done(next); });
    script.pop_front();
  }

  asio::io_context& io_;
};

TEST_CASE("keyed_watch: reads all pages and later records, and starts again after a gap") {
  // A change must not be missed because there are several pages or the store deleted records.
  asio::io_context io;
  event_log log("test");
  scripted_store store(io);
  store.newest.emplace_back(keyed_snapshot{{{"a", "1"}}, 5, true});
  store.newest.emplace_back(keyed_snapshot{{{"b", "1"}}, 6, false});
  store.reads.emplace_back(keyed_snapshot{{{"a", "2"}}, 7, false});
  store.reads.emplace_back(absl::OutOfRangeError("deleted"));
  store.newest.emplace_back(absl::UnavailableError("busy"));
  store.newest.emplace_back(keyed_snapshot{{{"a", "4"}}, 40, false});
  std::vector<std::string> delivered;
  keyed_watch watch(io, store, log, "topic", {milliseconds(1), milliseconds(1), milliseconds(2)},
                    [&](const keyed_update& update) {
                      for (const auto& record : update.records) {
                        delivered.push_back(record.key + record.value);
                      }
                      delivered.push_back((update.complete ? "complete:" : "until:") +
                                          std::to_string(update.end));
                    });
  watch.start();
  io.run_for(std::chrono::seconds(2));
  CHECK(watch.caught_up());
  // Each full read says so, as a key that was deleted meanwhile is noticed by its absence only.
  CHECK(delivered ==
        std::vector<std::string>{"a1", "b1", "complete:5", "a2", "until:7", "a4", "complete:40"});
  CHECK(store.requests == std::vector<std::string>{"newest:", "newest:a", "from:5", "from:7",
                                                   "newest:", "newest:", "from:40"});
}

} // namespace
} // namespace parsleylead

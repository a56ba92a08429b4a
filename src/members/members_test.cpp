#include <doctest/doctest.h>

#include <atomic>

#include "parsleylead/members/member_directory.hpp"
#include "parsleylead/platform_log/memory_log_service.hpp"

namespace parsleylead {
namespace {

using namespace std::chrono_literals;

// Stores the last member list that a directory reported, and the number of reports.
class member_reports {
public:
  member_directory::member_callback callback() {
    return [this](std::vector<member_record> members) {
      const std::lock_guard lock(mutex_);
      members_ = std::move(members);
      ++count_;
    };
  }
  std::vector<member_record> members() {
    const std::lock_guard lock(mutex_);
    return members_;
  }
  int count() const { return count_; }

private:
  std::mutex mutex_;
  std::vector<member_record> members_;
  std::atomic<int> count_{0};
};

template <class Condition>
bool eventually(Condition condition) {
  for (int i = 0; i < 1000; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(5ms);
  }
  return false;
}

TEST_CASE("members: encoded records decode to equal values, invalid ones are refused") {
  const member_record member{"entry-1", {"127.0.0.1", 7100}};
  CHECK(decode_member(encode_member(member)) == member);
  CHECK_FALSE(decode_member("").has_value());
  CHECK_FALSE(
      decode_member("{\"type\":\"entry\",\"name\":\"a\",\"address\":\"host:1\"}").has_value());
  CHECK_FALSE(
      decode_member("{\"type\":\"entry\",\"name\":7,\"address\":\"127.0.0.1:1\"}").has_value());
  CHECK_FALSE(decode_member("[1]").has_value());
}

TEST_CASE("members: a reader finds an entry whose address is not configured") {
  // Otherwise an agent could not connect again after all its configured entries were replaced.
  memory_log_service log;
  REQUIRE(log.append(member_stream, "foreign record").ok());
  member_reports writer_reports;
  const member_record entry{"entry-9", {"127.0.0.1", 7900}};
  member_directory writer(log, {entry, 1h, 10ms}, writer_reports.callback());
  REQUIRE(eventually([&] { return log.statistics().appends == 2; }));
  member_reports reader_reports;
  member_directory reader(log, {std::nullopt, 1h, 10ms}, reader_reports.callback());
  REQUIRE(eventually([&] { return reader_reports.count() > 0; }));
  CHECK(reader_reports.members() == std::vector<member_record>{entry});
  log.close();
}

TEST_CASE("members: the directory recovers when the log is available again") {
  memory_log_service log;
  log.set_down(true);
  member_reports reports;
  const member_record entry{"entry-9", {"127.0.0.1", 7900}};
  member_directory directory(log, {entry, 1h, 5ms}, reports.callback());
  REQUIRE(eventually([&] { return log.statistics().refused > 2; }));
  CHECK(reports.count() == 0);
  log.set_down(false);
  REQUIRE(eventually([&] { return log.statistics().appends == 1; }));
  directory.refresh();
  REQUIRE(eventually([&] { return !reports.members().empty(); }));
  log.close();
}

} // namespace
} // namespace parsleylead

#include "parsleylead/fleet/reach_monitor.hpp"

#include <doctest/doctest.h>

#include <vector>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

const worker_requirement urgent_task{"desk", "", {6'900, 64, 0}};
const worker_description desk_worker{"w", "desk", "", {}, {64'000, 65'536, 0}};

/// An entry that places tasks of one kind at a steady rate.
struct placing_entry {
  /// Returns the times of the requests from `from` to `to`.
  std::vector<std::int64_t> run(std::int64_t from, std::int64_t to) {
    std::vector<std::int64_t> requests;
    for (std::int64_t now = from; now < to; now += 20) {
      if (places) {
        monitor.placed(urgent_task, at_ms(now));
      }
      const auto request = monitor.update(
          access, sessions, [this](const worker_requirement&) { return reach; }, at_ms(now));
      if (request) {
        CHECK(request->idle);
        CHECK(request->requirement == urgent_task);
        CHECK(request->attempt <= 2);
        requests.push_back(now);
      }
    }
    return requests;
  }

  reach_monitor monitor;
  cpu_in_reach reach{640'000, 400'000, 640'000, 400'000};
  site_access access = site_access::connected;
  std::size_t sessions = 10;
  bool places = true;
};

TEST_CASE("idle workers are requested before tasks wait, at a bounded rate") {
  // Guards against urgent jobs that are late because a worker is requested only once they wait,
  // and against requests that fill the links of a site without free workers.
  placing_entry entry;
  CHECK(entry.run(0, 1'000).empty());
  entry.reach.free = 150'000;
  const auto requests = entry.run(1'000, 11'000);
  REQUIRE_FALSE(requests.empty());
  CHECK(requests.front() == 1'000);
  CHECK(requests.size() <= 10);
}

TEST_CASE("while sessions are added, requests follow each other without a backoff") {
  placing_entry entry;
  entry.reach.free = 10'000;
  std::size_t requests = 0;
  for (std::int64_t now = 0; now < 1'000; now += 100, ++entry.sessions) {
    requests += entry.run(now, now + 100).size();
  }
  CHECK(requests >= 9);
}

TEST_CASE("a burst that exceeds the free workers requests more") {
  // Guards against a threshold that ignores how much CPU the tasks of a small site need.
  placing_entry entry;
  entry.reach = {60'000, 30'000, 60'000, 30'000}; // 34,500 arrive in 0.1 s.
  CHECK_FALSE(entry.run(0, 1'000).empty());
}

TEST_CASE("an entry without jobs, links or CPU of its own requests nothing") {
  // Guards against sessions that an entry cannot use or serve, and against traffic on idle sites.
  placing_entry entry;
  entry.reach.free = 0;
  SUBCASE("no jobs") {
    entry.places = false;
  }
  SUBCASE("no link to another entry") {
    entry.access = site_access::isolated;
  }
  SUBCASE("too many sessions") {
    entry.sessions = 96;
  }
  SUBCASE("a late event loop") {
    entry.monitor.loop_delayed(milliseconds(120), at_ms(0));
    CHECK(entry.run(0, 1'000).empty());
    CHECK_FALSE(entry.run(1'000, 1'020).empty());
    entry.monitor.loop_delayed(milliseconds(120), at_ms(1'020));
    CHECK(entry.run(1'020, 2'020).empty());
    return;
  }
  CHECK(entry.run(0, 5'000).empty());
}

TEST_CASE("requested sessions are kept until the others would have enough free CPU") {
  // Guards against sessions that are released and requested again all the time, and against those
  // that a calm site never gives back.
  placing_entry entry;
  entry.run(0, 1'000);
  CHECK_FALSE(entry.monitor.is_needed(desk_worker));
  entry.reach = {640'000, 100'000, 640'000, 100'000};
  entry.run(1'000, 1'100);
  CHECK(entry.monitor.is_needed(desk_worker));
  CHECK_FALSE(entry.monitor.is_needed({"w", "other", "", {}, {64'000, 65'536, 0}}));
  // Two more workers: enough for now, but without them the rest is nearly full.
  entry.reach = {768'000, 300'000, 640'000, 200'000};
  entry.run(1'100, 2'000);
  CHECK(entry.monitor.is_needed(desk_worker));
  SUBCASE("the load falls") {
    entry.reach = {768'000, 500'000, 640'000, 400'000};
    entry.run(2'000, 2'100);
  }
  SUBCASE("the jobs end") {
    entry.places = false;
    entry.run(2'000, 5'100);
  }
  CHECK_FALSE(entry.monitor.is_needed(desk_worker));
}

} // namespace
} // namespace parsleylead

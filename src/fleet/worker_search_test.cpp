#include "parsleylead/fleet/worker_search.hpp"

#include <doctest/doctest.h>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

const worker_requirement gpu_worker{"desk", "gpu", {1'000, 64, 1}};

bool none(const worker_requirement&) {
  return false;
}

bool all(const worker_requirement&) {
  return true;
}

TEST_CASE("a site has no worker only after requests went unanswered for the search time") {
  // Guards against "no worker" from the view of one entry.
  worker_search search;
  search.add(gpu_worker, at_ms(0));
  std::vector<std::int64_t> requests;
  for (std::int64_t now = 0; now <= 5'000; now += 20) {
    for (const auto& due : search.update(site_access::connected, none, at_ms(now))) {
      CHECK(due.requirement == gpu_worker);
      requests.push_back(now);
      CHECK(due.attempt == requests.size());
    }
    CHECK(search.is_absent(gpu_worker, at_ms(now)) == (now >= 1'500));
  }
  REQUIRE(requests.size() >= 4);
  CHECK(requests[0] == 0);
  CHECK(requests[3] <= 1'500);
  CHECK(requests.size() <= 10);
  const auto events = search.take_events();
  REQUIRE(events.size() == 2);
  CHECK(events[1].kind == worker_search::event_kind::absent);
}

TEST_CASE("a search ends when a worker is found, and starts anew when it is lost") {
  worker_search search;
  search.add(gpu_worker, at_ms(0));
  CHECK(search.update(site_access::connected, none, at_ms(0)).size() == 1);
  CHECK(search.update(site_access::connected, all, at_ms(300)).empty());
  CHECK(search.update(site_access::connected, none, at_ms(1'290)).size() == 1);
  CHECK(search.update(site_access::connected, none, at_ms(2'100)).size() == 1);
  CHECK_FALSE(search.is_absent(gpu_worker, at_ms(2'700)));
}

TEST_CASE("an entry without a link to another one knows nothing of the site") {
  worker_search search;
  search.add(gpu_worker, at_ms(0));
  for (std::int64_t now = 0; now <= 3'000; now += 20) {
    CHECK(search.update(site_access::isolated, none, at_ms(now)).empty());
    CHECK_FALSE(search.is_absent(gpu_worker, at_ms(now)));
  }
  CHECK(search.update(site_access::connected, none, at_ms(3'020)).size() == 1);
  CHECK_FALSE(search.is_absent(gpu_worker, at_ms(3'100)));
  search.update(site_access::alone, none, at_ms(3'200));
  CHECK(search.is_absent(gpu_worker, at_ms(3'200)));
}

TEST_CASE("a process that stood still searches anew before a site has no worker") {
  // Guards against refusals after a stall, when the effect of the requests is not known yet.
  worker_search search;
  search.add(gpu_worker, at_ms(0));
  for (std::int64_t now = 0; now <= 200; now += 20) {
    search.update(site_access::connected, none, at_ms(now));
  }
  search.update(site_access::connected, none, at_ms(4'000));
  CHECK_FALSE(search.is_absent(gpu_worker, at_ms(4'000)));
}

TEST_CASE("an idle worker is requested for tasks that wait for busy ones, at a bounded rate") {
  // Guards against tasks that wait for the few workers in reach while others are idle, and against
  // requests that fill the links of a full site.
  worker_search search;
  std::vector<std::int64_t> requests;
  for (std::int64_t now = 0; now <= 12'000; now += 20) {
    for (std::uint32_t cpu = 1; cpu <= 20; ++cpu) {
      search.add_busy({"desk", "", {cpu, 0, 0}}, milliseconds::max(), at_ms(now));
    }
    for (const auto& due : search.update(site_access::connected, all, at_ms(now))) {
      CHECK(due.idle);
      CHECK(due.requirement.needs.cpu_millis <= 4);
      if (due.requirement.needs.cpu_millis == 1) {
        requests.push_back(now);
      }
    }
  }
  CHECK(requests == std::vector<std::int64_t>{500, 1'500, 3'500, 7'500, 11'500});
  CHECK(search.is_needed({"w", "desk", "", {}, {1, 0, 0}}));
  CHECK_FALSE(search.is_needed({"w", "desk", "", {}, {0, 0, 0}}));
  search.update(site_access::connected, all, at_ms(12'200));
  CHECK_FALSE(search.is_needed({"w", "desk", "", {}, {1, 0, 0}}));
}

TEST_CASE("an idle worker is requested at once for tasks that would be late") {
  // Guards against a request after 0.5 s for tasks whose objective is 0.14 s.
  worker_search search;
  const worker_requirement urgent{"desk", "", {6'900, 64, 0}};
  std::vector<std::int64_t> requests;
  for (std::int64_t now = 0; now < 4'000; now += 20) {
    search.add_busy(urgent, milliseconds(90), at_ms(now));
    for (const auto& due : search.update(site_access::connected, all, at_ms(now))) {
      CHECK(due.cause == request_cause::late);
      requests.push_back(now);
    }
  }
  CHECK(requests == std::vector<std::int64_t>{0, 100, 300, 700, 1'500, 2'500, 3'500});
}

TEST_CASE("tasks that wait now and then do not restart the backoff of the requests") {
  // Guards against requests with each burst of a busy site.
  worker_search search;
  std::size_t requests = 0;
  for (std::int64_t now = 0; now < 10'000; now += 20) {
    if (now % 400 < 40) {
      search.add_busy(gpu_worker, milliseconds(90), at_ms(now));
    }
    requests += search.update(site_access::connected, all, at_ms(now)).size();
  }
  CHECK(requests <= 14);
}

TEST_CASE("tasks that become urgent while they wait request an idle worker then") {
  worker_search search;
  std::vector<request_cause> causes;
  for (std::int64_t now = 0; now < 300; now += 20) {
    search.add_busy(gpu_worker, milliseconds(600 - now), at_ms(now));
    for (const auto& due : search.update(site_access::connected, all, at_ms(now))) {
      CHECK(now >= 100);
      causes.push_back(due.cause);
    }
  }
  REQUIRE_FALSE(causes.empty());
  CHECK(causes.front() == request_cause::late);
}

TEST_CASE("requirements are bounded and forgotten") {
  // Guards against requests that grow with the shapes of the tasks, or outlast them.
  worker_search search;
  for (std::uint32_t cpu = 1; cpu <= 100; ++cpu) {
    search.add({"desk", "", {cpu, 0, 0}}, at_ms(0));
  }
  CHECK(search.update(site_access::connected, none, at_ms(0)).size() == 32);
  search.retain({"desk", "", {1, 0, 0}}, at_ms(9'000));
  search.update(site_access::connected, none, at_ms(10'001));
  CHECK(search.is_needed({"w", "desk", "", {}, {1, 0, 0}}));
  CHECK_FALSE(search.is_needed({"w", "other", "", {}, {1, 0, 0}}));
  search.update(site_access::connected, none, at_ms(19'001));
  CHECK(search.empty());
}

} // namespace
} // namespace parsleylead

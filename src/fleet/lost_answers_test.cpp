// Tests an agent whose worker loses answers, or executes a start late, over a TCP connection.

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <string>

#include "fake_worker.hpp"
#include "parsleylead/fleet/fleet_agent.hpp"
#include "parsleylead/fleet/fleet_entry.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds test_limit{10'000};

/// One entry and one agent on one event loop.
struct small_site {
  small_site() : worker(io) {
    worker.waits_for_ends = true;
    const auto address = free_address(io);
    fleet_entry_settings entry_settings;
    entry_settings.name = "entry";
    entry_settings.incarnation = 1;
    entry_settings.listen = address;
    entry.emplace(io, entry_settings, log, metrics, [](const route_update&) {});
    entry->evacuations_read(1, true, {});
    REQUIRE(entry->start().ok());
    fleet_agent_settings settings;
    settings.name = "agent";
    settings.incarnation = 5;
    agent.emplace(io, settings, worker, log, metrics);
    agent->add_members({{"", 0, to_string(address), ""}});
    agent->start();
    worker_announcement announcement;
    announcement.id = "w-1";
    announcement.incarnation = 1;
    announcement.service = "desk";
    announcement.capacity = {32'000, 65'536, 0};
    agent->worker_announced(announcement, [](const absl::Status&) {});
    REQUIRE(run_until([&] { return entry->has_worker(); }));
  }

  /// Submits jobs one after the other; each must complete.
  void run_jobs(std::uint64_t count, std::uint32_t tasks) {
    for (std::uint64_t id = 1; id <= count; ++id) {
      std::optional<job_result> result;
      entry->submit(make_job(id, tasks), [&](const job_result& got) { result = got; });
      REQUIRE(run_until([&] { return result.has_value(); }));
      CHECK(result->verdict == job_verdict::completed);
    }
  }

  static fleet_job make_job(std::uint64_t id, std::uint32_t tasks) {
    fleet_job job;
    job.id = id;
    job.terms = {"queue", "desk", milliseconds(500), 2.0, 3};
    job.payload = "text";
    job.answer_timeout = milliseconds(30'000);
    job.steps.push_back({});
    job.steps[0].count = tasks;
    job.steps[0].needs = {3'000, 64, 0};
    job.steps[0].estimate = milliseconds(50);
    return job;
  }

  template <class Condition>
  bool run_until(Condition done, milliseconds within = test_limit) {
    const auto limit = std::chrono::steady_clock::now() + within;
    while (!done() && std::chrono::steady_clock::now() < limit) {
      io.run_one_for(milliseconds(5));
    }
    return done();
  }

  asio::io_context io;
  event_log log{"test"};
  metrics_registry metrics;
  fake_worker worker;
  std::optional<fleet_entry> entry;
  std::optional<fleet_agent> agent;
};

TEST_CASE("a worker that loses one answer in six runs each task once") {
  // Guards against stopping and repeating runs that go on, because an answer was lost.
  small_site site;
  site.worker.run_time = milliseconds(50);
  site.worker.lost_answer_interval = 6;
  site.run_jobs(12, 8);
  CHECK(site.worker.lost_starts > 0);
  CHECK(site.worker.starts == 12 * 8);
  CHECK(site.worker.stops == 0);
  const auto log = site.log.buffered();
  const auto answered = log.find("event=worker_answers"); // A new worker is suspected before.
  CHECK(log.find("event=worker_suspected", answered) == std::string::npos);
}

TEST_CASE("no list is requested in addition while no answer is lost") {
  // Guards against additional work for agents, which have little CPU time.
  small_site site;
  site.worker.run_time = milliseconds(50);
  site.run_jobs(4, 8);
  CHECK(site.worker.extra_list_requests == 0);
}

TEST_CASE("the end of a run is known soon after the answer to a list request was lost") {
  // Guards against an end that stays unknown until the time of the lost request has passed.
  small_site site;
  site.worker.run_time = milliseconds(10);
  site.worker.lost_lists = 1;
  REQUIRE(site.run_until([&] { return site.worker.overdue_lists == 1; }));
  site.run_until([] { return false; }, milliseconds(100));
  site.worker.lost_lists = 1;
  REQUIRE(site.run_until([&] { return site.worker.lost_lists == 0; }));
  site.run_jobs(1, 1);
  CHECK(site.worker.overdue_lists == 1);
}

TEST_CASE("a start without an answer that the worker never executes is placed again") {
  small_site site;
  site.worker.start_delay = std::chrono::hours(1);
  site.run_jobs(1, 1);
  CHECK(site.worker.starts == 1);
  CHECK(site.worker.stops == 1);
}

TEST_CASE("a start that the worker executes 2 s later does not overlap the task's next run") {
  // Guards against two runs of a task at a time, which the worker checks.
  small_site site;
  site.worker.run_time = milliseconds(2'500);
  site.worker.start_delay = milliseconds(2'000);
  site.run_jobs(1, 1);
  CHECK(site.worker.starts == 1);
  CHECK(site.worker.late_starts_rejected == 1);
}

TEST_CASE(
    "a start that is executed late while stops and lists lose their answers overlaps no other") {
  small_site site;
  site.worker.run_time = milliseconds(100);
  site.worker.start_delay = milliseconds(300);
  site.worker.losing_stops = true;
  site.worker.lost_answer_interval = 3;
  std::optional<job_result> result;
  site.entry->submit(small_site::make_job(1, 1), [&](const job_result& got) { result = got; });
  REQUIRE(site.run_until([&] { return site.worker.lost_stops > 1 && site.worker.starts > 0; }));
  site.worker.losing_stops = false;
  REQUIRE(site.run_until([&] { return result.has_value(); }));
  CHECK(result->verdict == job_verdict::completed);
}

} // namespace
} // namespace parsleylead

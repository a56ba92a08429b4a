#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "../test_support.hpp"
#include "parsleylead/fleet/fleet_scheduler.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

worker_status idle_worker() {
  worker_status status;
  status.present = true;
  status.accepting = true;
  status.description.service = "desk";
  status.description.capacity = {32'000, 65'536, 0};
  return status;
}

fleet_job make_job(std::uint64_t id, std::uint32_t tasks, std::uint32_t cpu_millis = 3'100,
                   const std::string& queue = "queue") {
  fleet_job job;
  job.id = id;
  job.terms = {queue, "desk", milliseconds(60), 1.6, 3};
  job.answer_timeout = milliseconds(30'000);
  job_step step;
  step.count = tasks;
  step.needs = {cpu_millis, 64, 0};
  step.estimate = milliseconds(60);
  job.steps.push_back(step);
  return job;
}

fleet_job make_durable_job(std::uint64_t id, std::uint32_t tasks,
                           const std::string& queue = "queue") {
  auto job = make_job(id, tasks, 3'100, queue);
  job.ownership = job_ownership{1, 0, {}};
  return job;
}

/// A scheduler with one idle worker for each named zone.
struct fixture {
  explicit fixture(const std::vector<std::string>& zones) : scheduler({}, "a", 7) {
    for (const auto& zone : zones) {
      add_worker(zone);
    }
  }

  worker_index add_worker(const std::string& zone) {
    workers.push_back(scheduler.worker_for("agent-" + std::to_string(workers.size()), zone));
    scheduler.session_opened(workers.back(), false, at_ms(0));
    scheduler.worker_reported(workers.back(), idle_worker(), at_ms(0));
    return workers.back();
  }

  void report_cold(worker_index index) {
    auto status = idle_worker();
    status.cold = true;
    scheduler.worker_reported(index, status, at_ms(0));
  }

  /// Returns the number of tasks that are placed now, by worker.
  std::vector<std::size_t> placed(std::int64_t at) {
    scheduler.place_waiting(at_ms(at));
    std::vector<std::size_t> tasks(workers.size());
    starts = scheduler.take_starts();
    for (const auto& start : starts) {
      ++tasks.at(start.worker);
    }
    return tasks;
  }
  std::vector<std::size_t> submit(fleet_job job, std::int64_t at = 0) {
    scheduler.submit(std::move(job), at_ms(at));
    return placed(at);
  }

  fleet_scheduler scheduler;
  std::vector<worker_index> workers;
  std::vector<placed_start> starts;
};

using counts = std::vector<std::size_t>;

TEST_CASE("no task is placed in an evacuated zone until the evacuation ends") {
  // Guards against starts in a zone that loses its power, and against runs that are ended early.
  fixture fleet({"a", "b"});
  CHECK(fleet.submit(make_durable_job(1, 1)) == counts{1, 0});
  fleet.scheduler.set_evacuated_zones({"a", "no such zone"});
  CHECK(fleet.submit(make_durable_job(2, 12), 10) == counts{0, 10});
  CHECK(fleet.scheduler.take_stops().empty());
  // An agent of the zone that connects later is not used either.
  fleet.add_worker("a");
  CHECK(fleet.placed(20) == counts{0, 0, 0});
  fleet.scheduler.set_evacuated_zones({"a", "b"});
  CHECK_FALSE(fleet.scheduler.has_worker());
  fleet.scheduler.set_evacuated_zones({});
  CHECK(fleet.scheduler.has_worker());
  const auto placed = fleet.placed(30);
  CHECK(placed[0] + placed[2] == 2);
}

TEST_CASE("a job whose only workers are in an evacuated zone is refused with that cause") {
  // Guards against callers that wait for their deadline, and against a misleading cause.
  fixture fleet({"a", "a"});
  fleet.scheduler.search_workers(site_access::alone, at_ms(0));
  fleet.scheduler.set_evacuated_zones({"a"});
  CHECK(fleet.submit(make_durable_job(1, 1)) == counts{0, 0});
  fleet.submit(make_job(2, 1));
  auto other = make_job(3, 1);
  other.steps[0].required_label = "gpu";
  fleet.submit(other);
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 2);
  CHECK(results[0].verdict == job_verdict::not_run);
  CHECK(results[0].cause == job_cause::zone_evacuated);
  CHECK(results[1].cause == job_cause::no_capable_worker);
  fleet.scheduler.set_evacuated_zones({});
  CHECK(fleet.placed(10) != counts{0, 0}); // The stored job has waited.
  CHECK(fleet.submit(make_job(4, 1), 20) != counts{0, 0});
  CHECK(fleet.scheduler.take_results().empty());
}

TEST_CASE("a cold worker gets tasks after all others, up to a quarter of its CPU") {
  // Guards against tasks that are late because the workers of a zone have just started.
  fixture fleet({"a", "b"});
  fleet.report_cold(fleet.workers[0]);
  CHECK(fleet.submit(make_durable_job(1, 10)) == counts{0, 10});
  CHECK(fleet.submit(make_durable_job(2, 5), 10) == counts{2, 0});
  auto warm = idle_worker();
  warm.committed = {6'200, 128, 0};
  warm.own_cpu_millis = 6'200;
  fleet.scheduler.worker_reported(fleet.workers[0], warm, at_ms(20));
  CHECK(fleet.placed(20) == counts{3, 0});
}

TEST_CASE("a task that is larger than the share of a cold worker runs on one that is idle") {
  // Guards against large tasks that wait for an hour, although all workers that could run them are
  // only cold.
  fixture fleet({"a"});
  fleet.report_cold(fleet.workers[0]);
  auto job = make_job(1, 2, 12'000);
  job.ownership = job_ownership{1, 0, {}};
  REQUIRE(fleet.submit(job) == counts{1});
  fleet.scheduler.run_ended(fleet.workers[0],
                            {fleet.starts[0].order.run, run_outcome::done, milliseconds(60), {}},
                            at_ms(60));
  CHECK(fleet.placed(60) == counts{1});
  // With a warm worker, it waits for that one.
  fixture mixed({"a", "a"});
  mixed.report_cold(mixed.workers[0]);
  job.steps[0].count = 3;
  CHECK(mixed.submit(job) == counts{0, 2});
}

TEST_CASE("a slow run is not moved to a cold worker") {
  // Guards against runs that begin again on a worker that is slower than expected.
  fixture fleet({"a", "a"});
  fleet.report_cold(fleet.workers[0]);
  auto job = make_job(1, 1);
  job.steps[0].estimate = milliseconds(900);
  REQUIRE(fleet.submit(job) == counts{0, 1});
  const auto run = fleet.starts[0].order.run;
  fleet.scheduler.run_is_slow(fleet.workers[1], {run, 2, milliseconds(2'300)}, at_ms(2'310));
  CHECK(fleet.scheduler.take_stops().empty());
  fleet.scheduler.worker_reported(fleet.workers[0], idle_worker(), at_ms(2'320));
  fleet.scheduler.run_is_slow(fleet.workers[1], {run, 2, milliseconds(2'300)}, at_ms(2'330));
  CHECK(fleet.scheduler.take_stops().size() == 1);
}

TEST_CASE("a confined queue and the others both keep workers while a zone is evacuated") {
  // Guards against jobs that wait for the workers of their side of the quarantine, all of which are
  // in the evacuated zone, while workers elsewhere are idle.
  for (const bool quarantined_evacuated : {false, true}) {
    fixture fleet({});
    // The quarantine takes the first workers by a hash of the agent's name.
    std::vector<std::string> names;
    names.reserve(10);
    for (int i = 0; i < 10; ++i) {
      names.push_back("agent-" + std::to_string(i));
    }
    auto sorted = names;
    std::sort(sorted.begin(), sorted.end(), [](const auto& a, const auto& b) {
      return std::pair(queue_hash(a), a) < std::pair(queue_hash(b), b);
    });
    for (const auto& name : names) {
      fleet.add_worker(name == sorted[0] || name == sorted[1] ? "quarantine" : "other");
    }
    fleet.submit(make_durable_job(1, 1, "sound"));
    fleet.submit(make_durable_job(2, 1, "deadly"));
    for (int i = 0; i < 3; ++i) {
      fleet.scheduler.worker_crashed({queue_hash("deadly"), true}, at_ms(10));
    }
    REQUIRE(fleet.scheduler.confined_queues() == std::set<std::string>{"deadly"});
    fleet.scheduler.set_evacuated_zones({quarantined_evacuated ? "quarantine" : "other"});
    fleet.scheduler.tick(at_ms(400));
    const auto total = [](const counts& placed) {
      std::size_t sum = 0;
      for (const auto each : placed) {
        sum += each;
      }
      return sum;
    };
    CHECK(total(fleet.submit(make_durable_job(3, 1, "deadly"), 410)) == 1);
    CHECK(total(fleet.submit(make_durable_job(4, 1, "sound"), 420)) == 1);
    CHECK(total(fleet.submit(make_job(5, 1, 3'100, "deadly"), 430)) == 1);
  }
}

} // namespace
} // namespace parsleylead

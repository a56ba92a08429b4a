#include "parsleylead/fleet/fleet_scheduler.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "../test_support.hpp"
#include "parsleylead/fleet/fleet_agent.hpp"
#include "parsleylead/fleet/link_timing.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

worker_status idle_worker(std::uint32_t cpu_millis = 32'000) {
  worker_status status;
  status.present = true;
  status.accepting = true;
  status.description.worker_id = "w";
  status.description.service = "desk";
  status.description.capacity = {cpu_millis, 65'536, 0};
  return status;
}

fleet_job make_job(std::uint64_t id, std::uint32_t tasks,
                   milliseconds estimate = milliseconds(60)) {
  fleet_job job;
  job.id = id;
  job.terms = {"queue", "desk", milliseconds(60), 1.6, 3};
  job.payload = "text";
  job.answer_timeout = milliseconds(30'000);
  job_step step;
  step.count = tasks;
  step.needs = {3'100, 64, 0};
  step.estimate = estimate;
  job.steps.push_back(step);
  return job;
}

/// A scheduler with workers that are idle at time 0.
struct fixture {
  explicit fixture(int count) : scheduler({}, "a", 7) {
    for (int i = 0; i < count; ++i) {
      workers.push_back(scheduler.worker_for("agent-" + std::to_string(i), "a"));
      scheduler.session_opened(workers.back(), false, at_ms(0));
      scheduler.worker_reported(workers.back(), idle_worker(), at_ms(0));
    }
  }

  std::vector<placed_start> submit(fleet_job job, std::int64_t at = 0) {
    scheduler.submit(std::move(job), at_ms(at));
    scheduler.place_waiting(at_ms(at));
    return scheduler.take_starts();
  }

  void end(const placed_start& start, run_outcome outcome, std::int64_t at) {
    scheduler.run_ended(start.worker, {start.order.run, outcome, milliseconds(60), {}}, at_ms(at));
  }

  fleet_scheduler scheduler;
  std::vector<worker_index> workers;
};

TEST_CASE("a job is completed when each of its tasks is done") {
  fixture fleet(2);
  const auto starts = fleet.submit(make_job(1, 4));
  REQUIRE(starts.size() == 4);
  for (std::size_t i = 0; i < starts.size(); ++i) {
    CHECK(fleet.scheduler.take_results().empty());
    fleet.end(starts[i], run_outcome::done, 60);
  }
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::completed);
  CHECK(fleet.scheduler.open_jobs() == 0);
}

TEST_CASE("a step waits for the steps that it names") {
  // Guards against starts before the tasks of earlier steps are done.
  fixture fleet(2);
  auto job = make_job(1, 2);
  job.steps.push_back(job.steps[0]);
  job.steps[1].depends_on = {0};
  auto starts = fleet.submit(std::move(job));
  REQUIRE(starts.size() == 2);
  fleet.end(starts[0], run_outcome::done, 60);
  fleet.scheduler.place_waiting(at_ms(60));
  CHECK(fleet.scheduler.take_starts().empty());
  fleet.end(starts[1], run_outcome::done, 70);
  fleet.scheduler.place_waiting(at_ms(70));
  starts = fleet.scheduler.take_starts();
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].order.run.task.step == 1);
}

TEST_CASE("failed runs are repeated elsewhere until the attempts are used up") {
  fixture fleet(3);
  auto starts = fleet.submit(make_job(1, 1));
  std::set<worker_index> used;
  for (std::int64_t attempt = 1; attempt <= 3; ++attempt) {
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].order.run.attempt == attempt);
    CHECK(used.insert(starts[0].worker).second);
    fleet.end(starts[0], run_outcome::failed, 60 * attempt);
    fleet.scheduler.place_waiting(at_ms(60 * attempt));
    starts = fleet.scheduler.take_starts();
  }
  CHECK(starts.empty());
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::failed);
  CHECK(results[0].cause == job_cause::attempts_used_up);
}

TEST_CASE("runs of a lost agent are repeated only after they have certainly ended") {
  // Guards against two overlapping runs of one task.
  fixture fleet(2);
  const auto starts = fleet.submit(make_job(1, 1));
  REQUIRE(starts.size() == 1);
  fleet.scheduler.session_lost(starts[0].worker, at_ms(10), at_ms(400));
  const auto certain_end = at_ms(10) + fleet_policy{}.lost_run_wait;
  fleet.scheduler.tick(certain_end - milliseconds(1));
  CHECK(fleet.scheduler.take_starts().empty());
  fleet.scheduler.tick(certain_end + milliseconds(1));
  const auto repeated = fleet.scheduler.take_starts();
  REQUIRE(repeated.size() == 1);
  CHECK(repeated[0].worker != starts[0].worker);
  CHECK(repeated[0].order.run.attempt == 2);
}

TEST_CASE("the wait for lost runs covers an agent that ends after it was cut off") {
  // Guards against two runs of a task at a time if only the frames of the agent are lost: it hears
  // the entry until the entry closes the silent link, and extends its worker's lease until then.
  const link_timing timing;
  const fleet_agent_settings agent;
  constexpr milliseconds stop_time{60};
  constexpr double clock_error = 1.02;
  CHECK(fleet_policy{}.lost_run_wait >=
        timing.max_silence + timing.tick_interval + agent.worker_lease * clock_error + stop_time);
  // An agent that does not end stops the runs itself.
  CHECK(fleet_policy{}.lost_run_wait >=
        timing.max_silence + timing.tick_interval + timing.owner_lease + stop_time);
}

TEST_CASE("a session that is resumed in time keeps its runs") {
  fixture fleet(2);
  const auto starts = fleet.submit(make_job(1, 1));
  fleet.scheduler.session_lost(starts[0].worker, at_ms(10), at_ms(400));
  fleet.scheduler.session_opened(starts[0].worker, true, at_ms(500));
  CHECK(fleet.scheduler.outstanding(starts[0].worker) == std::vector<run_id>{starts[0].order.run});
  fleet.scheduler.tick(at_ms(5'000));
  CHECK(fleet.scheduler.take_starts().empty());
  fleet.end(starts[0], run_outcome::done, 5'000);
  CHECK(fleet.scheduler.take_results().size() == 1);
}

TEST_CASE("a new agent process does not shorten the wait for the runs of the old one") {
  // Guards against two overlapping runs of one task when an agent restarts immediately.
  fixture fleet(2);
  const auto starts = fleet.submit(make_job(1, 1));
  fleet.scheduler.session_lost(starts[0].worker, at_ms(10), at_ms(20));
  fleet.scheduler.session_opened(starts[0].worker, false, at_ms(200));
  fleet.scheduler.worker_reported(starts[0].worker, idle_worker(), at_ms(200));
  const auto certain_end = at_ms(10) + fleet_policy{}.lost_run_wait;
  fleet.scheduler.tick(certain_end - milliseconds(1));
  CHECK(fleet.scheduler.take_starts().empty());
  fleet.scheduler.tick(certain_end + milliseconds(1));
  CHECK(fleet.scheduler.take_starts().size() == 1);
}

TEST_CASE("a new agent process is not asked for the runs of the old one when it reconnects") {
  // Guards against a job that is refused as not run although a task of it ran: the new process
  // answered that it had not started the run, which it could not know.
  fixture fleet(2);
  const auto starts = fleet.submit(make_job(1, 1));
  const auto worker = starts[0].worker;
  fleet.scheduler.session_lost(worker, at_ms(10), at_ms(20));
  fleet.scheduler.session_opened(worker, false, at_ms(200));
  fleet.scheduler.session_lost(worker, at_ms(210), at_ms(300));
  fleet.scheduler.session_opened(worker, true, at_ms(400));
  fleet.scheduler.worker_reported(worker, idle_worker(), at_ms(400));
  CHECK(fleet.scheduler.outstanding(worker).empty());
  const auto certain_end = at_ms(10) + fleet_policy{}.lost_run_wait;
  fleet.scheduler.tick(certain_end - milliseconds(1));
  CHECK(fleet.scheduler.take_starts().empty());
  SUBCASE("the run is lost in the end") {
    fleet.scheduler.tick(certain_end + milliseconds(1));
    const auto repeated = fleet.scheduler.take_starts();
    REQUIRE(repeated.size() == 1);
    CHECK(repeated[0].order.run.attempt == 2);
    CHECK(fleet.scheduler.outstanding(repeated[0].worker).size() == 1);
  }
  SUBCASE("its end, found in the worker's lists, still counts") {
    fleet.end(starts[0], run_outcome::done, 1'000);
    const auto results = fleet.scheduler.take_results();
    REQUIRE(results.size() == 1);
    CHECK(results[0].verdict == job_verdict::completed);
  }
}

TEST_CASE("lost runs are not repeated after this process was stalled") {
  // Guards against overlapping runs when the caller has submitted the job to another entry.
  fixture fleet(2);
  const auto starts = fleet.submit(make_job(1, 1));
  fleet.scheduler.process_stalled(at_ms(2'000));
  fleet.scheduler.session_lost(starts[0].worker, at_ms(10), at_ms(3'000));
  fleet.scheduler.tick(at_ms(3'100));
  CHECK(fleet.scheduler.take_starts().empty());
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::unknown);
}

TEST_CASE("jobs that arrive after a stall of this process are not affected by it") {
  // Guards against unknown results of jobs that arrived after a stall and were placed on a session
  // that was lost during it. Found with deploy/days/cut_entries_change.toml.
  fixture fleet(2);
  const auto starts = fleet.submit(make_job(1, 1), 3'000);
  fleet.scheduler.process_stalled(at_ms(0));
  fleet.scheduler.session_lost(starts[0].worker, at_ms(10), at_ms(3'001));
  fleet.scheduler.tick(at_ms(3'020));
  CHECK(fleet.scheduler.take_starts().size() == 1);
  CHECK(fleet.scheduler.take_results().empty());
}

TEST_CASE("a job is answered as not run only if none of its tasks was started") {
  // Guards against a refusal of a job that may have run: any placed task may.
  fixture fleet(1);
  auto job = make_job(1, 1);
  job.answer_timeout = milliseconds(500);
  const auto starts = fleet.submit(std::move(job));
  REQUIRE(starts.size() == 1);
  fleet.scheduler.tick(at_ms(501));
  auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::unknown);
  CHECK(fleet.scheduler.take_stops().size() == 1);

  fixture second(1);
  job = make_job(2, 1);
  job.answer_timeout = milliseconds(500);
  const auto returned = second.submit(std::move(job));
  second.end(returned[0], run_outcome::not_started, 10);
  second.scheduler.worker_reported(second.workers[0], {}, at_ms(10));
  second.scheduler.tick(at_ms(501));
  results = second.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::not_run);
  CHECK(results[0].retry_after >= milliseconds(1'000));
}

TEST_CASE("a job that no known worker can hold is refused at once") {
  fixture fleet(1);
  auto job = make_job(1, 1);
  job.steps[0].needs.cpu_millis = 64'000;
  CHECK(fleet.submit(std::move(job)).empty());
  job = make_job(2, 1);
  job.steps[0].required_label = "gpu";
  CHECK(fleet.submit(std::move(job)).empty());
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 2);
  for (const auto& result : results) {
    CHECK(result.verdict == job_verdict::not_run);
    CHECK(result.cause == job_cause::no_capable_worker);
  }
}

/// The worker of the fixture with the label that `job_for_label` needs.
worker_status labelled_worker() {
  auto status = idle_worker();
  status.description.labels = {"gpu"};
  return status;
}

fleet_job job_for_label(std::uint64_t id) {
  auto job = make_job(id, 1);
  job.terms.target = milliseconds(8'000);
  job.steps[0].required_label = "gpu";
  return job;
}

/// Lets a scheduler pass and returns the requests for workers.
std::vector<worker_search::due_request> pass(fixture& fleet, std::int64_t at) {
  fleet.scheduler.tick(at_ms(at));
  return fleet.scheduler.search_workers(site_access::connected, at_ms(at));
}

TEST_CASE("a job for which no worker is in reach waits until one is found") {
  // Guards against jobs that are refused, or wait for ever if they are durable, because the agents
  // of fitting workers have no session to the entry.
  for (const bool durable : {false, true}) {
    fixture fleet(3);
    pass(fleet, 0);
    auto job = job_for_label(1);
    if (durable) {
      job.ownership = job_ownership{1, 0, {}};
    }
    CHECK(fleet.submit(std::move(job), 10).empty());
    CHECK(fleet.scheduler.take_results().empty());
    const auto requests = pass(fleet, 20);
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].requirement == worker_requirement{"desk", "gpu", {3'100, 64, 0}});
    const auto found = fleet.scheduler.worker_for("agent-found", "b");
    fleet.scheduler.session_opened(found, false, at_ms(300));
    fleet.scheduler.session_is_requested(found);
    fleet.scheduler.worker_reported(found, labelled_worker(), at_ms(310));
    CHECK(pass(fleet, 320).empty());
    const auto starts = fleet.scheduler.take_starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].worker == found);
    CHECK(fleet.scheduler.is_needed(found));
    CHECK_FALSE(fleet.scheduler.is_needed(fleet.workers[0]));
  }
}

TEST_CASE("a best-effort job is refused once the site is known to have no worker for it") {
  // Guards against "no worker can run it" from the sessions of one entry alone, against jobs that
  // wait although the site is known to have none, and against forgotten jobs and counts.
  fixture fleet(3);
  pass(fleet, 0);
  fleet.submit(job_for_label(1), 10);
  for (std::int64_t now = 20; now < 1'500; now += 20) {
    pass(fleet, now);
    CHECK(fleet.scheduler.take_results().empty());
  }
  for (std::int64_t now = 1'500; now < 1'600; now += 20) {
    pass(fleet, now);
  }
  auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].cause == job_cause::no_capable_worker);
  fleet.submit(job_for_label(2), 1'610);
  results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::not_run);
  CHECK(results[0].elapsed == milliseconds(0));
  CHECK(fleet.scheduler.open_jobs() == 0);
}

TEST_CASE("a step that needs more workers than are in reach asks for idle ones") {
  // Guards against tasks that wait for the few workers in reach while others are idle.
  fixture fleet(2);
  pass(fleet, 0);
  auto job = make_job(1, 3);
  job.terms.target = milliseconds(8'000);
  job.steps[0].max_per_worker = 1;
  CHECK(fleet.submit(std::move(job), 10).size() == 2);
  for (std::int64_t now = 20; now < 500; now += 20) {
    CHECK(pass(fleet, now).empty());
  }
  const auto requests = pass(fleet, 520);
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].idle);
  CHECK(fleet.scheduler.agents_for(requests[0].requirement) ==
        std::vector<std::uint32_t>{queue_hash("agent-0"), queue_hash("agent-1")});

  // Another entry chooses an idle worker that the requester does not reach.
  fixture other(3);
  auto busy = idle_worker();
  busy.committed = {20'000, 64, 0};
  other.scheduler.worker_reported(other.workers[2], busy, at_ms(0));
  worker_request request;
  request.requirement = requests[0].requirement;
  request.idle = true;
  request.busy_agents = {queue_hash("agent-0")};
  CHECK(other.scheduler.find_worker(request) == other.workers[1]);
  request.busy_agents.push_back(queue_hash("agent-1"));
  CHECK_FALSE(other.scheduler.find_worker(request).has_value());
  request.idle = false;
  CHECK(other.scheduler.find_worker(request).has_value());
}

TEST_CASE("jobs that wait for workers to be found can be cancelled and expire") {
  fixture fleet(3);
  pass(fleet, 0);
  fleet.submit(job_for_label(1), 10);
  fleet.scheduler.cancel(1, at_ms(20));
  auto expiring = job_for_label(2);
  expiring.answer_timeout = milliseconds(100);
  fleet.submit(std::move(expiring), 20);
  pass(fleet, 130);
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::not_run);
  CHECK(results[0].cause == job_cause::deadline_passed);
  CHECK(fleet.scheduler.open_jobs() == 0);
  // The limit of the backlog counts open jobs only.
  for (std::uint64_t id = 10; id < 14; ++id) {
    auto job = job_for_label(id);
    job.steps[0].count = 6'000;
    fleet.submit(std::move(job), 140);
  }
  CHECK(fleet.scheduler.take_results().size() == 1);
}

TEST_CASE("after the start, jobs wait for the first worker to report") {
  // Guards against refused jobs just after all hosts were restarted.
  fixture fleet(0);
  CHECK(fleet.submit(make_job(1, 2)).empty());
  CHECK(fleet.scheduler.take_results().empty());
  const auto worker = fleet.scheduler.worker_for("agent", "a");
  fleet.scheduler.session_opened(worker, false, at_ms(100));
  fleet.scheduler.worker_reported(worker, idle_worker(), at_ms(100));
  fleet.scheduler.tick(at_ms(100));
  CHECK(fleet.scheduler.take_starts().size() == 2);

  fixture without_workers(0);
  without_workers.submit(make_job(1, 1));
  without_workers.scheduler.tick(at_ms(420));
  CHECK(without_workers.scheduler.take_results().size() == 1);
  without_workers.submit(make_job(2, 1), 6'000);
  CHECK(without_workers.scheduler.take_results().size() == 1);
}

TEST_CASE("jobs that arrive in one turn of the loop are not refused while workers are idle") {
  // Guards against counting jobs as backlog before their placement was tried.
  fixture fleet(20);
  fleet.submit(make_job(100, 1, milliseconds(900)));
  for (std::uint64_t id = 1; id <= 20; ++id) {
    fleet.scheduler.submit(make_job(id, 8), at_ms(1));
  }
  fleet.scheduler.place_waiting(at_ms(1));
  CHECK(fleet.scheduler.take_results().empty());
  CHECK(fleet.scheduler.take_starts().size() == 160);
}

TEST_CASE("a slow run is moved if another worker ends it sooner") {
  fixture fleet(2);
  const auto starts = fleet.submit(make_job(1, 1, milliseconds(900)));
  REQUIRE(starts.size() == 1);
  fleet.scheduler.run_is_slow(starts[0].worker, {starts[0].order.run, 2, milliseconds(2'300)},
                              at_ms(2'300));
  const auto stops = fleet.scheduler.take_stops();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].report_end);
  // Nothing starts before the end of the first run is reported.
  fleet.scheduler.place_waiting(at_ms(2'310));
  CHECK(fleet.scheduler.take_starts().empty());
  fleet.end(starts[0], run_outcome::stopped, 2'350);
  fleet.scheduler.place_waiting(at_ms(2'350));
  const auto repeated = fleet.scheduler.take_starts();
  REQUIRE(repeated.size() == 1);
  CHECK(repeated[0].worker != starts[0].worker);
}

TEST_CASE("an end of an earlier attempt changes nothing") {
  // Guards against delayed and repeated reports after a session was resumed.
  fixture fleet(2);
  const auto first = fleet.submit(make_job(1, 1));
  fleet.end(first[0], run_outcome::failed, 50);
  fleet.scheduler.place_waiting(at_ms(50));
  const auto second = fleet.scheduler.take_starts();
  REQUIRE(second.size() == 1);
  fleet.end(first[0], run_outcome::done, 60);
  fleet.scheduler.run_ended(first[0].worker, {second[0].order.run, run_outcome::done, {}, {}},
                            at_ms(61));
  CHECK(fleet.scheduler.take_results().empty());
}

TEST_CASE("a caller that leaves has its runs stopped") {
  fixture fleet(1);
  fleet.submit(make_job(1, 3));
  fleet.scheduler.cancel(1, at_ms(5));
  CHECK(fleet.scheduler.take_stops().size() == 3);
  CHECK(fleet.scheduler.take_results().empty());
  CHECK_FALSE(fleet.scheduler.is_open(1));
  CHECK(fleet.scheduler.outstanding(fleet.workers[0]).empty());
}

TEST_CASE("a worker that fails its runs gets tasks only if there is no other") {
  fixture fleet(2);
  auto failing = idle_worker();
  failing.failure_share = 0.9;
  failing.slowdown = 0.1;
  fleet.scheduler.worker_reported(fleet.workers[0], failing, at_ms(0));
  for (const auto& start : fleet.submit(make_job(1, 8))) {
    CHECK(start.worker == fleet.workers[1]);
  }
}

TEST_CASE("a worker whose run was lost while this process was stalled is used again") {
  // Guards against resources that are released twice, after which the worker counts as full for
  // good. Found by the soak test, seed 1213.
  fixture fleet(1);
  REQUIRE(fleet.submit(make_job(1, 1)).size() == 1);
  fleet.scheduler.process_stalled(at_ms(10));
  fleet.scheduler.session_lost(0, at_ms(10), at_ms(2'000));
  fleet.scheduler.tick(at_ms(2'000));
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::unknown);
  fleet.scheduler.session_opened(0, true, at_ms(2'100));
  fleet.scheduler.worker_reported(0, idle_worker(), at_ms(2'100));
  CHECK(fleet.submit(make_job(2, 1), 2'100).size() == 1);
}

fleet_job make_durable_job(std::uint64_t id, std::uint32_t tasks,
                           std::uint32_t attempts_before = 0) {
  auto job = make_job(id, tasks);
  job.answer_timeout = milliseconds(0);
  job.ownership = job_ownership{4, attempts_before, {}};
  return job;
}

TEST_CASE("a durable job resumes with the progress of its earlier owner") {
  // Guards against repeating finished tasks, reusing attempt numbers and losing failure counts.
  fixture fleet(2);
  auto job = make_durable_job(1, 3, attempts_per_epoch);
  job.ownership->progress = {{{true, {}, 1}, {false, {1, 2}, 2}, {}}};
  const auto starts = fleet.submit(job);
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].order.run == run_id{{1, 0, 1}, attempts_per_epoch + 1});
  CHECK(starts[0].order.epoch == 4);
  fleet.end(starts[0], run_outcome::failed, 60); // The third failure of three.
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::failed);
}

TEST_CASE("jobs that no worker can run do not hold up the jobs behind them") {
  // Guards against accepted jobs that are never started although workers are idle: the scheduler
  // gave up after 32 jobs whose tasks did not fit, whatever they lacked (review/3).
  fixture fleet(2);
  constexpr std::uint64_t stuck_jobs = 100;
  for (std::uint64_t id = 1; id <= stuck_jobs; ++id) {
    auto job = make_durable_job(id, 1);
    SUBCASE("for want of a label") {
      job.steps[0].required_label = "missing";
    }
    SUBCASE("for want of memory that no worker has") {
      job.steps[0].needs.memory_mb = 1'000'000 - static_cast<std::uint32_t>(id);
    }
    CHECK(fleet.submit(std::move(job)).empty());
  }
  CHECK(fleet.submit(make_durable_job(stuck_jobs + 1, 1)).size() == 1);
}

TEST_CASE("jobs that wait for busy workers do not hold up those for other workers") {
  // The same for tasks that have to wait for the few workers with a label.
  fixture fleet(2);
  auto labelled = idle_worker(8'000);
  labelled.description.labels = {"gpu"};
  fleet.scheduler.worker_reported(fleet.workers[0], labelled, at_ms(0));
  for (std::uint64_t id = 1; id <= 100; ++id) {
    auto job = make_durable_job(id, 1);
    job.steps[0].required_label = "gpu";
    // Each needs less than the one before it, so that none can be left out because of an earlier
    // one.
    job.steps[0].needs.cpu_millis = 7'000 - static_cast<std::uint32_t>(id);
    CHECK(fleet.submit(std::move(job)).size() == (id == 1 ? 1 : 0));
  }
  const auto starts = fleet.submit(make_durable_job(101, 1));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].worker == fleet.workers[1]);
}

TEST_CASE("a durable job whose tasks are all done is completed at once") {
  fixture fleet(1);
  auto job = make_durable_job(1, 1);
  job.ownership->progress = {{{true, {}, 1}}};
  CHECK(fleet.submit(job).empty());
  REQUIRE(fleet.scheduler.take_results().size() == 1);
}

TEST_CASE("a durable job waits for workers, however long, and is never refused") {
  fixture fleet(0);
  CHECK(fleet.submit(make_durable_job(1, 2)).empty());
  fleet.scheduler.process_stalled(at_ms(20'000));
  fleet.scheduler.tick(at_ms(60'000));
  CHECK(fleet.scheduler.take_results().empty());
  // Counted only by the owner of its partition, which asks whether it has begun.
  CHECK(fleet.scheduler.waiting_jobs("queue") == 0);
  CHECK(fleet.scheduler.open_jobs() == 1);
  CHECK(fleet.scheduler.is_open(1));
  CHECK_FALSE(fleet.scheduler.has_begun(1));
  const auto worker = fleet.scheduler.worker_for("agent", "a");
  fleet.scheduler.session_opened(worker, false, at_ms(60'000));
  fleet.scheduler.worker_reported(worker, idle_worker(), at_ms(60'000));
  fleet.scheduler.place_waiting(at_ms(60'000));
  CHECK(fleet.scheduler.take_starts().size() == 2);
  CHECK(fleet.scheduler.has_begun(1));
}

TEST_CASE("a lost run of a durable job is repeated only after its loss is stored") {
  // Guards against a later owner that uses the end of the lost run.
  fixture fleet(2);
  auto job = make_job(1, 1);
  job.ownership = job_ownership{4, 0, {}};
  auto starts = fleet.submit(std::move(job));
  REQUIRE(starts.size() == 1);
  fleet.end(starts[0], run_outcome::lost, 60);
  fleet.scheduler.tick(at_ms(80));
  CHECK(fleet.scheduler.take_starts().empty());
  const auto lost = fleet.scheduler.take_lost_runs();
  REQUIRE(lost.size() == 1);
  REQUIRE(lost[0].run == starts[0].order.run);
  fleet.scheduler.restart_task({lost[0].run.task, 9}, at_ms(90)); // Not its latest run.
  fleet.scheduler.restart_task(lost[0].run, at_ms(100));
  fleet.scheduler.restart_task(lost[0].run, at_ms(100));
  fleet.scheduler.place_waiting(at_ms(100));
  starts = fleet.scheduler.take_starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].order.run.attempt == 2);
}

TEST_CASE("a suspended job stops its runs, handles their ends and starts nothing") {
  // Guards against a task that keeps running while its partition moves to another owner.
  fixture fleet(2);
  const auto starts = fleet.submit(make_durable_job(1, 2));
  REQUIRE(starts.size() == 2);
  fleet.scheduler.suspend(1);
  const auto stops = fleet.scheduler.take_stops();
  REQUIRE(stops.size() == 2);
  CHECK(stops[0].report_end);
  fleet.end(starts[0], run_outcome::stopped, 10);
  CHECK(fleet.scheduler.is_placed(1));
  fleet.end(starts[1], run_outcome::done, 10);
  CHECK_FALSE(fleet.scheduler.is_placed(1));
  fleet.scheduler.tick(at_ms(50));
  CHECK(fleet.scheduler.take_starts().empty());
  CHECK(fleet.scheduler.backlog() == 0);
}

TEST_CASE(
    "a stopping host answers every open job: as not run only if none of its tasks was placed") {
  // Guards against requests that end without an answer because their host exits.
  fixture fleet(1);
  REQUIRE(fleet.submit(make_job(1, 10)).size() == 10); // The worker is full.
  CHECK(fleet.submit(make_job(2, 2)).empty());
  fleet.scheduler.end_open_jobs(job_cause::host_stopping, at_ms(100));
  auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 2);
  std::sort(results.begin(), results.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  CHECK(results[0].verdict == job_verdict::unknown);
  CHECK(results[1].verdict == job_verdict::not_run);
  CHECK(fleet.scheduler.take_stops().size() == 10);
  CHECK(fleet.scheduler.open_jobs() == 0);
}

fleet_job job_of_queue(std::uint64_t id, const std::string& queue, std::uint32_t tasks) {
  auto job = make_job(id, tasks);
  job.terms.queue = queue;
  return job;
}

TEST_CASE("a job whose deadline passes is not shown as failed") {
  // Guards against telling a caller that shares the job, or that waits longer than it said, that
  // the job failed although none of its tasks used up its attempts.
  fixture fleet(1);
  auto job = make_job(1, 1);
  job.answer_timeout = milliseconds(1'500);
  REQUIRE(fleet.submit(std::move(job)).size() == 1);
  fleet.scheduler.tick(at_ms(1'499));
  CHECK(fleet.scheduler.take_results().empty());
  fleet.scheduler.tick(at_ms(1'500));
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::unknown);
  CHECK(results[0].cause == job_cause::deadline_passed);
  CHECK(fleet.scheduler.take_stops().size() == 1);
}

run_end crash_of(const placed_start& start, bool suspect) {
  return {start.order.run, run_outcome::lost, milliseconds(20), {}, false, true, suspect};
}

TEST_CASE("a task that crashes its workers is given up") {
  // Guards against a task that takes down one worker after the other.
  for (const bool durable : {false, true}) {
    fixture fleet(10);
    auto job = make_job(1, 1);
    if (durable) {
      job.ownership = job_ownership{1, 0, {}};
    }
    auto starts = fleet.submit(std::move(job));
    std::int64_t crashes = 0;
    while (!starts.empty()) {
      REQUIRE(starts.size() == 1);
      CHECK(starts[0].order.isolated == (crashes > 0));
      ++crashes;
      fleet.scheduler.run_ended(starts[0].worker, crash_of(starts[0], true), at_ms(100 * crashes));
      for (const auto& lost : fleet.scheduler.take_lost_runs()) {
        CHECK(lost.worker_crashed);
        fleet.scheduler.restart_task(lost.run, at_ms(100 * crashes));
      }
      fleet.scheduler.tick(at_ms(100 * crashes));
      starts = fleet.scheduler.take_starts();
    }
    CHECK(crashes == (durable ? 3 : 2));
    const auto results = fleet.scheduler.take_results();
    REQUIRE(results.size() == 1);
    CHECK(results[0].verdict == job_verdict::failed);
    CHECK(results[0].cause == job_cause::crashes_workers);
  }
}

TEST_CASE("a task beside one that crashes its worker is completed") {
  // Guards against giving up sound tasks that only shared their workers' crashes.
  fixture fleet(5);
  auto starts = fleet.submit(make_job(1, 1));
  REQUIRE(starts.size() == 1);
  // Older than another run on the worker, then one of the suspects.
  for (const bool suspect : {false, true}) {
    CHECK(!starts[0].order.isolated);
    fleet.scheduler.run_ended(starts[0].worker, crash_of(starts[0], suspect), at_ms(100));
    fleet.scheduler.tick(at_ms(100));
    starts = fleet.scheduler.take_starts();
    REQUIRE(starts.size() == 1);
  }
  CHECK(starts[0].order.isolated);
  fleet.end(starts[0], run_outcome::done, 200);
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::completed);
  CHECK(results[0].crashed_runs == 2);
}

run_end returned_after(const placed_start& start, milliseconds waited) {
  return {start.order.run, run_outcome::not_started, {}, waited};
}

TEST_CASE("an isolated order that is returned again and again becomes an ordinary one") {
  // Guards against a task that waits for an idle worker while long runs keep all of them busy.
  fixture fleet(5);
  auto starts = fleet.submit(make_job(1, 1));
  fleet.scheduler.run_ended(starts[0].worker, crash_of(starts[0], true), at_ms(100));
  std::uint32_t returned = 0;
  for (;;) {
    fleet.scheduler.tick(at_ms(100));
    starts = fleet.scheduler.take_starts();
    REQUIRE(starts.size() == 1);
    if (!starts[0].order.isolated) {
      break;
    }
    REQUIRE(++returned < 5);
    fleet.scheduler.run_ended(starts[0].worker, returned_after(starts[0], starts[0].order.max_wait),
                              at_ms(100));
  }
  CHECK(returned == 2);
  // It is still given up, whatever runs beside it.
  std::uint32_t crashes = 1;
  while (!starts.empty()) {
    ++crashes;
    fleet.scheduler.run_ended(starts[0].worker, crash_of(starts[0], true), at_ms(100));
    fleet.scheduler.tick(at_ms(100));
    starts = fleet.scheduler.take_starts();
  }
  CHECK(crashes == 5);
}

TEST_CASE("an isolated task does not wait while all quarantined workers are down") {
  // Guards against a storm of crashes in which no queue is confined, because the isolated tasks
  // that would show the cause wait for workers that other tasks crash.
  fixture fleet(5);
  fleet.submit(job_of_queue(1, "sound", 1));
  const auto isolated_start = [&](std::uint64_t id) {
    const auto starts = fleet.submit(job_of_queue(id, "deadly", 1));
    REQUIRE(starts.size() == 1);
    fleet.scheduler.run_ended(starts[0].worker, crash_of(starts[0], true), at_ms(100));
    fleet.scheduler.tick(at_ms(1'000));
    return fleet.scheduler.take_starts();
  };
  const auto quarantined = isolated_start(2);
  REQUIRE(quarantined.size() == 1);
  worker_status down;
  down.has_description = false;
  fleet.scheduler.worker_reported(quarantined[0].worker, down, at_ms(1'000));
  const auto other = isolated_start(3);
  REQUIRE(other.size() == 1);
  CHECK(other[0].order.isolated);
  CHECK(other[0].worker != quarantined[0].worker);

  // Tasks of a confined queue wait.
  fleet.scheduler.worker_crashed({queue_hash("deadly"), true}, at_ms(1'000));
  fleet.scheduler.worker_crashed({queue_hash("deadly"), true}, at_ms(1'000));
  auto job = job_of_queue(4, "deadly", 1);
  task_progress progress;
  progress.crashed_attempts = {1};
  job.ownership = job_ownership{2, attempts_per_epoch, {{progress}}};
  CHECK(fleet.submit(std::move(job), 1'000).empty());
}

TEST_CASE("an isolated order that a crashing worker returns stays with the quarantined workers") {
  // Guards against tasks that crash further workers because the quarantined one crashed under
  // another task while their orders waited there.
  fixture fleet(5);
  auto starts = fleet.submit(make_job(1, 1));
  fleet.scheduler.run_ended(starts[0].worker, crash_of(starts[0], true), at_ms(100));
  fleet.scheduler.tick(at_ms(100));
  starts = fleet.scheduler.take_starts();
  REQUIRE(starts.size() == 1);
  const auto quarantined = starts[0].worker;
  for (int i = 0; i < 3; ++i) {
    CHECK(starts[0].order.isolated);
    CHECK(starts[0].worker == quarantined);
    fleet.scheduler.run_ended(starts[0].worker, returned_after(starts[0], milliseconds(100)),
                              at_ms(200));
    fleet.scheduler.tick(at_ms(200));
    starts = fleet.scheduler.take_starts();
    REQUIRE(starts.size() == 1);
  }
}

TEST_CASE("losses of unreachable workers are not counted as crashes") {
  // Guards against giving up tasks whose workers were only cut off.
  fixture fleet(5);
  auto starts = fleet.submit(make_job(1, 1));
  for (int i = 0; i < 5; ++i) {
    REQUIRE(starts.size() == 1);
    CHECK(!starts[0].order.isolated);
    fleet.end(starts[0], run_outcome::lost, 100);
    fleet.scheduler.tick(at_ms(100));
    starts = fleet.scheduler.take_starts();
  }
  CHECK(fleet.scheduler.take_results().empty());
}

run_end refused_loss_of(const placed_start& start) {
  run_end end{start.order.run, run_outcome::lost, milliseconds(1'100), {}};
  end.suspect = true;
  end.cause = loss_cause::connection_refused;
  return end;
}

TEST_CASE("a task whose workers refused connections for a while is neither given up nor isolated") {
  // Guards against failing sound tasks for crashes that no worker has had, and against tasks that
  // wait for an idle worker because of them.
  for (const bool durable : {false, true}) {
    fixture fleet(10);
    auto job = make_job(1, 1);
    if (durable) {
      job.ownership = job_ownership{1, 0, {}};
    }
    auto starts = fleet.submit(std::move(job));
    for (int i = 0; i < 6; ++i) {
      const std::int64_t now = std::int64_t{1'100} * (i + 1);
      REQUIRE(starts.size() == 1);
      CHECK_FALSE(starts[0].order.isolated);
      auto end = refused_loss_of(starts[0]);
      CHECK(fleet.scheduler.run_ended(starts[0].worker, end, at_ms(now)));
      for (const auto& lost : fleet.scheduler.take_lost_runs()) {
        CHECK_FALSE(lost.worker_crashed);
        fleet.scheduler.restart_task(lost.run, at_ms(now));
      }
      end.suspect = false; // The worker answers again, in the same incarnation.
      CHECK_FALSE(fleet.scheduler.run_ended(starts[0].worker, end, at_ms(now)));
      fleet.scheduler.tick(at_ms(now));
      starts = fleet.scheduler.take_starts();
    }
    REQUIRE(starts.size() == 1);
    fleet.end(starts[0], run_outcome::done, 8'000);
    const auto results = fleet.scheduler.take_results();
    REQUIRE(results.size() == 1);
    CHECK(results[0].verdict == job_verdict::completed);
    CHECK(results[0].crashed_runs == 0);
  }
}

TEST_CASE("a crash that is reported after the loss of the run counts once") {
  // Guards against a task that takes down one worker after the other, each reported as crashed only
  // when it answers again.
  for (const bool durable : {false, true}) {
    fixture fleet(10);
    auto job = make_job(1, 1);
    if (durable) {
      job.ownership = job_ownership{1, 0, {}};
    }
    auto starts = fleet.submit(std::move(job));
    std::vector<placed_start> lost_starts;
    std::int64_t now = 0;
    while (!starts.empty()) {
      REQUIRE(starts.size() == 1);
      lost_starts.push_back(starts[0]);
      now += 1'100;
      fleet.scheduler.run_ended(starts[0].worker, refused_loss_of(starts[0]), at_ms(now));
      for (const auto& lost : fleet.scheduler.take_lost_runs()) {
        fleet.scheduler.restart_task(lost.run, at_ms(now));
      }
      fleet.scheduler.tick(at_ms(now));
      starts = fleet.scheduler.take_starts();
    }
    // As many as would fail the job; the next start waits for the reports.
    CHECK(lost_starts.size() == (durable ? 3 : 2));
    CHECK(fleet.scheduler.take_results().empty());
    for (const auto& lost : lost_starts) {
      for (int repeated = 0; repeated < 2; ++repeated) {
        auto end = refused_loss_of(lost);
        end.worker_crashed = true;
        CHECK_FALSE(fleet.scheduler.run_ended(lost.worker, end, at_ms(now)));
      }
      if (durable) {
        fleet.scheduler.crash_counted(lost.order.run, at_ms(now));
      }
    }
    const auto results = fleet.scheduler.take_results();
    REQUIRE(results.size() == 1);
    CHECK(results[0].verdict == job_verdict::failed);
    CHECK(results[0].cause == job_cause::crashes_workers);
    CHECK(results[0].crashed_runs == lost_starts.size());
  }
}

TEST_CASE("a stored job's suspect that runs beside others waits for the reports, too") {
  // Guards against a deadly task that takes down further workers because its isolated orders are
  // returned.
  fixture fleet(10);
  auto job = make_job(1, 1);
  job.ownership = job_ownership{1, 0, {}};
  auto starts = fleet.submit(std::move(job));
  std::int64_t now = 0;
  for (int losses = 0; losses < 3; ++losses) {
    REQUIRE(starts.size() == 1);
    while (starts[0].order.isolated) {
      now += 1'000;
      fleet.scheduler.run_ended(starts[0].worker, returned_after(starts[0], milliseconds(1'000)),
                                at_ms(now));
      fleet.scheduler.tick(at_ms(now));
      starts = fleet.scheduler.take_starts();
      REQUIRE(starts.size() == 1);
    }
    now += 600;
    fleet.scheduler.run_ended(starts[0].worker, refused_loss_of(starts[0]), at_ms(now));
    for (const auto& lost : fleet.scheduler.take_lost_runs()) {
      fleet.scheduler.restart_task(lost.run, at_ms(now));
    }
    fleet.scheduler.tick(at_ms(now));
    starts = fleet.scheduler.take_starts();
  }
  CHECK(starts.empty());
}

TEST_CASE("a crash that is reported after the loss of a run at a silent worker counts") {
  // Guards against deadly tasks whose crashes are not counted because nothing was suspected.
  fixture fleet(5);
  auto starts = fleet.submit(make_job(1, 1));
  REQUIRE(starts.size() == 1);
  auto end = refused_loss_of(starts[0]);
  end.suspect = false;
  end.cause = loss_cause::worker_silent;
  fleet.scheduler.run_ended(starts[0].worker, end, at_ms(600));
  fleet.scheduler.tick(at_ms(600));
  const auto restarted = fleet.scheduler.take_starts();
  REQUIRE(restarted.size() == 1);
  CHECK_FALSE(restarted[0].order.isolated);
  end.worker_crashed = true;
  fleet.scheduler.run_ended(starts[0].worker, end, at_ms(3'000));
  fleet.end(restarted[0], run_outcome::done, 3'100);
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].crashed_runs == 1);
}

TEST_CASE("a task of a stored job runs again within 3 s of the end of its last run") {
  // Guards against stored jobs that are idle although there is room (rule LOST).
  constexpr std::int64_t loss_detection_ms = 630;
  constexpr std::int64_t append_ms = 15;
  fixture fleet(10);
  auto job = make_job(1, 1);
  job.ownership = job_ownership{1, 0, {}};
  auto starts = fleet.submit(std::move(job));
  std::int64_t last_began = 0;
  for (int i = 0; i < 3; ++i) {
    REQUIRE(starts.size() == 1);
    const auto lost_at = last_began + loss_detection_ms;
    fleet.scheduler.run_ended(starts[0].worker, refused_loss_of(starts[0]), at_ms(lost_at));
    for (const auto& lost : fleet.scheduler.take_lost_runs()) {
      fleet.scheduler.restart_task(lost.run, at_ms(lost_at + append_ms));
    }
    fleet.scheduler.tick(at_ms(lost_at + append_ms));
    starts = fleet.scheduler.take_starts();
    last_began = starts.empty() ? last_began : lost_at + append_ms;
  }
  CHECK(starts.empty());
  fleet.scheduler.tick(at_ms(last_began + 3'000));
  CHECK(fleet.scheduler.take_starts().size() == 1);
}

TEST_CASE("a task is failed only if the last crash was that of an isolated run") {
  // Guards against failing a stored job for crashes that other tasks may have caused.
  fixture fleet(10);
  auto job = make_job(1, 1);
  job.ownership = job_ownership{1, 0, {}};
  auto starts = fleet.submit(std::move(job));
  std::int64_t now = 0;
  const auto crash = [&] {
    now += 100;
    fleet.scheduler.run_ended(starts[0].worker, crash_of(starts[0], true), at_ms(now));
    for (const auto& lost : fleet.scheduler.take_lost_runs()) {
      fleet.scheduler.restart_task(lost.run, at_ms(now));
    }
    fleet.scheduler.tick(at_ms(now));
    starts = fleet.scheduler.take_starts();
  };
  crash();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].order.isolated);
  crash();
  for (int returned = 0; returned < 2; ++returned) {
    REQUIRE(starts.size() == 1);
    now += 1'000;
    fleet.scheduler.run_ended(starts[0].worker, returned_after(starts[0], milliseconds(1'000)),
                              at_ms(now));
    fleet.scheduler.tick(at_ms(now));
    starts = fleet.scheduler.take_starts();
  }
  REQUIRE(starts.size() == 1);
  CHECK_FALSE(starts[0].order.isolated);
  crash();
  CHECK(fleet.scheduler.take_results().empty());
}

TEST_CASE("a task whose lost workers never answer again is started again after a wait") {
  // Guards against a job that waits for ever for a report about a worker that is gone.
  fixture fleet(10);
  auto starts = fleet.submit(make_job(1, 1));
  for (const std::int64_t now : {1'100, 2'200}) {
    REQUIRE(starts.size() == 1);
    fleet.scheduler.run_ended(starts[0].worker, refused_loss_of(starts[0]), at_ms(now));
    fleet.scheduler.tick(at_ms(now));
    starts = fleet.scheduler.take_starts();
  }
  CHECK(starts.empty());
  fleet.scheduler.tick(at_ms(2'200 + fleet_policy{}.loss_report_wait.count()));
  starts = fleet.scheduler.take_starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].order.isolated);
}

TEST_CASE("crashes that earlier owners stored count") {
  fixture fleet(5);
  auto job = make_job(1, 1);
  task_progress progress;
  progress.crashed_attempts = {1, 2};
  job.ownership = job_ownership{2, attempts_per_epoch, {{progress}}};
  const auto starts = fleet.submit(std::move(job));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].order.isolated);
  fleet.scheduler.run_ended(starts[0].worker, crash_of(starts[0], true), at_ms(100));
  CHECK(fleet.scheduler.take_lost_runs().empty());
  CHECK(fleet.scheduler.take_results().size() == 1);
}

std::set<worker_index> workers_of(const std::vector<placed_start>& starts) {
  std::set<worker_index> used;
  for (const auto& start : starts) {
    used.insert(start.worker);
  }
  return used;
}

TEST_CASE("a queue whose tasks crash workers is confined to few of them") {
  // Guards against one kind of task that takes all workers from the others.
  fixture fleet(10);
  fleet.submit(job_of_queue(1, "sound", 1));
  fleet.submit(job_of_queue(2, "deadly", 1));
  fleet.scheduler.worker_crashed({queue_hash("deadly"), false}, at_ms(10));
  fleet.scheduler.worker_crashed({queue_hash("deadly"), true}, at_ms(20));
  CHECK(fleet.scheduler.confined_queues().empty());
  fleet.scheduler.worker_crashed({queue_hash("deadly"), true}, at_ms(400));
  CHECK(fleet.scheduler.confined_queues() == std::set<std::string>{"deadly"});
  const auto deadly = workers_of(fleet.submit(job_of_queue(3, "deadly", 25), 410));
  const auto sound = workers_of(fleet.submit(job_of_queue(4, "sound", 60), 420));
  CHECK(deadly.size() == 2);
  CHECK(sound.size() == 8);
  for (const auto index : sound) {
    CHECK(!deadly.contains(index));
  }

  // Its workers are full, so that its next job is refused at once.
  fleet.submit(job_of_queue(5, "deadly", 5), 430);
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::not_run);
  CHECK(results[0].cause == job_cause::queue_confined);

  fleet.scheduler.tick(at_ms(20'000));
  CHECK(fleet.scheduler.confined_queues().empty());
}

/// Confines the queue "deadly" beside the queue "sound". Returns the quarantined workers, which
/// have no runs at 30 ms.
std::set<worker_index> confine_deadly_queue(fixture& fleet) {
  fleet.submit(job_of_queue(1, "sound", 1));
  fleet.submit(job_of_queue(2, "deadly", 1));
  for (int i = 0; i < 3; ++i) {
    fleet.scheduler.worker_crashed({queue_hash("deadly"), true}, at_ms(10));
  }
  auto quarantined = workers_of(fleet.submit(job_of_queue(3, "deadly", 20), 20));
  REQUIRE(quarantined.size() == 2);
  fleet.scheduler.cancel(3, at_ms(30));
  return quarantined;
}

TEST_CASE("a queue is confined only to workers that can run its tasks") {
  // Guards against sound jobs, and accepted ones of the confined queue, that wait while the only
  // workers that can run them are idle on the other side of the quarantine.
  for (const bool on_quarantined : {false, true}) {
    fixture fleet(10);
    const auto quarantined = confine_deadly_queue(fleet);
    const auto special =
        std::find_if(fleet.workers.begin(), fleet.workers.end(), [&](const auto index) {
          return quarantined.contains(index) == on_quarantined;
        });
    fleet.scheduler.worker_reported(*special, labelled_worker(), at_ms(30));

    auto accepted = job_of_queue(4, on_quarantined ? "sound" : "deadly", 1);
    accepted.steps[0].required_label = "gpu";
    accepted.ownership = job_ownership{1, 0, {}};
    const auto starts = fleet.submit(std::move(accepted), 40);
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].worker == *special);

    // A job of the confined queue that can be refused does not get the workers of the others.
    auto refused = job_of_queue(5, "deadly", 1);
    refused.steps[0].required_label = "gpu";
    CHECK(fleet.submit(std::move(refused), 50).size() == (on_quarantined ? 1 : 0));
  }
}

TEST_CASE("a confined queue does not get the other workers while its own are down") {
  // Guards against a queue that crashes its quarantined workers and then the others. Found by the
  // soak, seed 13004.
  fixture fleet(10);
  const auto quarantined = confine_deadly_queue(fleet);
  for (const auto index : quarantined) {
    auto down = idle_worker();
    down.present = false;
    fleet.scheduler.worker_reported(index, down, at_ms(30));
  }
  auto accepted = job_of_queue(4, "deadly", 1);
  accepted.ownership = job_ownership{1, 0, {}};
  CHECK(fleet.submit(std::move(accepted), 40).empty());
  for (const auto index : quarantined) {
    fleet.scheduler.worker_reported(index, idle_worker(), at_ms(50));
  }
  fleet.scheduler.place_waiting(at_ms(50));
  const auto starts = fleet.scheduler.take_starts();
  REQUIRE(starts.size() == 1);
  CHECK(quarantined.contains(starts[0].worker));
}

TEST_CASE("a job of a confined queue that shared a crash is not shown as failed") {
  // Guards against giving up a sound job as if it were the cause.
  fixture fleet(10);
  fleet.submit(job_of_queue(1, "sound", 1));
  const auto starts = fleet.submit(job_of_queue(2, "deadly", 1));
  fleet.scheduler.worker_crashed({queue_hash("deadly"), true}, at_ms(10));
  fleet.scheduler.worker_crashed({queue_hash("deadly"), true}, at_ms(20));
  fleet.scheduler.run_ended(starts[0].worker, crash_of(starts[0], true), at_ms(30));
  const auto results = fleet.scheduler.take_results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict == job_verdict::unknown);
  fleet.scheduler.tick(at_ms(100));
  CHECK(fleet.scheduler.take_starts().empty());
}

TEST_CASE("a queue without others beside it is never confined") {
  fixture fleet(10);
  fleet.submit(job_of_queue(1, "deadly", 1));
  for (int i = 0; i < 5; ++i) {
    fleet.scheduler.worker_crashed({queue_hash("deadly"), true}, at_ms(10));
  }
  CHECK(fleet.scheduler.confined_queues().empty());
}

TEST_CASE("durable jobs of a confined queue do not keep other jobs waiting") {
  // Guards against a backlog of jobs that cannot be placed in front of those that can.
  fixture fleet(10);
  fleet.submit(job_of_queue(1, "sound", 1));
  for (std::uint64_t id = 2; id < 100; ++id) {
    auto job = job_of_queue(id, "deadly", 4);
    job.ownership = job_ownership{1, 0, {}};
    fleet.submit(std::move(job));
    fleet.scheduler.worker_crashed({queue_hash("deadly"), true}, at_ms(0));
  }
  CHECK(fleet.scheduler.backlog() > 100);
  CHECK(fleet.submit(job_of_queue(100, "sound", 8), 10).size() == 8);
}

TEST_CASE("the longest terms of a queue give objectives far in the future") {
  // Guards against sums of times that wrap, so that a job counts as late at once.
  fixture fleet(1);
  auto job = make_job(1, 1);
  job.terms.target = longest_duration;
  job.terms.stretch = 1e12;
  const auto starts = fleet.submit(std::move(job));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].order.due_in > std::chrono::hours(24));
  CHECK(fleet.scheduler.take_results().empty());
}

} // namespace
} // namespace parsleylead

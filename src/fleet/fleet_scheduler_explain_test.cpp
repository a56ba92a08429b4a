#include <doctest/doctest.h>

#include "../test_support.hpp"
#include "parsleylead/fleet/fleet_scheduler.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

void add_worker(fleet_scheduler& scheduler, const std::string& agent, const std::string& zone,
                std::uint32_t committed_millis) {
  const auto index = scheduler.worker_for(agent, zone);
  scheduler.session_opened(index, false, at_ms(0));
  worker_status status;
  status.present = true;
  status.accepting = true;
  status.description.service = "desk";
  status.description.capacity = {8'000, 65'536, 0};
  status.committed = {committed_millis, 0, 0};
  scheduler.worker_reported(index, status, at_ms(0));
}

fleet_job make_job() {
  fleet_job job;
  job.id = 1;
  job.terms = {"queue", "desk", milliseconds(60), 1.6, 3};
  job.answer_timeout = milliseconds(1'500);
  job.steps.push_back({});
  job.steps[0].count = 1;
  job.steps[0].needs = {2'000, 1, 0};
  job.steps[0].estimate = milliseconds(100);
  return job;
}

TEST_CASE("fleet_scheduler: an explanation names the worker that a job is then placed on") {
  // Guards against an explanation that has rules of its own, and against one that places the job.
  fleet_scheduler scheduler({}, "a", 1);
  add_worker(scheduler, "busy", "a", 7'000);
  add_worker(scheduler, "evacuated", "b", 0);
  add_worker(scheduler, "free", "c", 0);
  scheduler.set_evacuated_zones({"b"});
  const auto explanation = scheduler.explain(make_job(), at_ms(5));
  CHECK_FALSE(explanation.refusal);
  CHECK(explanation.objective == milliseconds(220));
  const auto& workers = explanation.steps.at(0).workers;
  REQUIRE(workers.size() == 3);
  CHECK(workers[0].agent == "free");
  CHECK(workers[1].assessment.exclusion == worker_exclusion::zone_evacuated);
  CHECK(workers[2].assessment.exclusion == worker_exclusion::no_free_cpu);
  CHECK(scheduler.open_jobs() == 0);
  CHECK(scheduler.take_starts().empty());

  scheduler.submit(make_job(), at_ms(5));
  scheduler.tick(at_ms(5));
  const auto starts = scheduler.take_starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].worker == scheduler.worker_for("free", "c"));
}

TEST_CASE("fleet_scheduler: an explanation says why a job would be refused") {
  fleet_scheduler scheduler({}, "a", 1);
  add_worker(scheduler, "evacuated", "b", 0);
  scheduler.set_evacuated_zones({"b"});
  scheduler.search_workers(site_access::alone, at_ms(0));
  CHECK(scheduler.explain(make_job(), at_ms(10'000)).refusal == job_cause::zone_evacuated);
}

} // namespace
} // namespace parsleylead

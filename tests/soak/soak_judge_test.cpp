#include "soak_judge.hpp"

#include <doctest/doctest.h>

#include <thread>

namespace parsleylead::soak {
namespace {

const std::string job = "00000000000000a1";
const std::string task = job + ".0.0.0";
const std::string payload = "800 1000";

soak_judge judge_with_job() {
  soak_judge judge;
  judge.job_submitted(job, payload, 1, false);
  return judge;
}

} // namespace

// The soak could not find issue 32; these cases show that its judge would have seen it.
TEST_CASE("a second run of a task at another worker is a violation while the first one goes on") {
  auto judge = judge_with_job();
  judge.run_started("worker-0", task, 1, payload);
  judge.run_started("worker-1", task, 2, payload);
  REQUIRE(judge.violations().size() == 1);
  CHECK(judge.violations().front().find("was started on worker-1 while it had been running on "
                                        "worker-0") != std::string::npos);
}

TEST_CASE("the end of a run at another worker does not end the run of a task") {
  auto judge = judge_with_job();
  judge.run_started("worker-0", task, 1, payload);
  judge.run_ended("worker-1", task, 2, "stopped");
  judge.run_started("worker-1", task, 3, payload);
  CHECK(judge.violations().size() == 1);
}

TEST_CASE("a second run of a task is allowed after the first one has ended") {
  for (const std::string outcome : {"failed", "stopped", "lapsed", "crashed"}) {
    auto judge = judge_with_job();
    judge.run_started("worker-0", task, 1, payload);
    judge.run_ended("worker-0", task, 1, outcome);
    judge.run_started("worker-1", task, 2, payload);
    CHECK_MESSAGE(judge.violations().empty(), outcome);
  }
}

TEST_CASE("starts in an evacuated zone are a violation after the bound only") {
  // Guards against a judge that overlooks such starts, or that counts the worker's own late ones.
  auto judge = judge_with_job();
  bool late = false;
  judge.set_late_orders([&](const std::string&) { return late; });
  judge.zone_evacuated({"worker-0"});
  judge.run_started("worker-0", task, 1, payload);
  judge.run_ended("worker-0", task, 1, "failed");
  std::this_thread::sleep_for(std::chrono::milliseconds(5'050));
  late = true;
  judge.run_started("worker-0", task, 2, payload);
  judge.run_ended("worker-0", task, 2, "failed");
  judge.run_started("worker-1", task, 3, payload);
  judge.run_ended("worker-1", task, 3, "failed");
  CHECK(judge.violations().empty());
  CHECK(judge.starts_beside_evacuation() == 1);
  late = false;
  judge.run_started("worker-0-1", task, 4, payload); // A worker that replaced the first one.
  judge.run_ended("worker-0-1", task, 4, "failed");
  CHECK(judge.violations().size() == 1);
  judge.evacuation_ended({"worker-0"});
  CHECK_FALSE(judge.started_since_evacuation("worker-0"));
  judge.run_started("worker-0", task, 5, payload);
  CHECK(judge.started_since_evacuation("worker-0"));
  CHECK(judge.violations().size() == 1);
}

} // namespace parsleylead::soak

// Case 6: while one worker is unhealthy, a stored job that only it can run is given up for good.

#include <cstdio>
#include <string>

#include "../lab/site.hpp"

namespace {

using namespace parsleylead::review;
using std::chrono::milliseconds;

constexpr std::size_t workers = 11;
// srv_grey of the site file: one of 11 workers, all of its requests, for 6.5 s.
constexpr milliseconds unhealthy_time{6'500};
// On a slow machine the worker is unhealthy again, right away, until it gets no more starts.
constexpr int max_times = 3;
constexpr milliseconds quiet_time{500};
constexpr milliseconds finish{14'000};    // finish_s
constexpr milliseconds idle_limit{3'000}; // LOST: nothing running for 3 s

// Only one worker has this label.
const char* const rare_job =
    R"({"spec":"200","steps":[{"count":1,"cpu":700,"mem_mb":64,"estimate_ms":200,)"
    R"("requires":"c"}]})";

/// Returns whether the worker was sent no start in the last part of the time.
bool be_unhealthy(site& place, worker& sick) {
  place.run_for(unhealthy_time - quiet_time);
  const auto before = sick.refused_starts();
  place.run_for(quiet_time);
  return sick.refused_starts() == before;
}

int play(const std::string& record) {
  site_shape shape;
  shape.workers.resize(workers);
  shape.workers.front().labels = {"c", "r1"};
  site place(shape, record);
  if (!place.wait_until_ready()) {
    return exit_not_run;
  }
  auto& sick = place.worker_at(0);
  if (!without_trouble()) {
    place.record("worker 1 is unhealthy");
    sick.set_unhealthy(true);
  }
  const auto job = place.new_job();
  if (place.submit("desk-queue", job, rare_job) != 200) {
    return exit_not_run;
  }
  int times = 0;
  while (!without_trouble() && times < max_times) {
    ++times;
    if (be_unhealthy(place, sick)) {
      break;
    }
  }
  sick.set_unhealthy(false);
  place.record("worker 1 is healthy; it refused " + std::to_string(sick.refused_starts()) +
               " starts with 503");
  // A later job of the same kind shows that the worker is in use again.
  const auto later = place.new_job();
  const bool later_accepted = place.submit("desk-queue", later, rare_job) == 200;
  place.run_for(finish + idle_limit);
  const bool begun = place.task(job, 0, 0).starts > 0;
  std::printf("the worker was unhealthy %d times and refused %zu starts\n", times,
              sick.refused_starts());
  std::printf("the accepted job, 17 s after the worker's recovery: %s, %u starts\n",
              place.state_of("desk-queue", job).second.c_str(), place.task(job, 0, 0).starts);
  std::printf("a later job: %s; all workers are idle\n",
              later_accepted ? place.state_of("desk-queue", later).second.c_str() : "not accepted");
  return begun ? exit_held : exit_broken;
}

} // namespace

int main(int argc, char** argv) {
  return run_case(play, argc, argv);
}

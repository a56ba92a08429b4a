#include "parsleylead/overload/job_demand.hpp"

#include <algorithm>
#include <tuple>

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

enum class usefulness : std::uint8_t { on_time, late, useless };

usefulness usefulness_of(const job_demand& job, monotonic_time now) {
  if (can_be_on_time(job, now)) {
    return usefulness::on_time;
  }
  return can_be_useful(job, now) ? usefulness::late : usefulness::useless;
}

} // namespace

milliseconds slack(const job_demand& job, monotonic_time now) {
  return std::chrono::floor<milliseconds>(std::min(job.late_limit, job.deadline) - now) -
         job.remaining_path;
}

bool can_be_on_time(const job_demand& job, monotonic_time now) {
  return job.objective >= now + job.remaining_path;
}

bool can_be_useful(const job_demand& job, monotonic_time now) {
  return slack(job, now) >= milliseconds(0);
}

bool runs_before(const job_demand& a, const job_demand& b, monotonic_time now) {
  return std::tuple(usefulness_of(a, now), a.priority, a.objective) <
         std::tuple(usefulness_of(b, now), b.priority, b.objective);
}

} // namespace parsleylead

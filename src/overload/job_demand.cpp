#include "parsleylead/overload/job_demand.hpp"

#include <algorithm>
#include <tuple>

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// A job can wait for others if it is still on time after this and after a run that takes longer
// than estimated by this share.
constexpr milliseconds min_deferrable_slack{200};
constexpr double estimate_error = 0.5;

/// Groups of waiting jobs, in the order in which they run.
enum class urgency : std::uint8_t { on_time, late, deferrable, useless };

urgency urgency_of(const job_demand& job, monotonic_time now) {
  if (!can_be_on_time(job, now)) {
    return can_be_useful(job, now) ? urgency::late : urgency::useless;
  }
  const auto needed = std::max(
      min_deferrable_slack, std::chrono::round<milliseconds>(job.remaining_path * estimate_error));
  // A job without a deadline has no time at which it would have to stop waiting.
  const bool has_limit = job.deadline != monotonic_time::max();
  return has_limit && job.objective - now - job.remaining_path > needed ? urgency::deferrable
                                                                        : urgency::on_time;
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
  return std::tuple(urgency_of(a, now), a.priority, a.objective) <
         std::tuple(urgency_of(b, now), b.priority, b.objective);
}

} // namespace parsleylead

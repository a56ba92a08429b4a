#include <algorithm>
#include <cmath>

#include "fleet_scheduler_state.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

/// Returns the largest multiple of a task's CPU that is not above the given CPU.
double usable_cpu(double cpu_millis, std::uint32_t needed) {
  const double available = std::max(0.0, cpu_millis);
  return needed == 0 ? available : std::floor(available / needed) * needed;
}

} // namespace

milliseconds fleet_scheduler::slack_of(const job& open_job, monotonic_time now) {
  return open_job.is_durable()
             ? milliseconds::max()
             : std::chrono::floor<milliseconds>(open_job.objective - now) - open_job.remaining_path;
}

std::size_t fleet_scheduler::usable_workers() const {
  return static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(),
                    [](const auto& candidate) { return is_usable(*candidate); }));
}

cpu_in_reach fleet_scheduler::measure_reach(const worker_requirement& requirement) const {
  cpu_in_reach reach;
  for (const auto& each : workers_) {
    const auto& status = each->status;
    if (!is_usable(*each) || !meets(status.description, requirement)) {
      continue;
    }
    const auto needed = requirement.needs.cpu_millis;
    const double capacity = status.description.capacity.cpu_millis;
    const double share = status.cold ? policy_.cold_capacity_share : 1.0;
    const double total = usable_cpu(capacity * share, needed);
    const double free = usable_cpu(free_cpu(*each) - capacity * (1 - share), needed);
    reach.total += total;
    reach.free += free;
    reach.lasting_total += each->requested ? 0 : total;
    reach.lasting_free += each->requested ? -static_cast<double>(each->own_cpu_millis) : free;
  }
  return reach;
}

std::vector<worker_search::due_request> fleet_scheduler::search_workers(site_access access,
                                                                        monotonic_time now) {
  auto requests = search_.update(
      access,
      [this](const worker_requirement& requirement) {
        return std::any_of(workers_.begin(), workers_.end(), [&](const auto& each) {
          return is_usable(*each) && meets(each->status.description, requirement);
        });
      },
      now);
  const auto sessions = static_cast<std::size_t>(std::count_if(
      workers_.begin(), workers_.end(), [](const auto& each) { return each->connected; }));
  if (sessions >= policy_.reach.max_sessions) {
    std::erase_if(requests, [](const auto& request) { return request.idle; });
  }
  auto in_advance = reach_.update(
      access, sessions, [this](const auto& requirement) { return measure_reach(requirement); },
      now);
  if (in_advance) {
    requests.push_back(std::move(*in_advance));
  }
  return requests;
}

bool fleet_scheduler::is_needed(worker_index index) const {
  const auto& candidate = *workers_.at(index);
  return search_.is_needed(candidate.status.description) ||
         (candidate.requested && reach_.is_needed(candidate.status.description));
}

} // namespace parsleylead

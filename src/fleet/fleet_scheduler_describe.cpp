#include "fleet_scheduler_state.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Maximum number of requirements that are described in a log line.
constexpr std::size_t max_described_requirements = 8;

} // namespace

std::size_t fleet_scheduler::waiting_jobs(const std::string& queue) const {
  return static_cast<std::size_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& open_job) {
        return open_job.second->spec.terms.queue == queue && !open_job.second->is_durable() &&
               !open_job.second->may_have_run();
      }));
}

std::string fleet_scheduler::describe_backlog(monotonic_time now) const {
  struct waiting_tasks {
    std::size_t tasks = 0;
    monotonic_time oldest = monotonic_time::max();
    std::string_view state;
  };
  std::map<std::tuple<std::string_view, std::string_view, std::uint32_t, std::uint32_t>,
           waiting_tasks>
      by_requirement;
  for (const auto& [id, open_job] : jobs_) {
    if (open_job->ready == 0) {
      continue;
    }
    for (std::uint32_t step = 0; step < open_job->tasks.size(); ++step) {
      const auto& tasks = open_job->tasks[step];
      const auto ready = std::count_if(tasks.begin(), tasks.end(), [](const task& each) {
        return each.current_state == task::state::ready;
      });
      if (ready == 0) {
        continue;
      }
      const auto& shape = open_job->spec.steps[step];
      auto& known = by_requirement[{open_job->spec.terms.service, shape.required_label,
                                    shape.needs.cpu_millis, shape.needs.gpus}];
      known.tasks += static_cast<std::size_t>(ready);
      known.oldest = std::min(known.oldest, open_job->arrived);
      known.state = could_ever_run(*open_job, step) ? "workers_busy"
                    : search_.is_lastingly_absent(requirement_of(*open_job, step), now)
                        ? "no_worker_at_site"
                        : "no_worker_in_reach";
    }
  }
  std::string text;
  std::size_t described = 0;
  for (const auto& [requirement, waiting] : by_requirement) {
    if (++described > max_described_requirements) {
      break;
    }
    const auto& [service, label, cpu_millis, gpus] = requirement;
    text += (text.empty() ? "" : " ") + std::string(service) + ":label=" + std::string(label) +
            ":cpu_millis=" + std::to_string(cpu_millis) + ":gpus=" + std::to_string(gpus) +
            ":tasks=" + std::to_string(waiting.tasks) + ":oldest_ms=" +
            std::to_string(std::chrono::round<milliseconds>(now - waiting.oldest).count()) + ":" +
            std::string(waiting.state);
  }
  return text;
}

std::string fleet_scheduler::describe_workers() const {
  std::string text;
  for (const auto& described : workers_) {
    const auto& status = described->status;
    text += (text.empty() ? "" : " ") + described->agent +
            (is_usable(*described) ? ":" : ":unusable:") +
            std::to_string(static_cast<std::int64_t>(free_cpu(*described))) + "/" +
            std::to_string(status.description.capacity.cpu_millis) +
            ":committed=" + std::to_string(status.committed.cpu_millis) +
            ":queued=" + std::to_string(status.queued_cpu_millis) +
            ":own=" + std::to_string(described->own_cpu_millis) +
            ":reported_own=" + std::to_string(status.own_cpu_millis) +
            ":runs=" + std::to_string(described->runs.size());
  }
  return text;
}

} // namespace parsleylead

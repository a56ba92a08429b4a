#include "parsleylead/fleet/fleet_job.hpp"

#include <algorithm>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

std::chrono::milliseconds critical_path(const std::vector<job_step>& steps) {
  return remaining_path(steps, std::vector<std::uint32_t>(steps.size(), 1));
}

std::chrono::milliseconds remaining_path(const std::vector<job_step>& steps,
                                         const std::vector<std::uint32_t>& remaining_tasks) {
  std::chrono::milliseconds longest{0};
  std::vector<std::chrono::milliseconds> path_lengths;
  for (std::size_t index = 0; index < steps.size(); ++index) {
    std::chrono::milliseconds before{0};
    for (const auto earlier : steps[index].depends_on) {
      before = std::max(before, path_lengths.at(earlier));
    }
    const bool done = remaining_tasks.at(index) == 0;
    path_lengths.push_back(before + (done ? std::chrono::milliseconds(0) : steps[index].estimate));
    longest = std::max(longest, path_lengths.back());
  }
  return std::min(longest, longest_duration);
}

bool add_attempt(std::vector<std::uint32_t>& attempts, std::uint32_t attempt) {
  const auto position = std::lower_bound(attempts.begin(), attempts.end(), attempt);
  if (position != attempts.end() && *position == attempt) {
    return false;
  }
  attempts.insert(position, attempt);
  return true;
}

bool contains_attempt(const std::vector<std::uint32_t>& attempts, std::uint32_t attempt) {
  return std::binary_search(attempts.begin(), attempts.end(), attempt);
}

std::size_t memory_of(const fleet_job& job) {
  constexpr std::size_t bytes_per_task = 100;
  std::size_t bytes = sizeof(job) + job.payload.size();
  for (const auto& step : job.steps) {
    bytes += sizeof(step) + step.depends_on.size() * sizeof(step.depends_on.front()) +
             step.count * bytes_per_task;
  }
  return bytes;
}

} // namespace parsleylead

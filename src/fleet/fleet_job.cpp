#include "parsleylead/fleet/fleet_job.hpp"

#include <algorithm>

namespace parsleylead {

std::chrono::milliseconds critical_path(const std::vector<job_step>& steps) {
  std::chrono::milliseconds longest{0};
  std::vector<std::chrono::milliseconds> path_lengths;
  for (const auto& step : steps) {
    std::chrono::milliseconds before{0};
    for (const auto earlier : step.depends_on) {
      before = std::max(before, path_lengths.at(earlier));
    }
    path_lengths.push_back(before + step.estimate);
    longest = std::max(longest, path_lengths.back());
  }
  return longest;
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

} // namespace parsleylead

#include "parsleylead/fleet/waiting_counts.hpp"

#include <utility>

namespace parsleylead {

using std::chrono::milliseconds;

void waiting_counts::set_own(std::vector<queue_count> counts, monotonic_time now) {
  if (!counts.empty()) {
    own_last_used_ = now;
  }
  if (own_last_used_ == monotonic_time{} || now - own_last_used_ > 2 * max_age) {
    by_entry_.erase(own_name_);
    return;
  }
  // Empty counts are reported for a while, so that they replace the earlier ones elsewhere.
  by_entry_[own_name_] = {now, std::move(counts)};
}

void waiting_counts::learn(const std::vector<entry_counts>& reported, monotonic_time now) {
  for (const auto& each : reported) {
    if (each.entry == own_name_ || each.age > max_age) {
      continue;
    }
    const auto measured = now - each.age;
    auto& known = by_entry_[each.entry];
    if (measured > known.measured) {
      known = {measured, each.counts};
    }
  }
}

std::size_t waiting_counts::of_others(const std::string& queue, monotonic_time now) const {
  std::size_t jobs = 0;
  for (const auto& [entry, known] : by_entry_) {
    if (entry == own_name_ || now - known.measured > max_age) {
      continue;
    }
    for (const auto& count : known.counts) {
      jobs += count.queue == queue ? count.jobs : 0;
    }
  }
  return jobs;
}

std::vector<entry_counts> waiting_counts::report(monotonic_time now) {
  std::erase_if(by_entry_,
                [now](const auto& each) { return now - each.second.measured > max_age; });
  std::vector<entry_counts> all;
  all.reserve(by_entry_.size());
  for (const auto& [entry, known] : by_entry_) {
    all.push_back({entry, std::chrono::ceil<milliseconds>(now - known.measured), known.counts});
  }
  return all;
}

} // namespace parsleylead

#include "parsleylead/fleet/crash_history.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace parsleylead {
namespace {

// Records with less weight are dropped.
constexpr double min_weight = 0.01;

} // namespace

double crash_history::weight_at(const record_of_queue& record, monotonic_time now) const {
  const std::chrono::duration<double> elapsed = now - record.updated;
  return record.weight * std::exp2(-elapsed / policy_.half_life);
}

void crash_history::record(const crash_report& report, monotonic_time now) {
  if (!report.isolated && !is_confined(report.queue)) {
    return;
  }
  auto& known = queues_[report.queue];
  known.weight = std::min(weight_at(known, now) + 1, policy_.max_weight);
  known.updated = now;
}

bool crash_history::update(monotonic_time now) {
  bool changed = false;
  for (auto each = queues_.begin(); each != queues_.end();) {
    auto& known = each->second;
    const double weight = weight_at(known, now);
    if (known.confined ? weight <= policy_.release_below : weight >= policy_.confine_above) {
      known.confined = !known.confined;
      changed = true;
    }
    each = weight < min_weight && !known.confined ? queues_.erase(each) : std::next(each);
  }
  confined_count_ = static_cast<std::size_t>(std::count_if(
      queues_.begin(), queues_.end(), [](const auto& queue) { return queue.second.confined; }));
  return changed;
}

bool crash_history::is_confined(std::uint32_t queue) const {
  const auto found = queues_.find(queue);
  return found != queues_.end() && found->second.confined;
}

} // namespace parsleylead

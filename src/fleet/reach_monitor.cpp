#include "parsleylead/fleet/reach_monitor.hpp"

#include <algorithm>

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Later attempts of `worker_search` go to all other entries, since tasks wait for their effect.
// These requests go to few, so that all entries of a full site may make them.
constexpr std::uint32_t max_attempt = 2;
// Share of the descriptors of a process that sessions may use.
constexpr std::size_t descriptors_per_session = 16;

} // namespace

reach_settings limit_sessions(reach_settings settings, std::size_t max_descriptors) {
  settings.max_sessions =
      std::min(settings.max_sessions, max_descriptors / descriptors_per_session);
  return settings;
}

void reach_monitor::advance_window(shape& each, monotonic_time now) const {
  const auto passed = now - each.window_start;
  if (passed < settings_.arrival_window) {
    return;
  }
  each.previous = passed < 2 * settings_.arrival_window ? each.current : 0;
  each.current = 0;
  each.window_start = now;
}

void reach_monitor::placed(const worker_requirement& requirement, monotonic_time now) {
  auto known = std::find_if(shapes_.begin(), shapes_.end(),
                            [&](const shape& each) { return each.requirement == requirement; });
  if (known == shapes_.end()) {
    if (shapes_.size() >= settings_.max_shapes) {
      return;
    }
    shape created;
    created.requirement = requirement;
    created.window_start = now;
    known = shapes_.insert(shapes_.end(), std::move(created));
  }
  advance_window(*known, now);
  known->last_placed = now;
  known->current += requirement.needs.cpu_millis;
}

double reach_monitor::arrivals(const shape& each, monotonic_time now) const {
  const std::chrono::duration<double> counted =
      std::chrono::duration<double>(now - each.window_start) + settings_.arrival_window;
  return (each.previous + each.current) / counted.count() *
         std::chrono::duration<double>(settings_.arrival_time).count();
}

void reach_monitor::loop_delayed(milliseconds delay, monotonic_time now) {
  if (delay > settings_.max_loop_delay) {
    overloaded_at_ = now;
  }
}

bool reach_monitor::may_add_session(std::size_t sessions, monotonic_time now) const {
  return sessions < settings_.max_sessions &&
         (!overloaded_at_ || now - *overloaded_at_ >= settings_.overload_time);
}

double reach_monitor::check(shape& each, const cpu_in_reach& reach, monotonic_time now) const {
  advance_window(each, now);
  const double share = reach.total > 0 ? reach.free / reach.total : 1.0;
  each.low =
      reach.total > 0 && (share < settings_.min_free_share || reach.free < arrivals(each, now));
  if (each.low) {
    each.keeps_sessions = true;
  } else if (reach.lasting_total > 0 &&
             reach.lasting_free >= settings_.release_free_share * reach.lasting_total &&
             reach.lasting_free >= 2 * arrivals(each, now)) {
    each.keeps_sessions = false;
  }
  return share;
}

std::optional<worker_search::due_request> reach_monitor::update(site_access access,
                                                                std::size_t sessions,
                                                                const reach_measure& measure,
                                                                monotonic_time now) {
  if (checked_ && now - *checked_ < settings_.check_interval) {
    return std::nullopt;
  }
  checked_ = now;
  std::erase_if(shapes_,
                [&](const shape& each) { return now - each.last_placed > settings_.retention; });
  const shape* neediest = nullptr;
  double lowest_share = 0;
  for (auto& each : shapes_) {
    const double share = check(each, measure(each.requirement), now);
    if (each.low && (neediest == nullptr || share < lowest_share)) {
      neediest = &each;
      lowest_share = share;
    }
  }
  if (neediest == nullptr || access != site_access::connected || !may_add_session(sessions, now)) {
    return std::nullopt;
  }
  const bool recent = now < next_request_ + settings_.max_interval;
  if (attempts_ == 0 || !recent || sessions > sessions_at_request_) {
    attempts_ = 0;
    interval_ = settings_.first_interval;
    next_request_ = recent ? std::min(next_request_, now + interval_) : now;
    sessions_at_request_ = sessions;
  }
  if (now < next_request_) {
    return std::nullopt;
  }
  attempts_ = std::min(attempts_ + 1, max_attempt);
  next_request_ = now + interval_;
  interval_ = std::min(2 * interval_, settings_.max_interval);
  sessions_at_request_ = sessions;
  return worker_search::due_request{neediest->requirement, attempts_, true,
                                    request_cause::low_reach};
}

bool reach_monitor::is_needed(const worker_description& worker) const {
  return std::any_of(shapes_.begin(), shapes_.end(), [&](const shape& each) {
    return each.keeps_sessions && meets(worker, each.requirement);
  });
}

} // namespace parsleylead

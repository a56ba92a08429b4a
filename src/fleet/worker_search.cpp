#include "parsleylead/fleet/worker_search.hpp"

#include <algorithm>

namespace parsleylead {

using std::chrono::milliseconds;

const char* to_string(worker_search::event_kind kind) {
  switch (kind) {
  case worker_search::event_kind::started:
    return "started";
  case worker_search::event_kind::found:
    return "found";
  default:
    return "absent";
  }
}

const char* to_string(request_cause cause) {
  switch (cause) {
  case request_cause::waiting:
    return "waiting";
  case request_cause::late:
    return "late";
  case request_cause::low_reach:
    return "low_reach";
  default:
    return "none_in_reach";
  }
}

worker_search::search* worker_search::find(const worker_requirement& requirement) {
  const auto found = std::find_if(searches_.begin(), searches_.end(), [&](const search& candidate) {
    return candidate.requirement == requirement;
  });
  return found == searches_.end() ? nullptr : &*found;
}

void worker_search::add(const worker_requirement& requirement, monotonic_time now) {
  if (auto* known = find(requirement)) {
    known->last_needed = now;
    return;
  }
  if (searches_.size() < settings_.max_requirements) {
    search created;
    created.requirement = requirement;
    created.last_needed = now;
    created.updated = now;
    searches_.push_back(std::move(created));
  }
}

void worker_search::retain(const worker_requirement& requirement, monotonic_time now) {
  if (auto* known = find(requirement)) {
    known->last_needed = now;
  }
}

worker_search::busy_requirement*
worker_search::find_or_add_busy(const worker_requirement& requirement, monotonic_time now) {
  const auto known = std::find_if(busy_.begin(), busy_.end(), [&](const busy_requirement& each) {
    return each.requirement == requirement;
  });
  if (known != busy_.end()) {
    return &*known;
  }
  if (busy_.size() >= settings_.max_busy_requirements) {
    const auto ended = std::find_if(busy_.begin(), busy_.end(),
                                    [now](const auto& each) { return !is_waiting(each, now); });
    if (ended == busy_.end()) {
      return nullptr;
    }
    busy_.erase(ended);
  }
  busy_requirement created;
  created.requirement = requirement;
  created.last = now;
  created.next_request = now + settings_.busy_time;
  created.interval = settings_.first_idle_interval;
  created.next_late_request = now;
  created.late_interval = settings_.first_late_interval;
  return &busy_.emplace_back(std::move(created));
}

void worker_search::add_busy(const worker_requirement& requirement, milliseconds slack,
                             monotonic_time now) {
  auto* known = find_or_add_busy(requirement, now);
  if (known == nullptr) {
    return;
  }
  if (!is_waiting(*known, now)) {
    known->next_request = std::max(known->next_request, now + settings_.busy_time);
  }
  known->last = now;
  if (slack < settings_.busy_time) {
    known->last_late = now;
  }
}

std::optional<request_cause> worker_search::take_due(busy_requirement& each,
                                                     const worker_search_settings& settings,
                                                     monotonic_time now) {
  if (each.last_late && now - *each.last_late <= max_busy_gap && now >= each.next_late_request) {
    each.next_late_request = now + each.late_interval;
    each.late_interval = std::min(2 * each.late_interval, settings.max_late_interval);
    each.next_request = std::max(each.next_request, each.next_late_request + settings.busy_time);
    return request_cause::late;
  }
  if (now >= each.next_request) {
    each.next_request = now + each.interval;
    each.interval = std::min(2 * each.interval, settings.max_idle_interval);
    return request_cause::waiting;
  }
  return std::nullopt;
}

void worker_search::update_busy(site_access access, std::vector<due_request>& due,
                                monotonic_time now) {
  std::erase_if(busy_, [&](const busy_requirement& each) {
    return now - each.last > std::max<milliseconds>(max_busy_gap, settings_.busy_retention);
  });
  for (auto& each : busy_) {
    if (access != site_access::connected || !is_waiting(each, now)) {
      continue;
    }
    if (const auto cause = take_due(each, settings_, now)) {
      due.push_back({each.requirement, ++each.attempts, true, *cause});
    }
  }
}

void worker_search::report(event_kind kind, const search& changed, monotonic_time now) {
  events_.push_back({kind, changed.requirement,
                     std::chrono::round<milliseconds>(now - changed.since.value_or(now))});
}

std::vector<worker_search::due_request>
worker_search::update(site_access access, const reachability& is_reachable, monotonic_time now) {
  access_ = access;
  updated_ = now;
  std::erase_if(searches_,
                [&](const search& each) { return now - each.last_needed > settings_.retention; });
  std::vector<due_request> due;
  for (auto& each : searches_) {
    const bool interrupted = !is_recent(each, now);
    each.updated = now;
    if (is_reachable(each.requirement)) {
      if (each.since) {
        report(event_kind::found, each, now);
        each.since.reset();
      }
      continue;
    }
    if (!each.since || interrupted || access == site_access::isolated) {
      // While this process stands still or has no link to another entry, the time of the search
      // shows nothing about the site.
      const bool started = !each.since;
      each.since = now;
      each.next_request = now;
      each.interval = settings_.first_interval;
      each.attempts = 0;
      each.reported_absent = false;
      if (started) {
        report(event_kind::started, each, now);
      }
    }
    if (access == site_access::connected && now >= each.next_request) {
      due.push_back({each.requirement, ++each.attempts, false, request_cause::none_in_reach});
      each.next_request = now + each.interval;
      each.interval = std::min(2 * each.interval, settings_.max_interval);
    }
    if (!each.reported_absent && is_lastingly_absent(each.requirement, now)) {
      each.reported_absent = true;
      report(event_kind::absent, each, now);
    }
  }
  update_busy(access, due, now);
  return due;
}

bool worker_search::is_absent(const worker_requirement& requirement, monotonic_time now) const {
  return access_ == site_access::alone || is_lastingly_absent(requirement, now);
}

bool worker_search::is_lastingly_absent(const worker_requirement& requirement,
                                        monotonic_time now) const {
  return access_ != site_access::isolated &&
         std::any_of(searches_.begin(), searches_.end(), [&](const search& each) {
           return each.requirement == requirement && each.since && is_recent(each, now) &&
                  now - *each.since >= settings_.search_time;
         });
}

bool worker_search::any_reported_absent() const {
  return std::any_of(searches_.begin(), searches_.end(),
                     [](const search& each) { return each.since && each.reported_absent; });
}

bool worker_search::is_recent(const search& known, monotonic_time now) const {
  return now < known.updated + settings_.max_interval;
}

bool worker_search::is_needed(const worker_description& worker) const {
  return std::any_of(searches_.begin(), searches_.end(),
                     [&](const search& each) { return meets(worker, each.requirement); }) ||
         std::any_of(busy_.begin(), busy_.end(), [&](const busy_requirement& each) {
           return is_waiting(each, updated_) && meets(worker, each.requirement);
         });
}

} // namespace parsleylead

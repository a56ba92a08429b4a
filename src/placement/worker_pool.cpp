#include "parsleylead/placement/worker_pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleylead {

bool worker_view::holds(const worker_needs& needs) const {
  const auto enough_cores = cores == 0 || needs.cores <= cores;
  const auto enough_memory = memory_mb == 0 || needs.memory_mb <= memory_mb;
  return enough_cores && enough_memory;
}

void worker_pool::put(worker_view view) {
  remove(view.id);
  auto owned = std::make_unique<worker_view>(std::move(view));
  link(*owned);
  confined_.clear();
  const auto id = owned->id;
  workers_.emplace(id, std::move(owned));
}

void worker_pool::remove(const std::string& id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) {
    return;
  }
  unlink(*found->second);
  workers_.erase(found);
  confined_.clear();
}

const worker_view* worker_pool::find(const std::string& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : found->second.get();
}

void worker_pool::set_credits(const std::string& id, std::uint32_t credits) {
  auto* view = known(id);
  if (view == nullptr) {
    return;
  }
  if ((view->credits == 0) == (credits == 0)) {
    view->credits = credits;
    return;
  }
  unlink(*view);
  view->credits = credits;
  link(*view);
}

void worker_pool::set_others(const std::string& id, std::uint32_t others, monotonic_time now) {
  if (auto* view = known(id); view != nullptr) {
    view->others = others;
    view->others_at = now;
  }
}

void worker_pool::set_speed(const std::string& id, double speed) {
  auto* view = known(id);
  if (view == nullptr || view->speed == speed) {
    return;
  }
  unlink(*view);
  view->speed = speed;
  link(*view);
}

void worker_pool::set_ejected(const std::string& id, bool ejected) {
  auto* view = known(id);
  if (view == nullptr || view->ejected == ejected) {
    return;
  }
  unlink(*view);
  view->ejected = ejected;
  link(*view);
}

void worker_pool::task_sent(const std::string& id, monotonic_time expected_end) {
  if (auto* view = known(id); view != nullptr) {
    view->expected_ends.insert(expected_end);
  }
}

void worker_pool::task_ended(const std::string& id, monotonic_time expected_end) {
  auto* view = known(id);
  if (view == nullptr) {
    return;
  }
  const auto found = view->expected_ends.find(expected_end);
  if (found != view->expected_ends.end()) {
    view->expected_ends.erase(found);
  }
}

const std::vector<const worker_view*>& worker_pool::usable(const std::string& kind) const {
  return index(kind).usable;
}

const worker_pool::ranking& worker_pool::with_credits(const std::string& kind) const {
  return index(kind).with_credits;
}

std::size_t worker_pool::capable(const std::string& kind, const worker_needs& needs) const {
  const auto& serving = index(kind).serving;
  return static_cast<std::size_t>(
      std::count_if(serving.begin(), serving.end(),
                    [&needs](const worker_view* view) { return view->holds(needs); }));
}

std::size_t worker_pool::capable_slots(const std::string& kind, const worker_needs& needs) const {
  std::size_t slots = 0;
  for (const auto* view : index(kind).serving) {
    slots += view->holds(needs) ? view->slots : 0;
  }
  return slots;
}

const std::set<std::string>& worker_pool::confined_kinds(const std::string& kind) const {
  const auto known = confined_.find(kind);
  if (known != confined_.end()) {
    return known->second;
  }
  auto& confined = confined_[kind];
  for (const auto& [other, entry] : kinds_) {
    const auto only_here =
        std::all_of(entry.serving.begin(), entry.serving.end(),
                    [&kind](const worker_view* view) { return view->kinds.contains(kind); });
    if (only_here) {
      confined.insert(other);
    }
  }
  return confined;
}

double worker_pool::best_speed(const std::string& kind) const {
  const auto& speeds = index(kind).speeds;
  return speeds.empty() ? 1 : *speeds.begin();
}

worker_pool::preference worker_pool::rank(const worker_view& view) const {
  const auto speed = std::max(view.speed, 1e-6);
  const auto level = static_cast<int>(std::floor(std::log(speed) / std::log(speed_step)));
  return {level, view.availability_zone != availability_zone_, speed, view.id};
}

void worker_pool::link(const worker_view& view) {
  for (const auto& kind : view.kinds) {
    auto& entry = kinds_[kind];
    entry.serving.push_back(&view);
    if (view.ejected) {
      continue;
    }
    entry.usable.push_back(&view);
    entry.speeds.insert(view.speed);
    if (view.credits > 0) {
      entry.with_credits.emplace(rank(view), &view);
    }
  }
}

void worker_pool::unlink(const worker_view& view) {
  for (const auto& kind : view.kinds) {
    auto& entry = kinds_[kind];
    std::erase(entry.serving, &view);
    if (!view.ejected) {
      std::erase(entry.usable, &view);
      entry.speeds.erase(entry.speeds.find(view.speed));
      entry.with_credits.erase(rank(view));
    }
    if (entry.serving.empty()) {
      kinds_.erase(kind);
    }
  }
}

worker_view* worker_pool::known(const std::string& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : found->second.get();
}

const worker_pool::kind_index& worker_pool::index(const std::string& kind) const {
  static const kind_index none;
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? none : found->second;
}

} // namespace parsleylead

#include "parsleylead/placement/worker_pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleylead {

bool worker_view::fits(const worker_requirements& needs) const {
  const auto enough_cores = cores == 0 || needs.cores <= cores;
  const auto enough_memory = memory_mb == 0 || needs.memory_mb <= memory_mb;
  return enough_cores && enough_memory;
}

void worker_pool::put(worker_view view) {
  remove(view.id);
  auto owned = std::make_unique<worker_view>(std::move(view));
  add_to_indexes(*owned);
  confined_kinds_.clear();
  const auto id = owned->id;
  workers_.emplace(id, std::move(owned));
}

void worker_pool::remove(const std::string& id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) {
    return;
  }
  remove_from_indexes(*found->second);
  workers_.erase(found);
  confined_kinds_.clear();
}

const worker_view* worker_pool::find(const std::string& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : found->second.get();
}

void worker_pool::set_credits(const std::string& id, std::uint32_t credits) {
  auto* view = find_mutable(id);
  if (view == nullptr) {
    return;
  }
  if ((view->credits == 0) == (credits == 0)) {
    view->credits = credits;
    return;
  }
  remove_from_indexes(*view);
  view->credits = credits;
  add_to_indexes(*view);
}

void worker_pool::set_other_tasks(const std::string& id, std::uint32_t other_tasks,
                                  monotonic_time now) {
  if (auto* view = find_mutable(id); view != nullptr) {
    view->other_tasks = other_tasks;
    view->other_tasks_time = now;
  }
}

void worker_pool::set_run_time_factor(const std::string& id, double run_time_factor) {
  auto* view = find_mutable(id);
  if (view == nullptr || view->run_time_factor == run_time_factor) {
    return;
  }
  remove_from_indexes(*view);
  view->run_time_factor = run_time_factor;
  add_to_indexes(*view);
}

void worker_pool::set_ejected(const std::string& id, bool ejected) {
  auto* view = find_mutable(id);
  if (view == nullptr || view->ejected == ejected) {
    return;
  }
  remove_from_indexes(*view);
  view->ejected = ejected;
  add_to_indexes(*view);
}

void worker_pool::task_sent(const std::string& id, monotonic_time expected_end) {
  if (auto* view = find_mutable(id); view != nullptr) {
    view->expected_ends.insert(expected_end);
  }
}

void worker_pool::task_ended(const std::string& id, monotonic_time expected_end) {
  auto* view = find_mutable(id);
  if (view == nullptr) {
    return;
  }
  const auto found = view->expected_ends.find(expected_end);
  if (found != view->expected_ends.end()) {
    view->expected_ends.erase(found);
  }
}

const std::vector<const worker_view*>& worker_pool::usable(const std::string& kind) const {
  return index_of(kind).usable;
}

const worker_pool::ranking& worker_pool::with_credits(const std::string& kind) const {
  return index_of(kind).with_credits;
}

std::size_t worker_pool::capable_workers(const std::string& kind,
                                         const worker_requirements& needs) const {
  const auto& serving = index_of(kind).serving;
  return static_cast<std::size_t>(
      std::count_if(serving.begin(), serving.end(),
                    [&needs](const worker_view* view) { return view->fits(needs); }));
}

std::size_t worker_pool::capable_slots(const std::string& kind,
                                       const worker_requirements& needs) const {
  std::size_t slots = 0;
  for (const auto* view : index_of(kind).serving) {
    slots += view->fits(needs) ? view->slots : 0;
  }
  return slots;
}

const std::set<std::string>& worker_pool::confined_kinds(const std::string& kind) const {
  const auto known = confined_kinds_.find(kind);
  if (known != confined_kinds_.end()) {
    return known->second;
  }
  auto& confined = confined_kinds_[kind];
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

double worker_pool::lowest_run_time_factor(const std::string& kind) const {
  const auto& run_time_factors = index_of(kind).run_time_factors;
  return run_time_factors.empty() ? 1 : *run_time_factors.begin();
}

worker_pool::preference worker_pool::preference_of(const worker_view& view) const {
  const auto run_time_factor = std::max(view.run_time_factor, 1e-6);
  const auto level =
      static_cast<int>(std::floor(std::log(run_time_factor) / std::log(run_time_factor_step)));
  return {level, view.availability_zone != availability_zone_, run_time_factor, view.id};
}

void worker_pool::add_to_indexes(const worker_view& view) {
  for (const auto& kind : view.kinds) {
    auto& entry = kinds_[kind];
    entry.serving.push_back(&view);
    if (view.ejected) {
      continue;
    }
    entry.usable.push_back(&view);
    entry.run_time_factors.insert(view.run_time_factor);
    if (view.credits > 0) {
      entry.with_credits.emplace(preference_of(view), &view);
    }
  }
}

void worker_pool::remove_from_indexes(const worker_view& view) {
  for (const auto& kind : view.kinds) {
    auto& entry = kinds_[kind];
    std::erase(entry.serving, &view);
    if (!view.ejected) {
      std::erase(entry.usable, &view);
      entry.run_time_factors.erase(entry.run_time_factors.find(view.run_time_factor));
      entry.with_credits.erase(preference_of(view));
    }
    if (entry.serving.empty()) {
      kinds_.erase(kind);
    }
  }
}

worker_view* worker_pool::find_mutable(const std::string& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : found->second.get();
}

const worker_pool::kind_index& worker_pool::index_of(const std::string& kind) const {
  static const kind_index none;
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? none : found->second;
}

} // namespace parsleylead

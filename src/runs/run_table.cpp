#include "parsleylead/runs/run_table.hpp"

#include <algorithm>
#include <cmath>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Ends are kept for a session that is opened again; longer than any lease of an owner.
constexpr milliseconds past_end_kept{3'000};
// Ends that are kept at most: ten seconds of a busy worker.
constexpr std::size_t max_past_ends = 1'000;
// A stop that the worker has not confirmed is repeated after this time.
constexpr milliseconds stop_retry_interval{60};
// A run that the worker confirmed as stopped is listed as ended within the worker's stop time; it
// is stopped again if it is still active after this time.
constexpr milliseconds stop_overdue{300};
// Failures lose half their weight in this time, so that an ejected worker gets a trial task after a
// few seconds.
constexpr std::chrono::duration<double> failure_half_life{3.0};
// A run counts as slow when it took this many times as long as estimated, and at least min_slow.
constexpr double slow_factor = 2.5;
constexpr milliseconds min_slow{150};

} // namespace

run_table::run_map::iterator run_table::locate(const run_id& id) {
  const auto found = runs_.find(id.task);
  return found != runs_.end() && found->second.order.run == id ? found : runs_.end();
}

run_table::run* run_table::find(const run_id& id) {
  const auto found = locate(id);
  return found != runs_.end() ? &found->second : nullptr;
}

const run_table::run* run_table::find(const run_id& id) const {
  const auto found = runs_.find(id.task);
  return found != runs_.end() && found->second.order.run == id ? &found->second : nullptr;
}

const start_order* run_table::find_order(const run_id& id) const {
  const auto* found = find(id);
  return found == nullptr ? nullptr : &found->order;
}

owner_id run_table::owner_of(const run_id& id) const {
  const auto* found = find(id);
  return found == nullptr ? 0 : found->owner;
}

void run_table::worker_replaced(const resource_needs& capacity, monotonic_time now) {
  end_all(run_outcome::lost, now);
  foreign_runs_.clear();
  capacity_ = capacity;
  pace_ = {};
  failures_ = 0;
  counted_ends_ = 0;
}

void run_table::worker_lost(monotonic_time now) {
  end_all(run_outcome::lost, now);
  foreign_runs_.clear();
}

void run_table::end_numbers_reset() {
  held_ends_.clear();
  last_end_ = 0;
}

void run_table::partition_claimed(owner_id owner, const partition_claim& claim,
                                  monotonic_time now) {
  auto& known = claims_[claim.partition];
  if (claim.epoch < known.epoch) {
    return;
  }
  known = {owner, claim.epoch};
  std::vector<std::pair<owner_id, run_id>> outdated;
  for (const auto& [key, each] : runs_) {
    if (each.order.epoch != 0 && each.order.epoch < claim.epoch &&
        partition_of(key.job, partitions_) == claim.partition) {
      outdated.emplace_back(each.owner, each.order.run);
    }
  }
  for (const auto& [of, id] : outdated) {
    stop(of, id, false, now);
  }
  for (const auto& [number, each] : held_ends_) {
    if (partition_of(each.end.run.task.job, partitions_) == claim.partition) {
      ends_.push_back({owner, each.end});
    }
  }
}

std::optional<partition_claim> run_table::later_claim(const start_order& order) const {
  if (order.epoch == 0) {
    return std::nullopt; // Of a job that is answered on its submission.
  }
  const auto partition = partition_of(order.run.task.job, partitions_);
  const auto claim = claims_.find(partition);
  const bool later = claim != claims_.end() && order.epoch < claim->second.epoch;
  return later ? std::optional(partition_claim{partition, claim->second.epoch}) : std::nullopt;
}

void run_table::hold_end(std::uint64_t number, run_end end) {
  end.held = true;
  held_ends_[number] = {end, false};
}

void run_table::report_held_end(const run_end& end) {
  const auto claim = claims_.find(partition_of(end.run.task.job, partitions_));
  if (claim != claims_.end()) {
    ends_.push_back({claim->second.owner, end});
  }
}

void run_table::acknowledge_end(const end_ack& note) {
  const auto found = std::find_if(held_ends_.begin(), held_ends_.end(), [&](const auto& each) {
    return each.second.end.run == note.run;
  });
  if (found == held_ends_.end()) {
    return;
  }
  if (note.superseded || found->second.superseded) {
    found->second.superseded = true; // For good, whatever a later owner knows.
  } else {
    held_ends_.erase(found);
  }
}

std::uint64_t run_table::confirmable_end() const {
  return held_ends_.empty() ? last_end_ : held_ends_.begin()->first - 1;
}

bool run_table::has_superseded_end() const {
  return std::any_of(held_ends_.begin(), held_ends_.end(),
                     [](const auto& each) { return each.second.superseded; });
}

void run_table::release_superseded() {
  std::erase_if(held_ends_, [](const auto& each) { return each.second.superseded; });
}

bool run_table::has_unclaimed_end() const {
  return std::any_of(held_ends_.begin(), held_ends_.end(), [this](const auto& each) {
    return !claims_.contains(partition_of(each.second.end.run.task.job, partitions_));
  });
}

void run_table::end_all(run_outcome outcome, monotonic_time now) {
  while (!runs_.empty()) {
    const auto first = runs_.begin();
    finish(first,
           first->second.current_state == state::waiting ? run_outcome::not_started : outcome, now);
  }
}

void run_table::add(owner_id owner, start_order order, monotonic_time now) {
  const auto key = order.run.task;
  if (const auto* here = find(order.run); here != nullptr && here->owner == owner) {
    return; // Received before.
  }
  if (later_claim(order)) {
    ends_.push_back({owner, {order.run, run_outcome::not_started, {}, {}}});
    return;
  }
  if (runs_.contains(key)) {
    // Another run of this task is here: never two at once.
    ends_.push_back({owner, {order.run, run_outcome::not_started, {}, {}}});
    return;
  }
  queued_cpu_millis_ += order.needs.cpu_millis;
  run made;
  made.owner = owner;
  made.added = now;
  made.due = now + order.due_in;
  made.queue_deadline = now + order.max_wait;
  made.order = std::move(order);
  runs_.emplace(key, std::move(made));
  waiting_.push_back(key);
}

void run_table::remove_waiting(const task_key& key) {
  std::erase(waiting_, key);
}

void run_table::request_stop(run& each, monotonic_time now) {
  each.next_stop_at = now + stop_retry_interval;
  each.stop_confirmed = false;
  calls_.push_back({worker_call::kind::stop, each.order.run});
}

void run_table::stop(owner_id owner, const run_id& id, bool report_end, monotonic_time now) {
  const auto found = locate(id);
  if (found == runs_.end() || found->second.owner != owner) {
    return;
  }
  auto& each = found->second;
  each.abandoned = each.abandoned || !report_end;
  if (each.current_state == state::waiting) {
    finish(found, run_outcome::not_started, now);
  } else if (each.current_state == state::running) {
    each.current_state = state::stopping;
    request_stop(each, now);
  } else if (each.current_state == state::starting) {
    each.current_state = state::revoking;
    request_stop(each, now);
  }
}

void run_table::stop_owner(owner_id owner, monotonic_time now) {
  std::vector<run_id> owned;
  for (const auto& [key, each] : runs_) {
    if (each.owner == owner) {
      owned.push_back(each.order.run);
    }
  }
  for (const auto& id : owned) {
    stop(owner, id, false, now);
  }
}

void run_table::reconcile(owner_id owner, const std::vector<run_id>& outstanding,
                          monotonic_time now) {
  std::vector<run_id> unwanted;
  for (const auto& [key, each] : runs_) {
    const bool listed =
        std::find(outstanding.begin(), outstanding.end(), each.order.run) != outstanding.end();
    if (each.owner == owner && !listed && !each.abandoned) {
      unwanted.push_back(each.order.run);
    }
  }
  for (const auto& id : unwanted) {
    stop(owner, id, false, now);
  }
  for (const auto& id : outstanding) {
    const auto* here = find(id);
    if (here != nullptr && here->owner == owner && !here->abandoned) {
      continue;
    }
    if (here != nullptr && here->owner == owner) {
      // Stopped by the lease while the session was down: report the end once it is certain.
      find(id)->abandoned = false;
      continue;
    }
    const auto held = std::find_if(held_ends_.begin(), held_ends_.end(),
                                   [&](const auto& each) { return each.second.end.run == id; });
    if (held != held_ends_.end()) {
      ends_.push_back({owner, held->second.end}); // However long ago it was.
      continue;
    }
    const auto past =
        std::find_if(recent_ends_.begin(), recent_ends_.end(), [&](const recent_end& each) {
          return each.end.owner == owner && each.end.end.run == id;
        });
    if (past != recent_ends_.end()) {
      ends_.push_back(past->end);
    } else {
      ends_.push_back({owner, {id, run_outcome::not_started, {}, {}}});
    }
  }
}

void run_table::start_answered(const run_id& id, start_answer answer, monotonic_time now) {
  const auto found = locate(id);
  if (found == runs_.end()) {
    return;
  }
  auto& each = found->second;
  if (each.current_state != state::starting && each.current_state != state::revoking) {
    return;
  }
  switch (answer) {
  case start_answer::started:
    if (each.current_state == state::starting) {
      each.current_state = state::running;
      each.confirmed_at = now;
    }
    break;
  case start_answer::unknown:
    if (each.current_state == state::starting) {
      each.current_state = state::revoking;
      request_stop(each, now);
    }
    break;
  default:
    finish(found, run_outcome::not_started, now);
    break;
  }
}

void run_table::stop_answered(const run_id& id, bool confirmed, monotonic_time now) {
  auto* each = find(id);
  if (each == nullptr ||
      (each->current_state != state::revoking && each->current_state != state::stopping)) {
    return;
  }
  if (confirmed) {
    each->stop_confirmed = true;
    each->confirmed_at = now;
    each->next_stop_at = now + stop_overdue;
  }
}

void run_table::observe(const std::vector<active_run>& active,
                        const std::vector<finished_run>& finished, bool complete,
                        monotonic_time requested, monotonic_time now) {
  std::unordered_set<task_key, task_key_hash> listed;
  std::erase_if(foreign_runs_, [&](const auto& each) {
    return requested > each.second &&
           std::none_of(active.begin(), active.end(),
                        [&](const auto& a) { return a.run.task == each.first; });
  });
  for (const auto& each : active) {
    auto* known = find(each.run);
    if (known == nullptr || known->current_state == state::waiting) {
      // Not started by this agent.
      if (foreign_runs_.try_emplace(each.run.task, now).second ||
          now - foreign_runs_[each.run.task] > stop_retry_interval) {
        foreign_runs_[each.run.task] = now;
        calls_.push_back({worker_call::kind::stop, each.run});
      }
      continue;
    }
    listed.insert(each.run.task);
    if (known->current_state == state::starting) {
      known->current_state = state::running;
      known->confirmed_at = now;
    }
    const std::chrono::duration<double> spent = now - known->began;
    const double before = known->percent;
    if (each.percent >= known->percent) {
      known->percent = each.percent;
    }
    // Only the progress since the last report counts, over the time since then.
    const std::chrono::duration<double> estimate = known->order.estimate;
    pace_.record(std::min(spent, std::chrono::duration<double>(
                                     now - std::max(known->began, last_observed_))),
                 estimate * ((known->percent - before) / 100.0), now);
  }
  for (const auto& each : finished) {
    if (each.number <= last_end_ && each.number != 0) {
      continue; // Listed before.
    }
    last_end_ = std::max(last_end_, each.number);
    const bool final = each.outcome == run_outcome::done || each.outcome == run_outcome::failed;
    const auto found = locate(each.run);
    if (found == runs_.end() || found->second.current_state == state::waiting) {
      if (final && each.number != 0) {
        // Of an earlier agent on this host, perhaps of a durable job: the owner of the partition
        // tells.
        hold_end(each.number, {each.run, each.outcome, {}, {}});
        report_held_end(held_ends_[each.number].end);
      }
      continue;
    }
    auto& known = found->second;
    if (each.outcome == run_outcome::done) {
      const std::chrono::duration<double> estimate = known.order.estimate;
      pace_.record(now - std::max(known.began, last_observed_),
                   estimate * ((100.0 - known.percent) / 100.0), now);
    }
    count_end(each.outcome, now);
    finish(found, each.outcome, now, final && known.order.epoch != 0 ? each.number : 0);
  }
  last_observed_ = now;
  if (!complete) {
    return;
  }
  std::vector<task_key> gone;
  for (const auto& [key, each] : runs_) {
    if (listed.contains(key) || each.current_state == state::waiting ||
        each.current_state == state::starting) {
      continue;
    }
    const bool confirmed = each.current_state == state::running || each.stop_confirmed;
    if (confirmed && requested > each.confirmed_at) {
      gone.push_back(key);
    }
  }
  for (const auto& key : gone) {
    const auto at = runs_.find(key);
    finish(at,
           at->second.current_state == state::revoking ? run_outcome::not_started
                                                       : run_outcome::lost,
           now);
  }
}

void run_table::count_end(run_outcome outcome, monotonic_time now) {
  if (last_counted_ != monotonic_time{} && now > last_counted_) {
    const std::chrono::duration<double> passed = now - last_counted_;
    const double kept = std::exp2(-passed / failure_half_life);
    failures_ *= kept;
    counted_ends_ *= kept;
  }
  last_counted_ = now;
  if (outcome == run_outcome::done || outcome == run_outcome::failed) {
    counted_ends_ += 1;
    failures_ += outcome == run_outcome::failed ? 1 : 0;
  }
}

void run_table::finish(run_map::iterator at, run_outcome outcome, monotonic_time now,
                       std::uint64_t number) {
  auto& each = at->second;
  if (each.current_state == state::waiting) {
    queued_cpu_millis_ -= each.order.needs.cpu_millis;
    remove_waiting(at->first);
  } else {
    subtract_needs(committed_, each.order.needs);
  }
  const bool ran = each.current_state != state::waiting && outcome != run_outcome::not_started;
  const auto began = each.current_state == state::waiting ? now : each.began;
  const run_end end{each.order.run, outcome,
                    ran ? std::chrono::round<milliseconds>(now - each.began) : milliseconds{0},
                    std::chrono::round<milliseconds>(began - each.added), number != 0};
  if (number != 0) {
    hold_end(number, end);
  }
  // An abandoned run's end is kept too: its owner may ask for it when its session resumes.
  remember_end({each.owner, end}, now);
  if (!each.abandoned) {
    ends_.push_back({each.owner, end});
  } else if (end.held) {
    report_held_end(end);
  }
  runs_.erase(at);
}

void run_table::remember_end(const owned_end& end, monotonic_time now) {
  recent_ends_.push_back({end, now});
  while (recent_ends_.size() > max_past_ends ||
         now - recent_ends_.front().ended_at > past_end_kept) {
    recent_ends_.pop_front();
  }
}

void run_table::start_waiting(monotonic_time now) {
  for (auto& [key, each] : runs_) {
    const bool ending =
        each.current_state == state::revoking || each.current_state == state::stopping;
    if (ending && each.next_stop_at <= now) {
      request_stop(each, now);
    }
  }
  std::vector<task_key> returned;
  for (const auto& key : waiting_) {
    if (!accepting_ || runs_.at(key).queue_deadline <= now) {
      returned.push_back(key);
    }
  }
  for (const auto& key : returned) {
    finish(runs_.find(key), run_outcome::not_started, now);
  }
  if (waiting_.empty() || suspended_ || !foreign_runs_.empty()) {
    return;
  }
  // On-time starts first, the earliest due before; late ones after them in the order of arrival.
  std::sort(waiting_.begin(), waiting_.end(), [&](const task_key& a, const task_key& b) {
    const auto& left = runs_.at(a);
    const auto& right = runs_.at(b);
    const bool left_late = left.due < now;
    const bool right_late = right.due < now;
    if (left_late != right_late) {
      return right_late;
    }
    if (left.order.priority != right.order.priority) {
      return left.order.priority < right.order.priority;
    }
    return left_late ? left.added < right.added : left.due < right.due;
  });
  std::vector<task_key> still_waiting;
  for (const auto& key : waiting_) {
    auto& each = runs_.at(key);
    if (!fits(each.order.needs, committed_, capacity_)) {
      still_waiting.push_back(key);
      continue;
    }
    add_needs(committed_, each.order.needs);
    check_invariant(fits({}, committed_, capacity_),
                    "agent: more runs than the worker has room for");
    queued_cpu_millis_ -= each.order.needs.cpu_millis;
    each.current_state = state::starting;
    each.began = now;
    calls_.push_back({worker_call::kind::start, each.order.run});
  }
  waiting_ = std::move(still_waiting);
}

std::vector<std::pair<owner_id, slow_run>> run_table::slow_runs(monotonic_time now) const {
  std::vector<std::pair<owner_id, slow_run>> slow;
  for (const auto& [key, each] : runs_) {
    if (each.current_state != state::running || each.abandoned) {
      continue;
    }
    const auto ran = std::chrono::round<milliseconds>(now - each.began);
    if (ran > min_slow && ran > each.order.estimate * slow_factor) {
      slow.push_back({each.owner, {each.order.run, each.percent, ran}});
    }
  }
  return slow;
}

std::uint32_t run_table::owner_cpu_millis(owner_id owner) const {
  std::uint32_t sum = 0;
  for (const auto& [key, each] : runs_) {
    if (each.owner == owner) {
      sum += each.order.needs.cpu_millis;
    }
  }
  return sum;
}

} // namespace parsleylead

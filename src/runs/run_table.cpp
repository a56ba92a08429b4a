#include "parsleylead/runs/run_table.hpp"

#include <algorithm>
#include <cmath>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// How long ends are kept for a session that is resumed; longer than any lease of an owner.
constexpr milliseconds recent_end_retention{3'000};
// Maximum number of these ends: ten seconds of a busy worker.
constexpr std::size_t max_recent_ends = 1'000;
// Delay before a stop that the worker has not confirmed is repeated.
constexpr milliseconds stop_retry_interval{60};
// The same if the answer to the stop is known to be lost.
constexpr milliseconds lost_stop_retry{40};
// A list shows a start that the worker has executed if it was requested this long after the start.
// Sooner, it may overtake the start on another connection.
constexpr milliseconds start_listed_after{8};
// A start without an answer is stopped after this time if no list has arrived. The worker is
// suspected then.
constexpr milliseconds unexplained_start_limit{200};
// Delay before a confirmed stop is repeated if the run is still active. The worker lists a stopped
// run as ended sooner than this.
constexpr milliseconds confirmed_stop_retry{300};
// Maximum number of crashes that are held for their owners, who acknowledge them within seconds.
constexpr std::size_t max_held_crashes = 1'000;
// Half-life of a failure's weight: an avoided worker gets a trial task after a few seconds.
constexpr std::chrono::duration<double> failure_half_life{3.0};
// A run counts as slow if it exceeds both its estimate times slow_factor and min_slow.
constexpr double slow_factor = 2.5;
constexpr milliseconds min_slow{150};
// A task that crashes its worker usually does so at its start. Runs that have lasted longer than
// this are suspects only if no younger one is there.
constexpr milliseconds suspect_age{50};

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
  lose_all(loss_cause::worker_replaced, now);
  explain_losses(false);
  foreign_runs_.clear();
  capacity_ = capacity;
  forget_measurements();
}

void run_table::worker_restarted(monotonic_time now) {
  return_waiting(now);
  forget_measurements();
}

void run_table::forget_measurements() {
  pace_ = {};
  failures_ = 0;
  counted_ends_ = 0;
}

void run_table::worker_lost(monotonic_time now, loss_cause cause) {
  lose_all(cause, now);
  foreign_runs_.clear();
}

void run_table::suspect_crash(monotonic_time refused_since) {
  mark_active_runs(refused_since, &run::crash_suspected);
}

void run_table::worker_crashed(monotonic_time crashed_at) {
  for (auto& [key, candidate] : runs_) {
    candidate.may_have_crashed = candidate.current_state != state::waiting;
  }
  mark_active_runs(crashed_at, &run::worker_crashed);
  explain_losses(true);
}

void run_table::worker_answered() {
  for (auto& [key, each] : runs_) {
    each.crash_suspected = false;
    each.suspect = each.suspect && each.worker_crashed;
  }
  explain_losses(false);
}

void run_table::explain_losses(bool worker_crashed) {
  for (auto& [owner, end, durable, abandoned] : std::exchange(unexplained_losses_, {})) {
    if (!worker_crashed && end.cause == loss_cause::worker_silent) {
      continue; // Nothing was suspected.
    }
    end.worker_crashed = worker_crashed;
    end.suspect = end.suspect && worker_crashed;
    if (!abandoned) {
      loss_reports_.push_back({owner, end});
    }
    if (worker_crashed && durable) {
      hold_crash(end);
      if (abandoned || claimant_of(end) != owner) {
        report_held_end(end);
      }
    }
  }
}

void run_table::mark_active_runs(monotonic_time crashed_at, bool run::*mark) {
  std::vector<run*> active;
  for (auto& [key, candidate] : runs_) {
    if (candidate.current_state != state::waiting && candidate.began <= crashed_at) {
      active.push_back(&candidate);
    }
  }
  if (active.empty()) {
    return;
  }
  const auto is_young = [crashed_at](const run* each) {
    return each->began >= crashed_at - suspect_age;
  };
  const bool any_young = std::any_of(active.begin(), active.end(), is_young);
  const auto& first = active.front()->order;
  const bool one_queue = std::all_of(active.begin(), active.end(), [&first](const run* each) {
    return each->order.queue == first.queue;
  });
  const bool reported = std::any_of(active.begin(), active.end(),
                                    [](const run* each) { return each->crash_suspected; });
  if (one_queue && !reported) {
    crashes_.push_back({first.queue, active.size() == 1 && first.isolated});
  }
  for (auto* each : active) {
    each->*mark = true;
    each->suspect = !any_young || is_young(each);
  }
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
  for (const auto& [key, entry] : runs_) {
    if (entry.order.epoch != 0 && entry.order.epoch < claim.epoch &&
        partition_of(key.job, partitions_) == claim.partition) {
      outdated.emplace_back(entry.owner, entry.order.run);
    }
  }
  for (const auto& [run_owner, id] : outdated) {
    stop(run_owner, id, false, now);
  }
  for (const auto& [number, entry] : held_ends_) {
    if (partition_of(entry.end.run.task.job, partitions_) == claim.partition) {
      ends_.push_back({owner, entry.end});
    }
  }
  for (const auto& end : held_crashes_) {
    if (partition_of(end.run.task.job, partitions_) == claim.partition) {
      ends_.push_back({owner, end});
    }
  }
}

std::optional<partition_claim> run_table::later_claim(const start_order& order) const {
  if (order.epoch == 0) {
    return std::nullopt; // Not a durable job.
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

void run_table::hold_crash(const run_end& end) {
  held_crashes_.push_back(end);
  if (held_crashes_.size() > max_held_crashes) {
    held_crashes_.pop_front();
  }
}

void run_table::report_held_end(const run_end& end) {
  if (const auto owner = claimant_of(end); owner != 0) {
    ends_.push_back({owner, end});
  }
}

owner_id run_table::claimant_of(const run_end& end) const {
  const auto claim = claims_.find(partition_of(end.run.task.job, partitions_));
  return claim == claims_.end() ? 0 : claim->second.owner;
}

void run_table::claim_withdrawn(owner_id owner, partition_number partition) {
  const auto claim = claims_.find(partition);
  if (claim != claims_.end() && claim->second.owner == owner) {
    claim->second.owner = 0;
  }
}

void run_table::acknowledge_end(const end_ack& ack) {
  std::erase_if(held_crashes_, [&](const run_end& held) { return held.run == ack.run; });
  const auto found = std::find_if(held_ends_.begin(), held_ends_.end(),
                                  [&](const auto& held) { return held.second.end.run == ack.run; });
  if (found == held_ends_.end()) {
    return;
  }
  if (ack.superseded || found->second.superseded) {
    found->second.superseded = true; // Permanent, whatever a later owner sends.
  } else {
    held_ends_.erase(found);
  }
}

std::uint64_t run_table::confirmable_end() const {
  return held_ends_.empty() ? last_end_ : held_ends_.begin()->first - 1;
}

bool run_table::has_superseded_end() const {
  return std::any_of(held_ends_.begin(), held_ends_.end(),
                     [](const auto& held) { return held.second.superseded; });
}

void run_table::release_superseded() {
  std::erase_if(held_ends_, [](const auto& held) { return held.second.superseded; });
}

bool run_table::has_unclaimed_end() const {
  const auto is_unclaimed = [this](const run_end& end) { return claimant_of(end) == 0; };
  return std::any_of(held_ends_.begin(), held_ends_.end(),
                     [&](const auto& held) { return is_unclaimed(held.second.end); }) ||
         std::any_of(held_crashes_.begin(), held_crashes_.end(), is_unclaimed);
}

void run_table::lose_all(loss_cause cause, monotonic_time now) {
  while (!runs_.empty()) {
    const auto first = runs_.begin();
    const bool waiting = first->second.current_state == state::waiting;
    finish(first, waiting ? run_outcome::not_started : run_outcome::lost, now, cause);
  }
}

void run_table::return_waiting(monotonic_time now) {
  while (!waiting_.empty()) {
    finish(runs_.find(waiting_.front()), run_outcome::not_started, now);
  }
}

void run_table::add(owner_id owner, start_order order, monotonic_time now) {
  const auto key = order.run.task;
  if (const auto* known = find(order.run); known != nullptr && known->owner == owner) {
    return; // Duplicate order.
  }
  if (later_claim(order)) {
    refuse(owner, order);
    return;
  }
  if (runs_.contains(key)) {
    // Another run of this task is present, and two runs must not overlap.
    refuse(owner, order);
    return;
  }
  run added;
  added.owner = owner;
  added.reserved = order.isolated ? max_needs(order.needs, capacity_) : order.needs;
  queued_cpu_millis_ += added.reserved.cpu_millis;
  added.added = now;
  added.due = now + order.due_in;
  added.queue_deadline = now + order.max_wait;
  added.order = std::move(order);
  runs_.emplace(key, std::move(added));
  waiting_.push_back(key);
}

void run_table::refuse(owner_id owner, const start_order& order) {
  ends_.push_back({owner, {order.run, run_outcome::not_started, {}, {}}});
}

void run_table::remove_waiting(const task_key& key) {
  std::erase(waiting_, key);
}

void run_table::request_stop(run& target, monotonic_time now) {
  target.stop_sent_at = now;
  target.next_stop_at = now + stop_retry_interval;
  target.stop_confirmed = false;
  calls_.push_back({worker_call::kind::stop, target.order.run});
}

void run_table::revoke(run& target, monotonic_time now) {
  target.current_state = state::revoking;
  request_stop(target, now);
  if (target.unanswered) {
    resolved_starts_.push_back({target.order.run, start_resolution::stopped});
  }
}

void run_table::revoke_unexplained(monotonic_time now) {
  for (auto& [key, each] : runs_) {
    if (each.current_state == state::starting && each.unanswered &&
        now - each.began >= unexplained_start_limit) {
      revoke(each, now);
    }
  }
}

void run_table::stop(owner_id owner, const run_id& id, bool report_end, monotonic_time now) {
  const auto found = locate(id);
  if (found == runs_.end() || found->second.owner != owner) {
    return;
  }
  auto& target = found->second;
  target.abandoned = target.abandoned || !report_end;
  if (target.current_state == state::waiting) {
    finish(found, run_outcome::not_started, now);
  } else if (target.current_state == state::running) {
    target.current_state = state::stopping;
    request_stop(target, now);
  } else if (target.current_state == state::starting) {
    revoke(target, now);
  }
}

void run_table::stop_owner(owner_id owner, monotonic_time now) {
  std::vector<run_id> owned;
  for (const auto& [key, candidate] : runs_) {
    if (candidate.owner == owner) {
      owned.push_back(candidate.order.run);
    }
  }
  for (const auto& id : owned) {
    stop(owner, id, false, now);
  }
  for (auto& [partition, claim] : claims_) {
    claim.owner = claim.owner == owner ? 0 : claim.owner;
  }
}

void run_table::reconcile(owner_id owner, const std::vector<run_id>& outstanding,
                          monotonic_time now) {
  std::vector<run_id> unwanted;
  for (const auto& [key, entry] : runs_) {
    const bool listed =
        std::find(outstanding.begin(), outstanding.end(), entry.order.run) != outstanding.end();
    if (entry.owner == owner && !listed && !entry.abandoned) {
      unwanted.push_back(entry.order.run);
    }
  }
  for (const auto& id : unwanted) {
    stop(owner, id, false, now);
  }
  for (const auto& id : outstanding) {
    const auto* known = find(id);
    if (known != nullptr && known->owner == owner && !known->abandoned) {
      continue;
    }
    if (known != nullptr && known->owner == owner) {
      // Stopped because the lease expired while the session was down: report its end when it ends.
      find(id)->abandoned = false;
      continue;
    }
    const auto held = std::find_if(held_ends_.begin(), held_ends_.end(),
                                   [&](const auto& entry) { return entry.second.end.run == id; });
    if (held != held_ends_.end()) {
      ends_.push_back({owner, held->second.end}); // Held ends do not age.
      continue;
    }
    const auto crashed = std::find_if(held_crashes_.begin(), held_crashes_.end(),
                                      [&](const run_end& end) { return end.run == id; });
    if (crashed != held_crashes_.end()) {
      ends_.push_back({owner, *crashed});
      continue;
    }
    const auto past =
        std::find_if(recent_ends_.begin(), recent_ends_.end(), [&](const recent_end& entry) {
          return entry.end.owner == owner && entry.end.end.run == id;
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
  auto& target = found->second;
  if (target.current_state != state::starting && target.current_state != state::revoking) {
    return;
  }
  switch (answer) {
  case start_answer::started:
    if (target.current_state == state::starting) {
      target.current_state = state::running;
      target.confirmed_at = now;
    }
    break;
  case start_answer::unknown:
    if (target.current_state == state::starting) {
      revoke(target, now);
    }
    break;
  default:
    finish(found, run_outcome::not_started, now);
    break;
  }
}

void run_table::start_unanswered(const run_id& id, monotonic_time now) {
  auto* target = find(id);
  if (target == nullptr) {
    resolved_starts_.push_back({id, start_resolution::ended});
    return;
  }
  target->unanswered = true;
  if (target->current_state != state::starting) {
    const bool stopped = target->current_state == state::revoking;
    resolved_starts_.push_back(
        {id, stopped ? start_resolution::stopped : start_resolution::active});
  } else if (target->unlisted || now - target->began >= unexplained_start_limit) {
    revoke(*target, now);
  }
}

bool run_table::is_starting(const run_id& id) const {
  const auto* target = find(id);
  return target != nullptr && target->current_state == state::starting;
}

void run_table::start_unlisted(run& target, monotonic_time requested, monotonic_time now) {
  if (requested < target.began + start_listed_after) {
    return;
  }
  target.unlisted = true;
  if (target.unanswered) {
    revoke(target, now);
  }
}

bool run_table::has_ended_since(const run_id& id, monotonic_time requested) const {
  return std::any_of(recent_ends_.begin(), recent_ends_.end(), [&](const recent_end& each) {
    const auto outcome = each.end.end.outcome;
    return each.ended_at >= requested && each.end.end.run == id && outcome != run_outcome::lost &&
           outcome != run_outcome::not_started;
  });
}

void run_table::stop_answered(const run_id& id, bool confirmed, monotonic_time now) {
  auto* target = find(id);
  if (target == nullptr ||
      (target->current_state != state::revoking && target->current_state != state::stopping)) {
    return;
  }
  if (confirmed) {
    target->stop_confirmed = true;
    target->confirmed_at = now;
    target->next_stop_at = now + confirmed_stop_retry;
  } else if (!target->stop_confirmed) {
    // An earlier answer means that the worker could not be reached.
    target->next_stop_at = std::min(target->next_stop_at, target->stop_sent_at + lost_stop_retry);
  }
}

void run_table::observe(const std::vector<active_run>& active,
                        const std::vector<finished_run>& finished, bool complete,
                        monotonic_time requested, monotonic_time now) {
  std::unordered_set<task_key, task_key_hash> listed;
  const auto is_foreign = [this](const run_id& id) {
    const auto* known = find(id);
    return known == nullptr || known->current_state == state::waiting;
  };
  std::erase_if(foreign_runs_, [&](const auto& item) {
    return requested > item.second &&
           std::none_of(active.begin(), active.end(), [&](const auto& candidate) {
             return candidate.run.task == item.first && is_foreign(candidate.run);
           });
  });
  for (const auto& item : active) {
    if (is_foreign(item.run)) {
      if (has_ended_since(item.run, requested)) {
        continue;
      }
      // Not started by this agent.
      if (foreign_runs_.try_emplace(item.run.task, now).second ||
          now - foreign_runs_[item.run.task] > stop_retry_interval) {
        foreign_runs_[item.run.task] = now;
        calls_.push_back({worker_call::kind::stop, item.run});
      }
      continue;
    }
    listed.insert(item.run.task);
    auto* known = find(item.run);
    known->worker_crashed = false; // Started by the worker's next incarnation.
    known->may_have_crashed = false;
    known->suspect = false;
    if (known->current_state == state::starting) {
      known->current_state = state::running;
      known->confirmed_at = now;
      if (known->unanswered) {
        resolved_starts_.push_back({item.run, start_resolution::active});
      }
    }
    const std::chrono::duration<double> spent = now - known->began;
    const double before = known->percent;
    if (item.percent >= known->percent) {
      known->percent = item.percent;
    }
    // Count only the progress and the time since the last list.
    const std::chrono::duration<double> estimate = known->order.estimate;
    pace_.record(std::min(spent, std::chrono::duration<double>(
                                     now - std::max(known->began, last_observed_))),
                 estimate * ((known->percent - before) / 100.0), now);
  }
  for (const auto& item : finished) {
    if (item.number <= last_end_ && item.number != 0) {
      continue; // Already handled.
    }
    last_end_ = std::max(last_end_, item.number);
    const bool final = item.outcome == run_outcome::done || item.outcome == run_outcome::failed;
    const auto found = locate(item.run);
    if (found == runs_.end() || found->second.current_state == state::waiting) {
      if (final && item.number != 0) {
        // Started by an earlier agent process on this host, possibly for a durable job: only the
        // owner of its partition can tell.
        hold_end(item.number, {item.run, item.outcome, {}, {}});
        report_held_end(held_ends_[item.number].end);
      }
      continue;
    }
    auto& known = found->second;
    if (item.outcome == run_outcome::done) {
      const std::chrono::duration<double> estimate = known.order.estimate;
      pace_.record(now - std::max(known.began, last_observed_),
                   estimate * ((100.0 - known.percent) / 100.0), now);
    }
    count_end(item.outcome, now);
    finish(found, item.outcome, now, loss_cause::listed,
           final && known.order.epoch != 0 ? item.number : 0);
  }
  last_observed_ = now;
  if (!complete) {
    return;
  }
  std::vector<task_key> ended;
  for (auto& [key, item] : runs_) {
    if (listed.contains(key) || item.current_state == state::waiting) {
      continue;
    }
    if (item.current_state == state::starting) {
      start_unlisted(item, requested, now);
      continue;
    }
    const bool confirmed = item.current_state == state::running || item.stop_confirmed;
    if (confirmed && requested > item.confirmed_at) {
      ended.push_back(key);
    }
  }
  for (const auto& key : ended) {
    const auto position = runs_.find(key);
    const bool restarted = position->second.may_have_crashed;
    const bool never_started = position->second.current_state == state::revoking && !restarted;
    finish(position, never_started ? run_outcome::not_started : run_outcome::lost, now,
           restarted ? loss_cause::worker_restarted : loss_cause::not_listed);
  }
}

void run_table::count_end(run_outcome outcome, monotonic_time now) {
  if (last_counted_ != monotonic_time{} && now > last_counted_) {
    const std::chrono::duration<double> elapsed = now - last_counted_;
    const double decay = std::exp2(-elapsed / failure_half_life);
    failures_ *= decay;
    counted_ends_ *= decay;
  }
  last_counted_ = now;
  if (outcome == run_outcome::done || outcome == run_outcome::failed) {
    counted_ends_ += 1;
    failures_ += outcome == run_outcome::failed ? 1 : 0;
  }
}

void run_table::finish(run_map::iterator ended, run_outcome outcome, monotonic_time now,
                       loss_cause cause, std::uint64_t number) {
  auto& target = ended->second;
  if (target.current_state == state::waiting) {
    queued_cpu_millis_ -= target.reserved.cpu_millis;
    remove_waiting(ended->first);
  } else {
    subtract_needs(committed_, target.reserved);
  }
  const bool ran = target.current_state != state::waiting && outcome != run_outcome::not_started;
  const auto began = target.current_state == state::waiting ? now : target.began;
  const bool lost = outcome == run_outcome::lost;
  const run_end end{target.order.run,
                    outcome,
                    ran ? std::chrono::round<milliseconds>(now - target.began) : milliseconds{0},
                    std::chrono::round<milliseconds>(began - target.added),
                    number != 0,
                    lost && target.worker_crashed,
                    lost && target.suspect,
                    lost ? cause : loss_cause::none};
  if (number != 0) {
    hold_end(number, end);
  }
  const bool durable = target.order.epoch != 0;
  if (cause == loss_cause::connection_refused || cause == loss_cause::worker_silent) {
    unexplained_losses_.push_back({target.owner, end, durable, target.abandoned});
  }
  const bool durable_crash = end.worker_crashed && durable;
  if (durable_crash) {
    hold_crash(end);
  }
  // Ends of abandoned runs are kept too: their owner may ask for them when it resumes its session.
  remember_end({target.owner, end}, now);
  if (target.unanswered && target.current_state == state::starting && cause == loss_cause::listed) {
    resolved_starts_.push_back({end.run, start_resolution::ended});
  }
  if (!target.abandoned) {
    ends_.push_back({target.owner, end});
  } else if (end.held || durable_crash) {
    report_held_end(end);
  }
  runs_.erase(ended);
}

void run_table::remember_end(const owned_end& end, monotonic_time now) {
  recent_ends_.push_back({end, now});
  while (recent_ends_.size() > max_recent_ends ||
         now - recent_ends_.front().ended_at > recent_end_retention) {
    recent_ends_.pop_front();
  }
}

void run_table::start_waiting(monotonic_time now) {
  revoke_unexplained(now);
  for (auto& [key, candidate] : runs_) {
    const bool ending =
        candidate.current_state == state::revoking || candidate.current_state == state::stopping;
    if (ending && candidate.next_stop_at <= now) {
      request_stop(candidate, now);
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
  if (waiting_.empty() || suspended_ || !foreign_runs_.empty() || start_isolated(now)) {
    return;
  }
  // Orders that can be on time first, by priority and due time; then late ones, by priority and
  // arrival.
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
    auto& candidate = runs_.at(key);
    if (!fits(candidate.order.needs, committed_, capacity_)) {
      still_waiting.push_back(key);
      continue;
    }
    start(candidate, now);
    check_invariant(fits({}, committed_, capacity_),
                    "agent: committed resources exceed the worker's capacity");
  }
  waiting_ = std::move(still_waiting);
}

void run_table::start(run& candidate, monotonic_time now) {
  add_needs(committed_, candidate.reserved);
  queued_cpu_millis_ -= candidate.reserved.cpu_millis;
  candidate.current_state = state::starting;
  candidate.began = now;
  calls_.push_back({worker_call::kind::start, candidate.order.run});
}

bool run_table::start_isolated(monotonic_time now) {
  const auto is_isolated = [this](const task_key& key) { return runs_.at(key).order.isolated; };
  const auto next = std::find_if(waiting_.begin(), waiting_.end(), is_isolated);
  if (next == waiting_.end()) {
    return std::any_of(runs_.begin(), runs_.end(),
                       [](const auto& each) { return each.second.order.isolated; });
  }
  auto& candidate = runs_.at(*next);
  if (running() == 0 && fits(candidate.order.needs, {}, capacity_)) {
    start(candidate, now);
    waiting_.erase(next);
  }
  return true;
}

std::vector<std::pair<owner_id, slow_run>> run_table::slow_runs(monotonic_time now) const {
  std::vector<std::pair<owner_id, slow_run>> slow;
  for (const auto& [key, candidate] : runs_) {
    if (candidate.current_state != state::running || candidate.abandoned) {
      continue;
    }
    const auto ran = std::chrono::round<milliseconds>(now - candidate.began);
    if (ran > min_slow && ran > candidate.order.estimate * slow_factor) {
      slow.push_back({candidate.owner, {candidate.order.run, candidate.percent, ran}});
    }
  }
  return slow;
}

bool run_table::has_started_runs(owner_id owner) const {
  return std::any_of(runs_.begin(), runs_.end(), [owner](const auto& each) {
    return each.second.owner == owner && each.second.current_state != state::waiting;
  });
}

std::uint32_t run_table::queued_cpu_millis() const {
  return queued_cpu_millis_ + (has_superseded_end() ? capacity_.cpu_millis : 0);
}

std::uint32_t run_table::owner_cpu_millis(owner_id owner) const {
  std::uint32_t sum = 0;
  for (const auto& [key, candidate] : runs_) {
    if (candidate.owner == owner) {
      sum += candidate.order.needs.cpu_millis;
    }
  }
  return sum;
}

} // namespace parsleylead

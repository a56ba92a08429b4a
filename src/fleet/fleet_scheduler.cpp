#include "parsleylead/fleet/fleet_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <tuple>
#include <utility>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;
using double_ms = std::chrono::duration<double, std::milli>;

// Weight of a worker's load in its score: of two equally fast workers, the less loaded one wins.
constexpr double load_weight = 0.5;
// Largest random share of the score, so that entries with the same view choose different workers.
constexpr double score_jitter = 0.15;
// Factor on the run time on a rack other than the one that holds the data.
constexpr double remote_rack_factor = 1.5;
// Added to the score of a worker that is used only if no other one fits.
constexpr double avoided_penalty_ms = 1e6;
// The run time is extrapolated from the progress only above this share.
constexpr double min_extrapolated_progress = 0.05;
// A restarted run is assumed to take at most this many times its estimate.
constexpr double max_estimate_error = 3.0;
// `place_waiting` passes over the jobs of a group after this many of them did not fit on any
// worker.
constexpr int max_unplaced_jobs = 32;
// Maximum number of times that a task is moved because of a slow run.
constexpr std::uint32_t max_moves = 2;
// Assumed remaining time of a run without any progress.
constexpr milliseconds stalled_remaining{10'000};
// Callers of refused jobs retry no sooner; a backlog takes about this long to change.
constexpr milliseconds min_retry_after{1'000};
// Callers of a confined queue retry no sooner: its workers take some seconds to restart.
constexpr milliseconds confined_retry_after{3'000};
// From this number of crashes on a task runs isolated, even if other runs were more suspect.
constexpr std::uint32_t isolating_crashes = 2;
// An isolated order that was returned this often is sent again as an ordinary one: long runs of
// other tasks must not keep it waiting.
constexpr std::uint32_t max_returned_isolated_orders = 2;
constexpr milliseconds quarantine_update_interval{250};
// A worker is idle for the requests of other entries if this share of its CPU is free.
constexpr double min_idle_share = 0.5;
// Maximum number of requirements that are described in a log line.
constexpr std::size_t max_described_requirements = 8;
// Interval at which jobs that wait for workers are checked although no worker has changed.
constexpr milliseconds awaiting_check_interval{100};
// Interval at which waiting jobs are refused for which the site has no worker any more.
constexpr milliseconds absence_check_interval{250};

double ms(std::chrono::nanoseconds value) {
  return double_ms(value).count();
}

/// Returns whether the epoch's attempt numbers are used up: the next one belongs to the next owner.
bool attempts_used_up(const fleet_job& job, std::uint32_t attempts) {
  return job.ownership && attempts - job.ownership->prior_attempts + 1 >= attempts_per_epoch;
}

} // namespace

struct fleet_scheduler::worker {
  std::string agent;
  /// In another availability zone than this entry.
  bool remote = false;
  bool connected = false;
  worker_status status;
  /// CPU demand of this entry's runs on the worker.
  std::uint32_t own_cpu_millis = 0;
  /// Number of this entry's isolated runs on the worker.
  std::uint32_t isolated_runs = 0;
  bool quarantined = false;
  /// The agent opened the session on request.
  bool requested = false;
  std::unordered_map<task_key, std::uint32_t, task_key_hash> runs;
  /// Runs that were placed up to `lost_before` count as lost at `release_at`.
  std::optional<monotonic_time> release_at;
  monotonic_time lost_before{};
  /// Runs that were placed up to `restarted_at` belong to an earlier agent process. The present one
  /// does not know them, so they count as lost at `restart_release_at`, whatever sessions follow.
  std::optional<monotonic_time> restart_release_at;
  monotonic_time restarted_at{};
};

struct fleet_scheduler::task {
  struct unexplained_loss {
    std::uint32_t attempt = 0;
    /// The run had been ordered to run isolated.
    bool isolated = false;
    /// The worker refused connections.
    bool crash_suspected = false;
  };
  /// `lost`: the run of a durable task was lost, and that is not stored yet.
  enum class state : std::uint8_t { blocked, ready, placed, lost, done };
  state current_state = state::blocked;
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0;
  std::uint32_t moves = 0;
  /// Number of workers that crashed under the task.
  std::uint32_t crashes = 0;
  /// One of them ran nothing else.
  bool crashed_alone = false;
  /// Runs lost at workers that did not answer and may have crashed.
  std::vector<unexplained_loss> unexplained_losses;
  /// The task is not placed before this time.
  monotonic_time withheld_until{};
  /// The task has to run with nothing beside it.
  bool needs_isolation = false;
  std::uint32_t returned_isolated_orders = 0;
  /// The latest order was an isolated one.
  bool isolated = false;
  bool stop_requested = false;
  worker_index worker = 0;
  monotonic_time placed{};
  std::vector<worker_index> avoided_workers;

  /// Removes an unexplained loss; returns it if there is one of this attempt.
  std::optional<unexplained_loss> take_unexplained_loss(std::uint32_t attempt) {
    const auto found =
        std::find_if(unexplained_losses.begin(), unexplained_losses.end(),
                     [attempt](const unexplained_loss& each) { return each.attempt == attempt; });
    if (found == unexplained_losses.end()) {
      return std::nullopt;
    }
    const auto taken = *found;
    unexplained_losses.erase(found);
    return taken;
  }

  /// Number of workers that crashed under the task or are suspected of that.
  std::uint32_t possible_crashes() const {
    return crashes + static_cast<std::uint32_t>(std::count_if(
                         unexplained_losses.begin(), unexplained_losses.end(),
                         [](const unexplained_loss& each) { return each.crash_suspected; }));
  }

  bool is_to_be_isolated() const {
    return needs_isolation && returned_isolated_orders < max_returned_isolated_orders;
  }
};

struct fleet_scheduler::job {
  fleet_job spec;
  std::uint32_t queue = 0;
  monotonic_time arrived;
  monotonic_time objective;
  /// A result after this time is of no use.
  monotonic_time late_limit;
  /// When the caller stops waiting for the result.
  monotonic_time deadline;
  /// Estimated time of the longest chain of dependent steps.
  std::chrono::milliseconds critical_path{0};
  std::vector<std::vector<task>> tasks;
  /// Number of tasks that are not done, by step.
  std::vector<std::uint32_t> remaining_tasks;
  /// Number of tasks in the states `ready` and `placed`.
  std::uint32_t ready = 0;
  std::uint32_t placed = 0;
  /// A run that was or may have been started has ended.
  bool any_run_ended = false;
  /// This process was stalled while tasks of the job were placed.
  bool stalled = false;
  bool suspended = false;
  /// The job waits for workers to be found.
  bool awaits_workers = false;
  /// A task of the job has to run isolated, or had to.
  bool has_suspects = false;
  job_result result;

  bool is_durable() const { return spec.ownership.has_value(); }

  bool may_have_run() const { return any_run_ended || placed > 0; }
};

/// What one call of `place_waiting` has found out about the workers, so that it asks once for jobs
/// that need the same. Placements only take resources away, so what did not fit will not.
struct fleet_scheduler::placement_pass {
  struct misfit {
    resource_needs needs;
    /// Workers have these resources, but not free.
    bool waits_for_resources = false;
  };
  /// Tasks that may run on the same workers.
  struct group {
    std::vector<misfit> misfits;
    int unplaced_jobs = 0;

    const misfit* find_misfit(const resource_needs& needs) const {
      const auto found = std::find_if(misfits.begin(), misfits.end(), [&](const misfit& each) {
        return fits(each.needs, {}, needs);
      });
      return found == misfits.end() ? nullptr : &*found;
    }
  };
  /// By service, required label, and whether the queue is confined. The names are those of open
  /// jobs, which a pass does not remove.
  std::map<std::tuple<std::string_view, std::string_view, bool>, group> groups;
};

fleet_scheduler::fleet_scheduler(fleet_policy policy, std::string availability_zone,
                                 std::uint64_t seed)
    : policy_(policy), availability_zone_(std::move(availability_zone)), random_(seed),
      search_(policy.search), crash_history_(policy.crashes) {}

fleet_scheduler::~fleet_scheduler() = default;

bool fleet_scheduler::is_open(std::uint64_t id) const {
  return jobs_.contains(id);
}

void fleet_scheduler::submit(fleet_job spec, monotonic_time now) {
  check_invariant(!jobs_.contains(spec.id), "entry: a job with this id is already open");
  if (first_submission_ == monotonic_time{}) {
    first_submission_ = now;
  }
  auto created = std::make_unique<job>();
  auto& open_job = *created;
  open_job.arrived = now;
  open_job.deadline = spec.ownership ? monotonic_time::max() : now + spec.answer_timeout;
  open_job.spec = std::move(spec);
  open_job.queue = queue_hash(open_job.spec.terms.queue);
  last_submissions_[open_job.spec.terms.service][open_job.spec.terms.queue] = now;
  open_job.critical_path = critical_path(open_job.spec.steps);
  for (const auto& step : open_job.spec.steps) {
    open_job.tasks.emplace_back(step.count);
    open_job.remaining_tasks.push_back(step.count);
    open_job.result.tasks += step.count;
  }
  const auto objective =
      std::chrono::round<milliseconds>(open_job.critical_path * open_job.spec.terms.stretch) +
      open_job.spec.terms.target;
  open_job.result.id = open_job.spec.id;
  open_job.result.objective = objective;
  open_job.objective = now + objective;
  open_job.late_limit = now + std::chrono::round<milliseconds>(objective * policy_.late_factor);
  jobs_.emplace(open_job.spec.id, std::move(created));
  if (open_job.is_durable()) {
    restore_progress(open_job);
    return;
  }
  for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
    require_worker(open_job, step, now);
  }
  if (lacks_worker(open_job, false, now)) {
    finish(open_job, job_verdict::not_run, job_cause::no_capable_worker, now);
    return;
  }
  if (backlog_ + awaiting_tasks_ + open_job.result.tasks > policy_.max_backlog) {
    finish(open_job, job_verdict::not_run, job_cause::backlog_full, now);
    return;
  }
  if (!all_workers_reachable(open_job)) {
    open_job.awaits_workers = true;
    awaiting_tasks_ += open_job.result.tasks;
    awaiting_jobs_.push_back(open_job.spec.id);
    return;
  }
  admit(open_job, now);
}

bool fleet_scheduler::has_suitable_worker(const job& open_job, std::uint32_t step,
                                          bool quarantined) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& candidate) {
    return candidate->connected && candidate->quarantined == quarantined &&
           is_suitable(*candidate, open_job, step);
  });
}

worker_requirement fleet_scheduler::requirement_of(const job& open_job, std::uint32_t step) {
  const auto& shape = open_job.spec.steps[step];
  return {open_job.spec.terms.service, shape.required_label, shape.needs};
}

void fleet_scheduler::require_worker(const job& open_job, std::uint32_t step, monotonic_time now) {
  if (!could_ever_run(open_job, step)) {
    search_.add(requirement_of(open_job, step), now);
  } else if (!search_.empty()) {
    search_.retain(requirement_of(open_job, step), now);
  }
}

bool fleet_scheduler::lacks_worker(const job& open_job, bool lastingly, monotonic_time now) const {
  if (service_may_appear(open_job.spec.terms.service, now)) {
    return false;
  }
  for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
    if (could_ever_run(open_job, step)) {
      continue;
    }
    const auto requirement = requirement_of(open_job, step);
    if (lastingly ? search_.is_lastingly_absent(requirement, now)
                  : search_.is_absent(requirement, now)) {
      return true;
    }
  }
  return false;
}

bool fleet_scheduler::all_workers_reachable(const job& open_job) const {
  for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
    if (!could_ever_run(open_job, step)) {
      return false;
    }
  }
  return true;
}

void fleet_scheduler::handle_awaiting_jobs(monotonic_time now) {
  for (const auto id : std::exchange(awaiting_jobs_, {})) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second->awaits_workers) {
      continue;
    }
    auto& open_job = *found->second;
    for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
      require_worker(open_job, step, now);
    }
    if (lacks_worker(open_job, false, now)) {
      finish(open_job, job_verdict::not_run, job_cause::no_capable_worker, now);
    } else if (all_workers_reachable(open_job)) {
      stop_awaiting(open_job);
      admit(open_job, now);
    } else {
      awaiting_jobs_.push_back(id);
    }
  }
}

void fleet_scheduler::stop_awaiting(job& open_job) {
  if (std::exchange(open_job.awaits_workers, false)) {
    awaiting_tasks_ -= open_job.result.tasks;
  }
}

void fleet_scheduler::admit(job& open_job, monotonic_time now) {
  // Place the jobs of the same turn of the event loop first, so that they do not count as backlog.
  place_backlog(now);
  const double wait = expected_wait().count();
  if (wait + ms(open_job.critical_path) >
          ms(std::min(open_job.late_limit, open_job.deadline) - now) &&
      wait > 0) {
    finish(open_job, job_verdict::not_run, job_cause::objective_out_of_reach, now);
    return;
  }
  if (is_confined(open_job.spec.terms) && !choose_worker(open_job, 0, {})) {
    finish(open_job, job_verdict::not_run, job_cause::queue_confined, now);
    return;
  }
  enable_ready_steps(open_job);
}

void fleet_scheduler::restore_progress(job& open_job) {
  const auto& ownership = *open_job.spec.ownership;
  bool failed = false;
  for (std::uint32_t step = 0; step < open_job.tasks.size(); ++step) {
    for (std::uint32_t index = 0; index < open_job.tasks[step].size(); ++index) {
      auto& restored = open_job.tasks[step][index];
      restored.attempts = ownership.prior_attempts;
      if (ownership.progress.empty()) {
        continue;
      }
      const auto& known = ownership.progress.at(step).at(index);
      restored.failures = static_cast<std::uint32_t>(known.failed_attempts.size());
      restored.crashes = static_cast<std::uint32_t>(known.crashed_attempts.size());
      restored.needs_isolation = restored.crashes > 0;
      open_job.has_suspects = open_job.has_suspects || restored.needs_isolation;
      open_job.any_run_ended = open_job.any_run_ended || known.ended_attempt > 0;
      if (known.done) {
        restored.current_state = task::state::done;
        --open_job.remaining_tasks[step];
      }
      failed = failed || (!known.done && restored.failures >= open_job.spec.terms.max_attempts);
    }
  }
  const auto now = open_job.arrived;
  if (failed) {
    finish(open_job, job_verdict::failed, job_cause::attempts_used_up, now);
  } else if (std::all_of(open_job.remaining_tasks.begin(), open_job.remaining_tasks.end(),
                         [](auto left) { return left == 0; })) {
    finish(open_job, job_verdict::completed, job_cause::none, now);
  } else {
    enable_ready_steps(open_job);
  }
}

void fleet_scheduler::suspend(std::uint64_t id) {
  auto& open_job = *jobs_.at(id);
  open_job.suspended = true;
  backlog_ -= open_job.ready;
  open_job.ready = 0;
  for (std::uint32_t step = 0; step < open_job.tasks.size(); ++step) {
    for (std::uint32_t index = 0; index < open_job.tasks[step].size(); ++index) {
      auto& placed_task = open_job.tasks[step][index];
      if (placed_task.current_state == task::state::placed && !placed_task.stop_requested) {
        placed_task.stop_requested = true;
        stops_.push_back({placed_task.worker, {{id, step, index}, placed_task.attempts}, true});
      }
    }
  }
}

bool fleet_scheduler::is_placed(std::uint64_t id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second->placed > 0;
}

bool fleet_scheduler::has_begun(std::uint64_t id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second->may_have_run();
}

std::vector<queue_count> fleet_scheduler::waiting_durable_jobs() const {
  std::map<std::string, std::uint32_t> counts;
  for (const auto& [id, open_job] : jobs_) {
    if (open_job->is_durable() && !open_job->may_have_run()) {
      ++counts[open_job->spec.terms.queue];
    }
  }
  std::vector<queue_count> all;
  all.reserve(counts.size());
  for (const auto& [queue, jobs] : counts) {
    all.push_back({queue, jobs});
  }
  return all;
}

void fleet_scheduler::enable_ready_steps(job& open_job) {
  if (open_job.suspended) {
    return;
  }
  for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
    const auto& dependencies = open_job.spec.steps[step].depends_on;
    if (!std::all_of(dependencies.begin(), dependencies.end(), [&](std::uint32_t earlier) {
          return open_job.remaining_tasks.at(earlier) == 0;
        })) {
      continue;
    }
    for (auto& blocked_task : open_job.tasks[step]) {
      if (blocked_task.current_state == task::state::blocked) {
        blocked_task.current_state = task::state::ready;
        ++open_job.ready;
        ++backlog_;
      }
    }
  }
}

void fleet_scheduler::cancel(std::uint64_t id, monotonic_time /*now*/) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  stop_awaiting(*found->second);
  stop_runs(*found->second);
  backlog_ -= found->second->ready;
  jobs_.erase(found);
}

void fleet_scheduler::end_open_jobs(job_cause cause, monotonic_time now) {
  std::vector<std::uint64_t> ended;
  for (const auto& [id, open_job] : jobs_) {
    if (!open_job->is_durable()) {
      ended.push_back(id);
    }
  }
  for (const auto id : ended) {
    auto& open_job = *jobs_.at(id);
    finish(open_job, open_job.may_have_run() ? job_verdict::unknown : job_verdict::not_run, cause,
           now);
  }
}

void fleet_scheduler::stop_runs(job& open_job) {
  for (std::uint32_t step = 0; step < open_job.tasks.size(); ++step) {
    for (std::uint32_t index = 0; index < open_job.tasks[step].size(); ++index) {
      auto& placed_task = open_job.tasks[step][index];
      if (placed_task.current_state == task::state::placed) {
        stops_.push_back(
            {placed_task.worker, {{open_job.spec.id, step, index}, placed_task.attempts}, false});
        unplace(open_job, step, index);
      }
    }
  }
}

void fleet_scheduler::finish(job& open_job, job_verdict verdict, job_cause cause,
                             monotonic_time now) {
  stop_awaiting(open_job);
  stop_runs(open_job);
  backlog_ -= open_job.ready;
  auto& result = open_job.result;
  result.verdict = verdict;
  result.cause = cause;
  result.elapsed = std::chrono::round<milliseconds>(now - open_job.arrived);
  if (verdict == job_verdict::not_run) {
    result.retry_after =
        std::max(cause == job_cause::queue_confined ? confined_retry_after : min_retry_after,
                 std::chrono::round<milliseconds>(expected_wait()));
  }
  results_.push_back(std::move(result));
  const auto id = open_job.spec.id; // `erase` destroys the job and with it a key that refers to it.
  jobs_.erase(id);
}

worker_index fleet_scheduler::worker_for(const std::string& agent,
                                         const std::string& availability_zone) {
  const auto [position, added] =
      worker_names_.try_emplace(agent, static_cast<worker_index>(workers_.size()));
  if (added) {
    workers_.push_back(std::make_unique<worker>());
    workers_.back()->agent = agent;
    workers_.back()->remote = availability_zone != availability_zone_;
  }
  return position->second;
}

void fleet_scheduler::worker_reported(worker_index index, const worker_status& status,
                                      monotonic_time /*now*/) {
  auto& known = workers_.at(index)->status;
  workers_changed_ = workers_changed_ || status.has_description ||
                     status.present != known.present || status.accepting != known.accepting;
  auto description = std::move(known.description);
  known = status;
  if (!status.has_description) {
    known.description = std::move(description);
  }
}

void fleet_scheduler::worker_crashed(const crash_report& report, monotonic_time now) {
  crash_history_.record(report, now);
  update_quarantine(now);
}

void fleet_scheduler::update_quarantine(monotonic_time now) {
  quarantine_updated_ = now;
  std::map<std::string, std::vector<worker*>> workers_of_service;
  for (const auto& each : workers_) {
    each->quarantined = false;
    if (each->connected) {
      workers_of_service[each->status.description.service].push_back(each.get());
    }
  }
  for (auto& [service, members] : workers_of_service) {
    const auto count = std::max<std::size_t>(
        1, std::lround(policy_.quarantine_share * static_cast<double>(members.size())));
    std::sort(members.begin(), members.end(), [](const worker* a, const worker* b) {
      return std::pair(queue_hash(a->agent), a->agent) < std::pair(queue_hash(b->agent), b->agent);
    });
    for (std::size_t i = 0; i < count; ++i) {
      members[i]->quarantined = true;
    }
  }
  crash_history_.update(now);
  confined_queues_.clear();
  if (!crash_history_.any_confined()) {
    return;
  }
  for (const auto& [service, queues] : last_submissions_) {
    std::set<std::string> confined;
    bool others_active = false;
    for (const auto& [queue, submitted] : queues) {
      if (crash_history_.is_confined(queue_hash(queue))) {
        confined.insert(queue);
      } else {
        others_active = others_active || now - submitted < policy_.queue_activity;
      }
    }
    if (others_active && workers_of_service[service].size() > 1 && !confined.empty()) {
      confined_queues_.emplace(service, std::move(confined));
    }
  }
}

bool fleet_scheduler::is_confined(const job_terms& terms) const {
  const auto found = confined_queues_.find(terms.service);
  return found != confined_queues_.end() && found->second.contains(terms.queue);
}

std::set<std::string> fleet_scheduler::confined_queues() const {
  std::set<std::string> all;
  for (const auto& [service, queues] : confined_queues_) {
    all.insert(queues.begin(), queues.end());
  }
  return all;
}

void fleet_scheduler::session_opened(worker_index index, bool same_agent, monotonic_time now) {
  auto& target = *workers_.at(index);
  target.connected = true;
  target.requested = false;
  target.status = {};
  if (!same_agent && !target.runs.empty()) {
    const auto release_at = target.release_at.value_or(now + policy_.lost_run_wait);
    target.restart_release_at =
        std::max(release_at, target.restart_release_at.value_or(release_at));
    target.restarted_at = now;
  }
  target.release_at.reset();
}

void fleet_scheduler::session_is_requested(worker_index index) {
  workers_.at(index)->requested = true;
}

void fleet_scheduler::session_lost(worker_index index, monotonic_time last_heard,
                                   monotonic_time now) {
  auto& target = *workers_.at(index);
  target.connected = false;
  target.release_at = last_heard + policy_.lost_run_wait;
  target.lost_before = now;
}

std::vector<run_id> fleet_scheduler::outstanding(worker_index index) const {
  const auto& target = *workers_.at(index);
  std::vector<run_id> all;
  for (const auto& [key, attempt] : target.runs) {
    const auto& placed_task = jobs_.at(key.job)->tasks[key.step][key.index];
    if (!target.restart_release_at || placed_task.placed > target.restarted_at) {
      all.push_back({key, attempt});
    }
  }
  return all;
}

void fleet_scheduler::process_stalled(monotonic_time since) {
  for (auto& [id, open_job] : jobs_) {
    open_job->stalled = open_job->stalled || (open_job->placed > 0 && open_job->arrived <= since);
  }
}

bool fleet_scheduler::has_worker() const {
  return std::any_of(workers_.begin(), workers_.end(),
                     [](const auto& candidate) { return is_usable(*candidate); });
}

std::size_t fleet_scheduler::waiting_jobs(const std::string& queue) const {
  return static_cast<std::size_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& open_job) {
        return open_job.second->spec.terms.queue == queue && !open_job.second->is_durable() &&
               !open_job.second->may_have_run();
      }));
}

std::string fleet_scheduler::describe_backlog(monotonic_time now) const {
  struct waiting_tasks {
    std::size_t tasks = 0;
    monotonic_time oldest = monotonic_time::max();
    std::string_view state;
  };
  std::map<std::tuple<std::string_view, std::string_view, std::uint32_t, std::uint32_t>,
           waiting_tasks>
      by_requirement;
  for (const auto& [id, open_job] : jobs_) {
    if (open_job->ready == 0) {
      continue;
    }
    for (std::uint32_t step = 0; step < open_job->tasks.size(); ++step) {
      const auto& tasks = open_job->tasks[step];
      const auto ready = std::count_if(tasks.begin(), tasks.end(), [](const task& each) {
        return each.current_state == task::state::ready;
      });
      if (ready == 0) {
        continue;
      }
      const auto& shape = open_job->spec.steps[step];
      auto& known = by_requirement[{open_job->spec.terms.service, shape.required_label,
                                    shape.needs.cpu_millis, shape.needs.gpus}];
      known.tasks += static_cast<std::size_t>(ready);
      known.oldest = std::min(known.oldest, open_job->arrived);
      known.state = could_ever_run(*open_job, step) ? "workers_busy"
                    : search_.is_lastingly_absent(requirement_of(*open_job, step), now)
                        ? "no_worker_at_site"
                        : "no_worker_in_reach";
    }
  }
  std::string text;
  std::size_t described = 0;
  for (const auto& [requirement, waiting] : by_requirement) {
    if (++described > max_described_requirements) {
      break;
    }
    const auto& [service, label, cpu_millis, gpus] = requirement;
    text += (text.empty() ? "" : " ") + std::string(service) + ":label=" + std::string(label) +
            ":cpu_millis=" + std::to_string(cpu_millis) + ":gpus=" + std::to_string(gpus) +
            ":tasks=" + std::to_string(waiting.tasks) + ":oldest_ms=" +
            std::to_string(std::chrono::round<milliseconds>(now - waiting.oldest).count()) + ":" +
            std::string(waiting.state);
  }
  return text;
}

std::string fleet_scheduler::describe_workers() const {
  std::string text;
  for (const auto& described : workers_) {
    const auto& status = described->status;
    text += (text.empty() ? "" : " ") + described->agent +
            (is_usable(*described) ? ":" : ":unusable:") +
            std::to_string(static_cast<std::int64_t>(free_cpu(*described))) + "/" +
            std::to_string(status.description.capacity.cpu_millis) +
            ":committed=" + std::to_string(status.committed.cpu_millis) +
            ":queued=" + std::to_string(status.queued_cpu_millis) +
            ":own=" + std::to_string(described->own_cpu_millis) +
            ":reported_own=" + std::to_string(status.own_cpu_millis) +
            ":runs=" + std::to_string(described->runs.size());
  }
  return text;
}

bool fleet_scheduler::service_may_appear(const std::string& service, monotonic_time now) const {
  return now - first_submission_ < policy_.first_report_wait &&
         std::none_of(workers_.begin(), workers_.end(), [&](const auto& candidate) {
           return candidate->connected && candidate->status.present &&
                  candidate->status.description.service == service;
         });
}

double fleet_scheduler::free_cpu(const worker& candidate) const {
  const auto& status = candidate.status;
  const double other_entries = static_cast<double>(status.committed.cpu_millis) +
                               status.queued_cpu_millis - status.own_cpu_millis;
  return static_cast<double>(status.description.capacity.cpu_millis) -
         std::max(0.0, other_entries) - candidate.own_cpu_millis;
}

double fleet_scheduler::run_time_ms(const worker& candidate, const job_step& step) const {
  const bool other_rack =
      !step.preferred_rack.empty() && step.preferred_rack != candidate.status.description.rack;
  const double success = 1.0 - std::min(candidate.status.failure_share, 0.9);
  return ms(step.estimate) * candidate.status.slowdown * (other_rack ? remote_rack_factor : 1.0) /
         success;
}

bool fleet_scheduler::is_suitable(const worker& candidate, const job& open_job,
                                  std::uint32_t step_number) {
  const auto& step = open_job.spec.steps[step_number];
  return meets(candidate.status.description, open_job.spec.terms.service, step.required_label,
               step.needs);
}

bool fleet_scheduler::can_run(const worker& candidate, const job& open_job, std::uint32_t step) {
  return candidate.status.present && candidate.status.accepting &&
         is_suitable(candidate, open_job, step);
}

bool fleet_scheduler::could_ever_run(const job& open_job, std::uint32_t step) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& candidate) {
    return candidate->connected && can_run(*candidate, open_job, step);
  });
}

std::optional<fleet_scheduler::placement> fleet_scheduler::choose_worker(const job& open_job,
                                                                         std::uint32_t step_number,
                                                                         const task& waiting) {
  if (waiting.is_to_be_isolated()) {
    return choose_isolated_worker(open_job, step_number, waiting);
  }
  const auto& step = open_job.spec.steps[step_number];
  const bool some_confined = confined_queues_.contains(open_job.spec.terms.service);
  const bool confined = some_confined && is_confined(open_job.spec.terms);
  // Accepted jobs and those of other queues may cross the quarantine if nobody else can run them.
  const bool may_cross = !confined || open_job.is_durable();
  const bool restricted =
      some_confined && (!may_cross || has_suitable_worker(open_job, step_number, confined));
  std::optional<placement> best;
  double best_score = std::numeric_limits<double>::max();
  std::uniform_real_distribution<double> jitter(0.0, score_jitter);
  for (worker_index index = 0; index < workers_.size(); ++index) {
    const auto& candidate = *workers_[index];
    if (!candidate.connected || !can_run(candidate, open_job, step_number) ||
        (restricted && candidate.quarantined != confined)) {
      continue;
    }
    const double capacity = candidate.status.description.capacity.cpu_millis;
    const double free = free_cpu(candidate);
    if (step.needs.cpu_millis > free) {
      continue;
    }
    if (step.max_per_worker > 0) {
      const auto tasks_on_worker = std::count_if(
          open_job.tasks[step_number].begin(), open_job.tasks[step_number].end(),
          [&](const task& other) {
            return other.current_state == task::state::placed && other.worker == index;
          });
      if (tasks_on_worker >= step.max_per_worker) {
        continue;
      }
    }
    const double run_ms = run_time_ms(candidate, step);
    const double load = 1.0 - free / capacity;
    double score = run_ms * (1.0 + load_weight * load + jitter(random_));
    score += candidate.remote ? policy_.remote_round_trip.count() : 0.0;
    const bool avoided = std::find(waiting.avoided_workers.begin(), waiting.avoided_workers.end(),
                                   index) != waiting.avoided_workers.end();
    if (avoided || candidate.status.failure_share > policy_.max_failure_share) {
      score += avoided_penalty_ms;
    }
    if (score < best_score) {
      best_score = score;
      best = placement{index, run_ms};
    }
  }
  return best;
}

std::optional<fleet_scheduler::placement>
fleet_scheduler::choose_isolated_worker(const job& open_job, std::uint32_t step,
                                        const task& waiting) const {
  // The other workers are kept from tasks of a confined queue, unless only they can run the task.
  const bool quarantined_only = waiting.returned_isolated_orders == 0 &&
                                is_confined(open_job.spec.terms) &&
                                has_suitable_worker(open_job, step, true);
  std::optional<placement> best;
  std::pair<bool, std::uint32_t> best_rank; // Quarantined workers first, then by load.
  for (worker_index index = 0; index < workers_.size(); ++index) {
    const auto& candidate = *workers_[index];
    if (!candidate.connected || !can_run(candidate, open_job, step) ||
        (quarantined_only && !candidate.quarantined) || candidate.isolated_runs > 0) {
      continue;
    }
    const std::pair rank{!candidate.quarantined, candidate.status.committed.cpu_millis +
                                                     candidate.status.queued_cpu_millis};
    if (!best || rank < best_rank) {
      best_rank = rank;
      best = placement{index, run_time_ms(candidate, open_job.spec.steps[step])};
    }
  }
  return best;
}

void fleet_scheduler::place(job& open_job, std::uint32_t step, std::uint32_t index,
                            placement target, monotonic_time now) {
  auto& placed_task = open_job.tasks[step][index];
  auto& chosen = *workers_[target.index];
  const task_key key{open_job.spec.id, step, index};
  placed_task.current_state = task::state::placed;
  placed_task.worker = target.index;
  placed_task.placed = now;
  placed_task.isolated = placed_task.is_to_be_isolated();
  placed_task.stop_requested = false;
  ++placed_task.attempts;
  if (!search_.empty()) {
    search_.retain(requirement_of(open_job, step), now);
  }
  --open_job.ready;
  ++open_job.placed;
  --backlog_;
  ++open_job.result.starts;
  if (placed_task.attempts == 1) { // Restored tasks waited with an earlier owner.
    open_job.result.longest_wait = std::max(
        open_job.result.longest_wait, std::chrono::round<milliseconds>(now - open_job.arrived));
  }
  chosen.own_cpu_millis += open_job.spec.steps[step].needs.cpu_millis;
  chosen.isolated_runs += placed_task.isolated ? 1 : 0;
  chosen.runs.emplace(key, placed_task.attempts);
  start_order order;
  order.run = {key, placed_task.attempts};
  order.payload = open_job.spec.payload;
  order.needs = open_job.spec.steps[step].needs;
  order.priority = open_job.spec.terms.priority;
  order.epoch = open_job.is_durable() ? open_job.spec.ownership->epoch : 0;
  order.estimate = open_job.spec.steps[step].estimate;
  order.due_in =
      std::chrono::round<milliseconds>(open_job.objective - now - double_ms(target.run_ms));
  order.max_wait = placed_task.isolated ? policy_.max_isolated_wait : policy_.max_wait;
  order.isolated = placed_task.isolated;
  order.queue = open_job.queue;
  starts_.push_back({target.index, std::move(order)});
}

void fleet_scheduler::unplace(job& open_job, std::uint32_t step, std::uint32_t index) {
  auto& placed_task = open_job.tasks[step][index];
  auto& target = *workers_[placed_task.worker];
  target.own_cpu_millis -= open_job.spec.steps[step].needs.cpu_millis;
  target.isolated_runs -= placed_task.isolated ? 1 : 0;
  target.runs.erase(task_key{open_job.spec.id, step, index});
  // Ensures that the task's resources are released only once.
  placed_task.current_state = task::state::blocked;
  --open_job.placed;
}

void fleet_scheduler::place_ready(job& open_job, placement_pass& pass, monotonic_time now) {
  const bool confined = is_confined(open_job.spec.terms);
  for (std::uint32_t step = 0; step < open_job.tasks.size() && open_job.ready > 0; ++step) {
    const auto& shape = open_job.spec.steps[step];
    auto& group = pass.groups[{open_job.spec.terms.service, shape.required_label, confined}];
    if (group.unplaced_jobs > max_unplaced_jobs && !open_job.has_suspects) {
      continue;
    }
    bool step_fits = true;
    for (std::uint32_t index = 0; index < open_job.tasks[step].size(); ++index) {
      auto& candidate = open_job.tasks[step][index];
      // Isolated tasks wait for workers that other jobs do not use.
      const bool isolated = candidate.is_to_be_isolated();
      if (candidate.current_state != task::state::ready || (!isolated && !step_fits) ||
          candidate.withheld_until > now || attempts_used_up(open_job.spec, candidate.attempts)) {
        continue;
      }
      const auto* misfit = isolated ? nullptr : group.find_misfit(shape.needs);
      const auto target =
          misfit == nullptr ? choose_worker(open_job, step, candidate) : std::nullopt;
      if (target) {
        place(open_job, step, index, *target, now);
        continue;
      }
      if (misfit == nullptr) {
        require_worker(open_job, step, now);
      }
      if (isolated) {
        continue;
      }
      const bool waits = misfit != nullptr ? misfit->waits_for_resources
                                           : !confined && could_ever_run(open_job, step);
      if (waits && misfit == nullptr) {
        search_.add_busy(requirement_of(open_job, step), now);
      }
      group.unplaced_jobs += waits ? 1 : 0;
      if (misfit == nullptr && shape.max_per_worker == 0) { // That limit is the job's own.
        group.misfits.push_back({shape.needs, waits});
      }
      step_fits = false;
      if (!open_job.has_suspects) {
        break;
      }
    }
  }
}

void fleet_scheduler::place_waiting(monotonic_time now) {
  if (!awaiting_jobs_.empty() &&
      (workers_changed_ || now - awaiting_checked_ >= awaiting_check_interval)) {
    workers_changed_ = false;
    awaiting_checked_ = now;
    handle_awaiting_jobs(now);
  }
  place_backlog(now);
}

void fleet_scheduler::place_backlog(monotonic_time now) {
  if (backlog_ == 0) {
    return;
  }
  std::vector<job*> ready;
  for (auto& [id, open_job] : jobs_) {
    if (open_job->ready > 0) {
      ready.push_back(open_job.get());
    }
  }
  // Jobs that can be on time first, then late ones; each by priority, then by objective.
  std::sort(ready.begin(), ready.end(), [now](const job* a, const job* b) {
    const bool a_late = a->objective < now + a->critical_path;
    const bool b_late = b->objective < now + b->critical_path;
    if (a_late != b_late) {
      return b_late;
    }
    if (a->spec.terms.priority != b->spec.terms.priority) {
      return a->spec.terms.priority < b->spec.terms.priority;
    }
    return a->objective < b->objective;
  });
  placement_pass pass;
  for (auto* open_job : ready) {
    place_ready(*open_job, pass, now);
  }
}

fleet_scheduler::task* fleet_scheduler::find_task(const run_id& run, worker_index placed_on) {
  const auto found = jobs_.find(run.task.job);
  if (found == jobs_.end() || run.task.step >= found->second->tasks.size() ||
      run.task.index >= found->second->tasks[run.task.step].size()) {
    return nullptr;
  }
  auto& candidate = found->second->tasks[run.task.step][run.task.index];
  const bool current = candidate.current_state == task::state::placed &&
                       candidate.worker == placed_on && candidate.attempts == run.attempt;
  return current ? &candidate : nullptr;
}

void fleet_scheduler::requeue(job& open_job, std::uint32_t step, std::uint32_t index,
                              monotonic_time now) {
  if (open_job.suspended) {
    return;
  }
  if (open_job.stalled && !open_job.is_durable()) {
    // The caller may have submitted the job elsewhere meanwhile: another run could overlap with it.
    finish(open_job, job_verdict::unknown, job_cause::process_stalled, now);
    return;
  }
  open_job.tasks[step][index].current_state = task::state::ready;
  ++open_job.ready;
  ++backlog_;
}

void fleet_scheduler::task_done(job& open_job, std::uint32_t step, monotonic_time now) {
  if (--open_job.remaining_tasks[step] > 0) {
    return;
  }
  if (std::all_of(open_job.remaining_tasks.begin(), open_job.remaining_tasks.end(),
                  [](auto left) { return left == 0; })) {
    finish(open_job, job_verdict::completed, job_cause::none, now);
    return;
  }
  enable_ready_steps(open_job);
}

bool fleet_scheduler::run_ended(worker_index index, const run_end& end, monotonic_time now) {
  auto* ended_task = find_task(end.run, index);
  if (ended_task == nullptr) {
    explain_loss(end, now);
    return false;
  }
  auto& open_job = *jobs_.at(end.run.task.job);
  const auto [id, step, number] = end.run.task;
  unplace(open_job, step, number);
  open_job.result.last_worker = workers_[index]->status.description.worker_id;
  open_job.any_run_ended = open_job.any_run_ended || end.outcome != run_outcome::not_started;
  switch (end.outcome) {
  case run_outcome::done:
    ended_task->current_state = task::state::done;
    task_done(open_job, step, now);
    return true;
  case run_outcome::failed:
    ++open_job.result.failed_runs;
    ended_task->avoided_workers.push_back(index);
    if (++ended_task->failures >= open_job.spec.terms.max_attempts) {
      finish(open_job, job_verdict::failed, job_cause::attempts_used_up, now);
      return true;
    }
    break;
  case run_outcome::not_started:
    // Other entries used the worker's free resources first; its next report accounts for them.
    // An order that is returned sooner was not kept waiting by long runs: its worker crashed, for
    // example.
    ended_task->returned_isolated_orders +=
        ended_task->isolated && end.waited >= policy_.max_isolated_wait ? 1 : 0;
    break;
  default:
    open_job.result.lost_runs += ended_task->stop_requested ? 0 : 1;
    if (end.outcome == run_outcome::lost) {
      given_up_runs_.push_back({end.run, workers_[index]->agent, end.cause, end.worker_crashed});
    }
    if (end.worker_crashed) {
      if (record_crash(open_job, *ended_task, end.suspect, ended_task->isolated)) {
        finish(open_job, job_verdict::failed, job_cause::crashes_workers, now);
        return true;
      }
    } else if (end.cause == loss_cause::connection_refused ||
               end.cause == loss_cause::worker_silent) {
      record_unexplained_loss(open_job, *ended_task, end, now);
    }
    if ((end.worker_crashed || end.cause == loss_cause::connection_refused) &&
        !open_job.is_durable() && is_confined(open_job.spec.terms)) {
      // Another run would be late and could cost another worker. The task may be sound, so that
      // the caller may submit the job again.
      finish(open_job, job_verdict::unknown, job_cause::queue_confined, now);
      return true;
    }
    if (open_job.is_durable() && end.outcome == run_outcome::lost) {
      // The worker may still report that the run was done.
      ended_task->current_state = task::state::lost;
      lost_runs_.push_back({end.run, end.worker_crashed});
      return true;
    }
    break;
  }
  requeue(open_job, step, number, now);
  return true;
}

std::uint32_t fleet_scheduler::max_crashes(const job& open_job) const {
  return open_job.is_durable() ? policy_.max_durable_crashes : policy_.max_crashes;
}

bool fleet_scheduler::record_crash(job& open_job, task& crashed, bool suspect, bool isolated) {
  ++open_job.result.crashed_runs;
  ++crashed.crashes;
  crashed.crashed_alone = crashed.crashed_alone || isolated;
  if ((isolated && crashed.crashes >= max_crashes(open_job)) ||
      crashed.crashes >= policy_.max_crashes_beside_others) {
    return true;
  }
  crashed.needs_isolation =
      crashed.needs_isolation || suspect || crashed.crashes >= isolating_crashes;
  open_job.has_suspects = open_job.has_suspects || crashed.needs_isolation;
  return false;
}

void fleet_scheduler::record_unexplained_loss(job& open_job, task& lost, const run_end& end,
                                              monotonic_time now) {
  const bool crash_suspected = end.cause == loss_cause::connection_refused;
  lost.unexplained_losses.push_back({end.run.attempt, lost.isolated, crash_suspected});
  if (!crash_suspected) {
    return;
  }
  // Isolation ends with the suspicion; that a task is given up is decided by crashes only.
  lost.needs_isolation =
      lost.needs_isolation || end.suspect || lost.possible_crashes() >= isolating_crashes;
  open_job.has_suspects = open_job.has_suspects || lost.needs_isolation;
  // Callers wait for the answers of best-effort jobs, so these wait only after isolated runs.
  const bool may_wait = lost.isolated || open_job.is_durable();
  if (may_wait && lost.possible_crashes() >= max_crashes(open_job)) {
    lost.withheld_until = now + policy_.loss_report_wait;
  }
}

void fleet_scheduler::extend_wait(task& lost, monotonic_time now) const {
  if (!lost.unexplained_losses.empty() && lost.withheld_until > now) {
    lost.withheld_until = now + policy_.loss_report_wait;
  }
}

void fleet_scheduler::explain_loss(const run_end& end, monotonic_time now) {
  const auto found = jobs_.find(end.run.task.job);
  if (end.outcome != run_outcome::lost || found == jobs_.end()) {
    return;
  }
  auto& open_job = *found->second;
  // The owner of a durable job counts its crashes and reports them with `crash_counted`.
  if (end.worker_crashed && open_job.is_durable()) {
    return;
  }
  const auto [id, step, index] = end.run.task;
  if (step >= open_job.tasks.size() || index >= open_job.tasks[step].size()) {
    return;
  }
  auto& lost = open_job.tasks[step][index];
  const auto loss = lost.take_unexplained_loss(end.run.attempt);
  if (!loss || lost.current_state == task::state::done) {
    return;
  }
  // Reports may come in any order: an isolated run that crashed its worker may be known already.
  const bool isolated = loss->isolated || lost.crashed_alone;
  if (end.worker_crashed && record_crash(open_job, lost, end.suspect, isolated)) {
    finish(open_job, job_verdict::failed, job_cause::crashes_workers, now);
    return;
  }
  // Sound tasks would wait for an idle worker.
  lost.needs_isolation = lost.needs_isolation && lost.possible_crashes() > 0;
  if (lost.possible_crashes() < max_crashes(open_job)) {
    lost.withheld_until = {};
  } else if (end.worker_crashed) {
    extend_wait(lost, now);
  }
}

void fleet_scheduler::restart_task(const run_id& lost, monotonic_time now) {
  const auto found = jobs_.find(lost.task.job);
  if (found == jobs_.end()) {
    return;
  }
  const auto& restarted = found->second->tasks.at(lost.task.step).at(lost.task.index);
  if (restarted.current_state == task::state::lost && restarted.attempts == lost.attempt) {
    requeue(*found->second, lost.task.step, lost.task.index, now);
  }
}

void fleet_scheduler::failure_counted(const run_id& failed) {
  const auto found = jobs_.find(failed.task.job);
  if (found != jobs_.end()) {
    ++found->second->tasks.at(failed.task.step).at(failed.task.index).failures;
    ++found->second->result.failed_runs;
  }
}

void fleet_scheduler::crash_counted(const run_id& crashed, monotonic_time now) {
  const auto found = jobs_.find(crashed.task.job);
  if (found == jobs_.end()) {
    return;
  }
  auto& open_job = *found->second;
  auto& crashed_task = open_job.tasks.at(crashed.task.step).at(crashed.task.index);
  if (crashed_task.current_state == task::state::done) {
    return;
  }
  const auto loss = crashed_task.take_unexplained_loss(crashed.attempt);
  const bool isolated = loss && (loss->isolated || crashed_task.crashed_alone);
  if (record_crash(open_job, crashed_task, true, isolated)) {
    finish(open_job, job_verdict::failed, job_cause::crashes_workers, now);
    return;
  }
  extend_wait(crashed_task, now);
}

void fleet_scheduler::run_is_slow(worker_index index, const slow_run& slow, monotonic_time now) {
  auto* slow_task = find_task(slow.run, index);
  if (slow_task == nullptr || slow_task->stop_requested || slow_task->moves >= max_moves ||
      slow_task->needs_isolation) {
    return;
  }
  auto& open_job = *jobs_.at(slow.run.task.job);
  if (open_job.deadline <= now) {
    return;
  }
  const auto& step = open_job.spec.steps[slow.run.task.step];
  slow_task->avoided_workers.push_back(index);
  const auto alternative = choose_worker(open_job, slow.run.task.step, *slow_task);
  slow_task->avoided_workers.pop_back();
  if (!alternative || alternative->index == index) {
    return;
  }
  const double elapsed = ms(slow.ran);
  const double done = slow.percent / 100.0;
  const double remaining = done > 0 ? elapsed * (1 - done) / done : ms(stalled_remaining);
  const double current_slowdown = std::max(0.1, workers_[index]->status.slowdown);
  const double other_slowdown = workers_[alternative->index]->status.slowdown;
  const double restarted = done > min_extrapolated_progress
                               ? std::min(elapsed / done * other_slowdown / current_slowdown,
                                          max_estimate_error * ms(step.estimate) * other_slowdown)
                               : alternative->run_ms;
  const double gain = remaining - restarted;
  if (gain < ms(policy_.min_move_gain) || gain < restarted) {
    return;
  }
  slow_task->stop_requested = true;
  ++slow_task->moves;
  ++open_job.result.moved_runs;
  slow_task->avoided_workers.push_back(index);
  stops_.push_back({index, slow.run, true});
}

void fleet_scheduler::tick(monotonic_time now) {
  if (now - quarantine_updated_ >= quarantine_update_interval) {
    update_quarantine(now);
  }
  const bool has_own_worker = std::any_of(workers_.begin(), workers_.end(), [](const auto& each) {
    return !each->requested && is_usable(*each);
  });
  if (has_own_worker || last_own_worker_ == monotonic_time{}) {
    last_own_worker_ = now;
  } else if (now - last_own_worker_ >= policy_.own_session_wait) {
    // The entry keeps some sessions that it requests, so that it stays ready.
    search_.add({}, now);
  }
  release_lost_runs(now);
  expire_jobs(now);
  place_waiting(now);
}

std::vector<worker_search::due_request> fleet_scheduler::search_workers(site_access access,
                                                                        monotonic_time now) {
  return search_.update(
      access,
      [this](const worker_requirement& requirement) {
        return std::any_of(workers_.begin(), workers_.end(), [&](const auto& each) {
          return is_usable(*each) && meets(each->status.description, requirement);
        });
      },
      now);
}

bool fleet_scheduler::is_idle(const worker& candidate, const resource_needs& needs) const {
  const auto& status = candidate.status;
  return free_cpu(candidate) >= min_idle_share * status.description.capacity.cpu_millis &&
         fits(needs, status.committed, status.description.capacity);
}

std::optional<worker_index> fleet_scheduler::find_worker(const worker_request& request) const {
  std::optional<worker_index> chosen;
  std::uint32_t lowest = 0;
  const auto seed = request.entry.name + "/" + std::to_string(request.attempt) + "@";
  for (worker_index index = 0; index < workers_.size(); ++index) {
    const auto& candidate = *workers_[index];
    if (!is_usable(candidate) || !meets(candidate.status.description, request.requirement)) {
      continue;
    }
    const auto& busy = request.busy_agents;
    if (request.idle &&
        (!is_idle(candidate, request.requirement.needs) ||
         std::find(busy.begin(), busy.end(), queue_hash(candidate.agent)) != busy.end())) {
      continue;
    }
    const auto rank = queue_hash(seed + candidate.agent);
    if (!chosen || rank < lowest) {
      chosen = index;
      lowest = rank;
    }
  }
  return chosen;
}

std::vector<std::uint32_t>
fleet_scheduler::agents_for(const worker_requirement& requirement) const {
  std::vector<std::uint32_t> agents;
  for (const auto& each : workers_) {
    if (is_usable(*each) && meets(each->status.description, requirement)) {
      agents.push_back(queue_hash(each->agent));
    }
  }
  return agents;
}

bool fleet_scheduler::is_needed(worker_index index) const {
  return search_.is_needed(workers_.at(index)->status.description);
}

bool fleet_scheduler::is_usable(const worker& candidate) {
  return candidate.connected && candidate.status.present && candidate.status.accepting;
}

void fleet_scheduler::release_lost_runs(monotonic_time now) {
  for (worker_index index = 0; index < workers_.size(); ++index) {
    auto& target = *workers_[index];
    if (target.restart_release_at && *target.restart_release_at <= now) {
      target.restart_release_at.reset();
      lose_runs(index, target.restarted_at, now);
    }
    if (target.release_at && *target.release_at <= now) {
      target.release_at.reset();
      lose_runs(index, target.lost_before, now);
    }
  }
}

void fleet_scheduler::lose_runs(worker_index index, monotonic_time placed_up_to,
                                monotonic_time now) {
  const auto runs = workers_[index]->runs; // Each end changes the worker's runs.
  for (const auto& [key, attempt] : runs) {
    const run_id run{key, attempt};
    const auto* lost = find_task(run, index);
    if (lost != nullptr && lost->placed <= placed_up_to) {
      run_end end{run, run_outcome::lost, {}, {}};
      end.cause = loss_cause::agent_lost;
      run_ended(index, end, now);
    }
  }
}

void fleet_scheduler::expire_jobs(monotonic_time now) {
  std::vector<std::uint64_t> expired;
  std::vector<std::uint64_t> unreachable;
  std::vector<std::uint64_t> incapable;
  const bool check_absence =
      search_.any_reported_absent() && now - absence_checked_ >= absence_check_interval;
  absence_checked_ = check_absence ? now : absence_checked_;
  for (const auto& [id, open_job] : jobs_) {
    if (open_job->is_durable()) {
      continue;
    }
    if (open_job->deadline <= now) {
      expired.push_back(id);
    } else if (!open_job->may_have_run() && open_job->late_limit < now + open_job->critical_path) {
      unreachable.push_back(id);
    } else if (check_absence && !open_job->may_have_run() && lacks_worker(*open_job, true, now)) {
      incapable.push_back(id);
    }
  }
  for (const auto id : incapable) {
    finish(*jobs_.at(id), job_verdict::not_run, job_cause::no_capable_worker, now);
  }
  for (const auto id : expired) {
    auto& open_job = *jobs_.at(id);
    finish(open_job, open_job.may_have_run() ? job_verdict::unknown : job_verdict::not_run,
           job_cause::deadline_passed, now);
  }
  for (const auto id : unreachable) {
    finish(*jobs_.at(id), job_verdict::not_run, job_cause::objective_out_of_reach, now);
  }
}

double_ms fleet_scheduler::expected_wait() const {
  if (backlog_ == 0) {
    return double_ms{0};
  }
  double waiting = 0; // processor-milliseconds
  for (const auto& [id, each] : jobs_) {
    if (each->ready == 0 || is_confined(each->spec.terms)) {
      continue;
    }
    for (std::uint32_t step = 0; step < each->tasks.size(); ++step) {
      const auto& shape = each->spec.steps[step];
      waiting += static_cast<double>(
                     std::count_if(each->tasks[step].begin(), each->tasks[step].end(),
                                   [](const task& candidate) {
                                     return candidate.current_state == task::state::ready &&
                                            !candidate.is_to_be_isolated();
                                   })) *
                 shape.needs.cpu_millis * ms(shape.estimate);
    }
  }
  // The backlog drains at the rate at which the CPUs of this entry's running tasks do work.
  double draining = 0;
  for (const auto& each : workers_) {
    draining += each->own_cpu_millis / std::max(0.1, each->status.slowdown);
  }
  return double_ms{draining > 0 ? waiting / draining : 0};
}

} // namespace parsleylead

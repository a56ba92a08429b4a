#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/crash_history.hpp"
#include "parsleylead/fleet/fleet_frame.hpp"
#include "parsleylead/fleet/fleet_job.hpp"
#include "parsleylead/fleet/placement_explanation.hpp"
#include "parsleylead/fleet/reach_monitor.hpp"
#include "parsleylead/fleet/run_types.hpp"
#include "parsleylead/fleet/worker_search.hpp"
#include "parsleylead/overload/job_demand.hpp"
#include "parsleylead/overload/reach_growth.hpp"

namespace parsleylead {

/// Index of a worker at one entry; does not change for the lifetime of the process.
using worker_index = std::uint32_t;

/// Settings of task placement.
struct fleet_policy {
  /// Time since the last frame of a lost agent after which its runs have certainly ended, even if
  /// it still heard this entry until the entry closed the silent link (`link_timing::max_silence`)
  /// and then ended itself: the worker's lease of 1 s from that moment, 2 % of clock error and the
  /// time needed to stop a run.
  std::chrono::milliseconds lost_run_wait{1'600};
  /// A result is late, but still useful, up to this many times the job's objective.
  double late_factor = 3.0;
  /// Network round-trip time to a worker in another availability zone.
  std::chrono::duration<double, std::milli> remote_round_trip{3.0};
  /// Time after which an agent returns an order that does not fit on its worker. Orders of other
  /// entries may be missing from the worker's status reports for about this long.
  std::chrono::milliseconds max_wait{20};
  /// A worker with a higher share of failed runs gets a task only if no other worker fits.
  double max_failure_share = 0.5;
  /// A cold worker gets tasks only if no other one has free resources, and only up to this share of
  /// its CPU. An idle one also gets a task that needs more, if no warm worker can ever run it.
  double cold_capacity_share = 0.25;
  /// A slow run is moved only if that is expected to save at least this much time.
  std::chrono::milliseconds min_move_gain{250};
  /// For this long after the first submission, jobs wait for workers of their service to report:
  /// agents need a second or two after a loss of all hosts.
  std::chrono::milliseconds first_report_wait{5'000};
  /// Number of entries that share a worker: an agent opens this many sessions. What an entry can
  /// expect of the CPU in reach follows from it.
  std::uint32_t entries_per_worker = 6;
  /// Maximum number of waiting tasks at one entry.
  std::size_t max_backlog = 20'000;
  /// Number of workers that may crash under a task before its job fails, if the last one ran
  /// nothing else, so that the task is the cause.
  std::uint32_t max_crashes = 2;
  /// The same for durable jobs, whose callers rely on their completion.
  std::uint32_t max_durable_crashes = 3;
  /// The same, whatever ran beside the task.
  std::uint32_t max_crashes_beside_others = 5;
  /// A task whose runs were lost at workers that refused connections waits for this long for a
  /// report whether these have crashed, if that many crashes would fail its job; again after each
  /// report of a crash. With the time until a run counts as lost, below 3 s: without a crash, a
  /// stored job may not be idle for longer.
  std::chrono::milliseconds loss_report_wait{2'200};
  /// Share of a service's workers, at least one, that run the tasks which may crash workers.
  double quarantine_share = 0.2;
  /// Time after which an agent returns an isolated order that its worker could not start.
  std::chrono::milliseconds max_isolated_wait{1'000};
  /// Queues count as active for this long after a submission. A queue is confined only if there
  /// are active queues to protect.
  std::chrono::milliseconds queue_activity{5'000};
  /// Agents need a second or two to open their own sessions after a start of the entry. Without any
  /// for this long, the entry requests some.
  std::chrono::milliseconds own_session_wait{1'000};
  crash_policy crashes;
  worker_search_settings search;
  reach_settings reach;
};

/// A start order and the worker it is placed on.
struct placed_start {
  worker_index worker = 0;
  start_order order;
};

/// A stop order and the worker it is for.
struct placed_stop {
  worker_index worker = 0;
  run_id run;
  /// The agent has to report the end of the run, because the task will be placed again.
  bool report_end = false;
};

/// A run that was lost.
struct lost_run {
  run_id run;
  /// Its worker crashed.
  bool worker_crashed = false;
};

/// A run that the entry no longer waits for, with the agent it was placed at.
struct given_up_run {
  run_id run;
  std::string agent;
  loss_cause cause = loss_cause::none;
  bool worker_crashed = false;
};

/// Schedules the jobs of one entry: places their tasks on the workers that agents report, retries
/// tasks where that is allowed, and determines the results. Does no I/O: the current time is passed
/// in; orders and results are collected with the `take_` functions. Not thread-safe.
///
/// A task whose run may have crashed its worker runs again with nothing beside it, on a quarantined
/// worker if there is one, so that a further crash shows whether it is the cause. While the tasks
/// of a queue crash workers again and again, the queue is confined to the quarantined workers, and
/// the other queues of the service use the others. All entries choose the same quarantined workers,
/// by a hash of the agents' names.
///
/// Jobs that no worker with a session can run wait for one that the caller finds with
/// `search_workers`. Best-effort jobs are refused once the site is known to have none.
///
/// Two runs of a task never overlap: a task is placed again only after the agent has reported the
/// end of its run, or after `lost_run_wait` without a frame of the agent.
class fleet_scheduler {
public:
  explicit fleet_scheduler(fleet_policy policy, std::string availability_zone, std::uint64_t seed);
  ~fleet_scheduler();
  fleet_scheduler(const fleet_scheduler&) = delete;
  fleet_scheduler& operator=(const fleet_scheduler&) = delete;

  /// Adds a job. Its result is returned by `take_results`, immediately if the job is refused.
  /// Precondition: no job with this id is open.
  void submit(fleet_job job, monotonic_time now);
  bool is_open(std::uint64_t id) const;
  /// Stops the job's runs, with their ends reported, and places no further tasks of it.
  /// Precondition: the job is open.
  void suspend(std::uint64_t id);
  /// Returns whether the job is open and one of its tasks is placed on a worker.
  bool is_placed(std::uint64_t id) const;
  /// Returns whether the job is open and one of its tasks has or may have been started.
  bool has_begun(std::uint64_t id) const;
  /// Stops the job's runs and removes the job without a result.
  void cancel(std::uint64_t id, monotonic_time now);
  /// Ends all jobs that are not durable: as not run, or with an unknown result if a task was
  /// placed.
  void end_open_jobs(job_cause cause, monotonic_time now);

  /// Returns the index of the agent's worker; always the same for the same agent name.
  worker_index worker_for(const std::string& agent, const std::string& availability_zone);
  void worker_reported(worker_index worker, const worker_status& status, monotonic_time now);
  /// From now on no task is placed on workers of these availability zones. Runs there go on.
  void set_evacuated_zones(std::set<std::string> zones);
  /// While held, no task is placed; jobs wait. Runs go on.
  void hold_placement(bool held) { placement_held_ = held; }
  /// A session to the agent was opened. `same_agent`: by the agent process of the session before.
  void session_opened(worker_index worker, bool same_agent, monotonic_time now);
  /// The open session was requested with `search_workers`: its agent closes it once it is no longer
  /// needed.
  void session_is_requested(worker_index worker);
  void session_lost(worker_index worker, monotonic_time last_heard, monotonic_time now);
  /// Handles the end of a run, or a later report whether its worker had crashed. Returns whether it
  /// was the current run of its task.
  bool run_ended(worker_index worker, const run_end& end, monotonic_time now);
  void run_is_slow(worker_index worker, const slow_run& run, monotonic_time now);
  /// This process made no progress since `since`, for longer than the leases of its sessions. Jobs
  /// that arrived later are not affected.
  void process_stalled(monotonic_time since);
  /// A worker crashed. The reports of all workers decide which queues are confined.
  void worker_crashed(const crash_report& report, monotonic_time now);
  /// Allows a task of a durable job to start again after the loss of its run, which
  /// `take_lost_runs` returned, has been stored. Does nothing if the run is not the task's latest.
  void restart_task(const run_id& lost, monotonic_time now);
  /// Adds a failed run that was not the task's current one, and does not use up its attempts. Does
  /// nothing if the job is not open.
  void failure_counted(const run_id& failed);
  /// Adds a crash under a run that was not the task's current one. Does nothing if the job is not
  /// open.
  void crash_counted(const run_id& crashed, monotonic_time now);
  /// Returns the runs that the worker's present agent process was sent, for resuming its session.
  std::vector<run_id> outstanding(worker_index worker) const;

  /// Places waiting tasks on workers with enough free resources.
  void place_waiting(monotonic_time now);
  /// Handles timeouts. Has to be called every few tens of milliseconds.
  void tick(monotonic_time now);

  /// Returns the requests for workers to send to other entries now. Has to be called after each
  /// `tick` and `place_waiting`.
  std::vector<worker_search::due_request> search_workers(site_access access, monotonic_time now);
  /// The event loop of this process was late: see `reach_monitor`.
  void loop_delayed(std::chrono::milliseconds delay, monotonic_time now) {
    reach_.loop_delayed(delay, now);
  }
  /// Returns the CPU of the usable workers in reach that meet the requirement.
  cpu_in_reach measure_reach(const worker_requirement& requirement) const;
  /// Number of usable workers.
  std::size_t usable_workers() const;
  /// Changes of the searches since the last call, for the log.
  std::vector<worker_search::event> take_search_events() { return search_.take_events(); }
  /// Returns a usable worker for a request of another entry. The request's sender and attempt
  /// decide if there are several.
  std::optional<worker_index> find_worker(const worker_request& request) const;
  /// Returns `queue_hash` of the agents of the usable workers that meet the requirement.
  std::vector<std::uint32_t> agents_for(const worker_requirement& requirement) const;
  /// Returns whether a session with the worker that was requested is to be kept.
  bool is_needed(worker_index worker) const;

  /// Returns the worker's incarnation that starts are placed for; 0 if it is not known.
  std::int64_t incarnation_of(worker_index index) const;
  std::vector<placed_start> take_starts() { return std::exchange(starts_, {}); }
  std::vector<placed_stop> take_stops() { return std::exchange(stops_, {}); }
  /// Runs of durable jobs that were lost. Their tasks wait for `restart_task`.
  std::vector<lost_run> take_lost_runs() { return std::exchange(lost_runs_, {}); }
  /// Lost runs of all jobs since the last call, for the log.
  std::vector<given_up_run> take_given_up_runs() { return std::exchange(given_up_runs_, {}); }
  std::vector<job_result> take_results() { return std::exchange(results_, {}); }

  std::size_t open_jobs() const { return jobs_.size(); }
  /// Number of jobs of the queue without a started task, not counting durable jobs.
  std::size_t waiting_jobs(const std::string& queue) const;
  std::size_t backlog() const { return backlog_; }
  /// Names of the queues that are confined to quarantined workers.
  std::set<std::string> confined_queues() const;
  /// Describes the requirements of the waiting tasks in one line, for the log: how many tasks wait
  /// for how long, and whether for a worker in reach, for any of the site, or for a busy one.
  std::string describe_backlog(monotonic_time now) const;
  /// Describes this entry's view of each worker in one line, for the log.
  std::string describe_workers() const;
  bool has_worker() const;
  /// Describes what `submit` would do with the job now, and where its tasks would go. Changes
  /// nothing. Precondition: the job is not durable and has at least one step.
  placement_explanation explain(const fleet_job& job, monotonic_time now) const;

private:
  struct worker;
  struct task;
  struct job;
  struct placement_pass;
  struct backlog_view;

  /// A worker for a task, with the task's expected run time there.
  struct placement {
    worker_index index = 0;
    double run_ms = 0;
  };

  /// Returns the job with its objective and deadline. Does not add it.
  std::unique_ptr<job> make_job(fleet_job spec, monotonic_time now) const;
  /// Returns why the job would be refused now, if it would.
  std::optional<job_cause> refusal_of(const job& submitted, monotonic_time now) const;
  task* find_task(const run_id& run, worker_index placed_on);
  /// Returns whether the worker is in reach and takes tasks.
  static bool is_usable(const worker& candidate);
  bool is_idle(const worker& candidate, const resource_needs& needs) const;
  /// Returns whether the worker's description meets the needs of the step.
  static bool is_suitable(const worker& candidate, const job& open_job, std::uint32_t step);
  static bool can_run(const worker& candidate, const job& open_job, std::uint32_t step);
  bool could_ever_run(const job& open_job, std::uint32_t step) const;
  /// Returns whether the cold worker may get a task of this step; see `cold_capacity_share`.
  bool cold_worker_takes(const worker& candidate, const job& open_job, std::uint32_t step) const;
  /// Returns why no worker in reach can run the job.
  job_cause cause_of_absence(const job& open_job) const;
  /// Returns whether a quarantined worker, or one that is not, meets the needs of the step. It may
  /// be down: its tasks wait for it, so that a queue that crashes its workers gets no others.
  /// Workers of evacuated zones do not count, as their absence may last for hours.
  bool has_suitable_worker(const job& open_job, std::uint32_t step, bool quarantined) const;
  /// Returns the time left until the job would be late if none of its tasks had run yet. Nobody
  /// waits for a durable job.
  static std::chrono::milliseconds slack_of(const job& open_job, monotonic_time now);
  static worker_requirement requirement_of(const job& open_job, std::uint32_t step);
  /// Searches for a worker for the step if none is reachable.
  void require_worker(const job& open_job, std::uint32_t step, monotonic_time now);
  /// Returns whether a worker has restarted that may turn out to fit once it announces itself.
  bool awaits_description() const;
  /// Returns whether the site is known to have no worker for a step of the job. `lastingly`: and
  /// none has been reachable for some time.
  bool lacks_worker(const job& open_job, bool lastingly, monotonic_time now) const;
  bool all_workers_reachable(const job& open_job) const;
  /// Continues with jobs for which workers have been found, and refuses those for which the site
  /// has none.
  void handle_awaiting_jobs(monotonic_time now);
  void stop_awaiting(job& open_job);
  /// Accepts a best-effort job for which there are workers, or refuses it or others that wait.
  void admit(job& open_job, monotonic_time now);
  /// Refuses the job or others that wait if there is too little capacity for all. Returns whether
  /// the job remains.
  bool shed_load(job& open_job, monotonic_time now);
  /// Returns whether all tasks that the job starts with fit on workers now.
  bool fits_now(const job& open_job) const;
  backlog_view view_backlog(const std::string& service, monotonic_time now) const;
  void observe_reach(monotonic_time now);
  /// Adds what explains the refusal of a job, and when to submit it again, to its result.
  void explain_refusal(job& open_job, job_cause cause, monotonic_time now);
  void place_backlog(monotonic_time now);
  /// Returns whether the queue's tasks may use quarantined workers only.
  bool is_confined(const job_terms& terms) const;
  void update_quarantine(monotonic_time now);
  /// Adds a crash under a run that was `isolated`. Returns whether the job has to fail.
  bool record_crash(job& open_job, task& crashed, bool suspect, bool isolated);
  /// Adds a run that was lost at a worker which did not answer and may have crashed.
  void record_unexplained_loss(job& open_job, task& lost, const run_end& end, monotonic_time now);
  /// Handles the later report on a run that was lost at such a worker.
  void explain_loss(const run_end& end, monotonic_time now);
  /// A worker crashed under the task: waits longer for the reports on its other lost runs.
  void extend_wait(task& lost, monotonic_time now) const;
  std::uint32_t max_crashes(const job& open_job) const;
  bool service_may_appear(const std::string& service, monotonic_time now) const;
  double free_cpu(const worker& candidate) const;
  double run_time_ms(const worker& candidate, const job_step& step) const;
  std::optional<placement> choose_worker(const job& open_job, std::uint32_t step,
                                         const task& waiting);
  /// Whether the step's tasks may use only quarantined workers, or only others; empty for all.
  std::optional<bool> allowed_quarantine(const job& open_job, std::uint32_t step) const;
  worker_exclusion exclusion_of(worker_index index, const job& open_job, std::uint32_t step,
                                std::optional<bool> quarantined) const;
  worker_assessment assess(worker_index index, const job& open_job, std::uint32_t step,
                           const task& waiting, std::optional<bool> quarantined) const;
  std::optional<placement> choose_isolated_worker(const job& open_job, std::uint32_t step,
                                                  const task& waiting) const;
  void place_ready(job& open_job, placement_pass& pass, monotonic_time now);
  void place(job& open_job, std::uint32_t step, std::uint32_t index, placement target,
             monotonic_time now);
  void unplace(job& open_job, std::uint32_t step, std::uint32_t index);
  void requeue(job& open_job, std::uint32_t step, std::uint32_t index, monotonic_time now);
  void task_done(job& open_job, std::uint32_t step, monotonic_time now);
  void restore_progress(job& open_job);
  void enable_ready_steps(job& open_job);
  void stop_runs(job& open_job);
  void finish(job& open_job, job_verdict verdict, job_cause cause, monotonic_time now);
  void release_lost_runs(monotonic_time now);
  /// Ends the runs on the worker that were placed up to a time as lost.
  void lose_runs(worker_index index, monotonic_time placed_up_to, monotonic_time now);
  void expire_jobs(monotonic_time now);

  fleet_policy policy_;
  std::string availability_zone_;
  std::set<std::string> evacuated_zones_;
  bool placement_held_ = false;
  std::mt19937_64 random_;
  std::map<std::string, worker_index> worker_names_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::unordered_map<std::uint64_t, std::unique_ptr<job>> jobs_;
  std::vector<placed_start> starts_;
  std::vector<placed_stop> stops_;
  std::vector<lost_run> lost_runs_;
  std::vector<given_up_run> given_up_runs_;
  std::vector<job_result> results_;
  std::size_t backlog_ = 0;
  worker_search search_;
  reach_monitor reach_;
  /// Best-effort jobs that wait for workers to be found, in the order of submission.
  std::vector<std::uint64_t> awaiting_jobs_;
  /// Number of tasks of these jobs.
  std::size_t awaiting_tasks_ = 0;
  /// The awaiting jobs have to be checked: a worker has become usable or has changed.
  bool workers_changed_ = false;
  monotonic_time awaiting_checked_{};
  monotonic_time absence_checked_{};
  /// When a worker whose agent chose this entry was last usable.
  monotonic_time last_own_worker_{};
  monotonic_time first_submission_{};
  reach_growth reach_growth_;
  /// Used for the refusals of one turn of the event loop.
  std::unique_ptr<backlog_view> refusal_view_;
  crash_history crash_history_;
  /// Names of the confined queues, by service.
  std::map<std::string, std::set<std::string>> confined_queues_;
  /// When jobs of a queue were last submitted, by service and queue.
  std::map<std::string, std::map<std::string, monotonic_time>> last_submissions_;
  monotonic_time quarantine_updated_{};
};

} // namespace parsleylead

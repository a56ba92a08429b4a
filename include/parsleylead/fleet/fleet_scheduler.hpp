#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/fleet_frame.hpp"
#include "parsleylead/fleet/fleet_job.hpp"
#include "parsleylead/fleet/run_types.hpp"

namespace parsleylead {

/// Index of a worker at one entry, stable while the process lives.
using worker_index = std::uint32_t;

/// Settings of the placement of tasks. Times in milliseconds unless the type says otherwise.
struct fleet_policy {
  /// A lost agent's runs have certainly ended after this time: the worker's lease of 1 s, 2 % of
  /// clock error and the time of a stop, counted from the last frame of the agent.
  std::chrono::milliseconds lost_run_wait{1'250};
  /// A job ends late, but still of use, within this many times its objective.
  double late_factor = 3.0;
  /// A round trip to a worker in another availability zone.
  std::chrono::duration<double, std::milli> remote_round_trip{3.0};
  /// An agent returns an order that it had no room for after this time: reports of other entries'
  /// orders may be that old.
  std::chrono::milliseconds max_wait{20};
  /// Workers whose latest runs failed more often get a task only if no other worker is left.
  double max_failure_share = 0.5;
  /// A slow run is moved if it saves at least this time.
  std::chrono::milliseconds min_move_gain{250};
  /// After the start of this process, jobs wait for the first workers of their service to report:
  /// agents need a second or two after a loss of all hosts. Later such jobs are refused at once.
  std::chrono::milliseconds first_report_wait{5'000};
  /// Waiting tasks of one entry at most.
  std::size_t max_backlog = 20'000;
};

/// A start for one worker's agent.
struct placed_start {
  worker_index worker = 0;
  start_order order;
};

/// A stop for one worker's agent.
struct placed_stop {
  worker_index worker = 0;
  run_id run;
  /// The task will be placed again: the agent has to report the end of the run.
  bool report_end = false;
};

/// The jobs of one entry: places their tasks on the workers that its agents report, runs them again
/// where that is allowed, and says what to answer. Pure: time is passed in, orders and results are
/// taken out. Not thread-safe.
///
/// A task never runs twice at a time: it is placed again only after its run has ended by the
/// agent's report, or after `lost_run_wait` without a sign of the agent.
class fleet_scheduler {
public:
  explicit fleet_scheduler(fleet_policy policy, std::string availability_zone, std::uint64_t seed);
  ~fleet_scheduler();
  fleet_scheduler(const fleet_scheduler&) = delete;
  fleet_scheduler& operator=(const fleet_scheduler&) = delete;

  /// Takes the job over; its result follows from `take_results`, at once if it cannot be run.
  /// Precondition: no job with this id is open.
  void submit(fleet_job job, monotonic_time now);
  bool is_open(std::uint64_t id) const;
  /// Stops the job's runs, whose ends are reported, and places nothing of it any more.
  /// Precondition: the job is open.
  void suspend(std::uint64_t id);
  /// Whether a task of the open job is placed on a worker.
  bool is_placed(std::uint64_t id) const;
  /// Whether a task of the open job has been placed or may have been before.
  bool has_begun(std::uint64_t id) const;
  /// The caller has left: stops the job's runs and forgets it.
  void cancel(std::uint64_t id, monotonic_time now);

  /// The worker beside an agent; the same index for the same agent name.
  worker_index worker_for(const std::string& agent, const std::string& availability_zone);
  void worker_reported(worker_index worker, const worker_status& status, monotonic_time now);
  /// A session to the agent is open, with the same agent process as before or a new one.
  void session_opened(worker_index worker, bool same_agent, monotonic_time now);
  void session_lost(worker_index worker, monotonic_time last_heard, monotonic_time now);
  /// Returns whether the end was that of a task's current run.
  bool run_ended(worker_index worker, const run_end& end, monotonic_time now);
  void run_is_slow(worker_index worker, const slow_run& run, monotonic_time now);
  /// This process stood still from `since` on for longer than its sessions' leases. Jobs that
  /// arrived later are not affected.
  void process_stalled(monotonic_time since);
  /// Runs that are placed on the worker, for the resumption of its session.
  std::vector<run_id> outstanding(worker_index worker) const;

  /// Places what can be placed.
  void place_waiting(monotonic_time now);
  /// Handles what is due by time alone; to be called every few ten milliseconds.
  void tick(monotonic_time now);

  std::vector<placed_start> take_starts() { return std::exchange(starts_, {}); }
  std::vector<placed_stop> take_stops() { return std::exchange(stops_, {}); }
  std::vector<job_result> take_results() { return std::exchange(results_, {}); }

  std::size_t open_jobs() const { return jobs_.size(); }
  /// Jobs of the queue without a started task, but for durable ones.
  std::size_t waiting_jobs(const std::string& queue) const;
  /// Durable jobs without a started task, by queue.
  std::vector<queue_count> waiting_durable_jobs() const;
  std::size_t backlog() const { return backlog_; }
  /// What this entry believes of each worker, as one line for the log.
  std::string describe_workers() const;
  bool has_worker() const;

private:
  struct worker;
  struct task;
  struct job;

  struct placement {
    worker_index index = 0;
    double run_ms = 0;
  };

  task* find_task(const run_id& run, worker_index on);
  bool can_run(const worker& candidate, const job& owner, std::uint32_t step) const;
  bool could_ever_run(const job& owner, std::uint32_t step) const;
  bool service_may_appear(const std::string& service, monotonic_time now) const;
  double free_cpu(const worker& each) const;
  double run_time_ms(const worker& each, const job_step& step) const;
  std::optional<placement> choose_worker(const job& owner, std::uint32_t step, const task& each);
  void place_ready(job& owner, monotonic_time now);
  void place(job& owner, std::uint32_t step, std::uint32_t index, placement target,
             monotonic_time now);
  void unplace(job& owner, std::uint32_t step, std::uint32_t index);
  void requeue(job& owner, std::uint32_t step, std::uint32_t index, monotonic_time now);
  void task_done(job& owner, std::uint32_t step, monotonic_time now);
  void restore_progress(job& owner);
  void enable_ready_steps(job& owner);
  void stop_runs(job& owner);
  void finish(job& owner, job_verdict verdict, job_cause cause, monotonic_time now);
  void release_lost_runs(monotonic_time now);
  void expire_jobs(monotonic_time now);
  std::chrono::duration<double, std::milli> expected_wait() const;

  fleet_policy policy_;
  std::string availability_zone_;
  std::mt19937_64 random_;
  std::map<std::string, worker_index> worker_names_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::unordered_map<std::uint64_t, std::unique_ptr<job>> jobs_;
  std::vector<placed_start> starts_;
  std::vector<placed_stop> stops_;
  std::vector<job_result> results_;
  std::size_t backlog_ = 0;
  monotonic_time first_submission_{};
};

} // namespace parsleylead

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/run_types.hpp"
#include "parsleylead/runs/pace_estimate.hpp"

namespace parsleylead {

/// Number that an agent assigns to each incarnation of an entry.
using owner_id = std::uint32_t;

/// Answer of a worker to an order to start a run.
enum class start_answer : std::uint8_t {
  started,
  /// The worker lacks free resources.
  no_room,
  /// The worker has seen a higher attempt of this task.
  stale_attempt,
  /// The worker refused for another reason and did nothing.
  refused,
  /// No answer: the worker may still start the run at any time.
  unknown,
};

/// How the agent learnt what became of a start that the worker did not answer.
enum class start_resolution : std::uint8_t {
  /// A list shows the run as active.
  active,
  /// A list shows that the run has ended.
  ended,
  /// No list shows the run: it is stopped.
  stopped,
};

inline const char* to_string(start_resolution resolution) {
  switch (resolution) {
  case start_resolution::active:
    return "active";
  case start_resolution::ended:
    return "ended";
  default:
    return "stopped";
  }
}

/// A start without an answer whose outcome is known.
struct resolved_start {
  run_id run;
  start_resolution resolution = start_resolution::active;
};

/// A run that the worker lists as active.
struct active_run {
  run_id run;
  std::uint32_t percent = 0;
};

/// A run that the worker lists as ended.
struct finished_run {
  run_id run;
  run_outcome outcome = run_outcome::done;
  /// Sequence number of the end, counted from 1 in each incarnation of the worker.
  std::uint64_t number = 0;
};

/// A call that the agent has to make to its worker.
struct worker_call {
  enum class kind : std::uint8_t { start, stop };
  kind call_kind = kind::start;
  run_id run;
};

/// The end of a run, to be reported to its owner.
struct owned_end {
  owner_id owner = 0;
  run_end end;
};

/// Tracks the active and waiting runs of one agent: enforces the worker's capacity, orders waiting
/// starts, resolves starts without an answer, and retains ends for sessions that are resumed. Does
/// no I/O: the current time is passed in; calls to the worker are collected with `take_calls`. Not
/// thread-safe.
///
/// A worker may execute a start that it did not answer seconds later. Such a run keeps its
/// resources until the worker lists it, or until the worker has confirmed a stop, after which it
/// rejects the run, and a list requested after the confirmation does not contain it. It is stopped
/// only if a list that was requested after the start does not contain it, or if no list arrives.
///
/// That a worker cannot be reached says nothing about its runs: it may be up and go on with them.
/// They have ended once a list no longer contains them, once another worker answers at the address,
/// or once all leases have expired.
///
/// An isolated order is started only while no other run is active, and nothing else is started
/// until it has ended. Other orders wait meanwhile, so that it is not postponed forever.
///
/// Ends of durable jobs (those with an epoch) are held at the worker until the owner of their
/// partition has acknowledged them. The worker therefore lists them again after a crash of this
/// process or of the owner. Crashes of workers under runs of durable jobs are held by this table
/// in the same way, so that each owner of the partition counts them.
class run_table {
public:
  /// `partitions`: number of partitions of the durable jobs.
  explicit run_table(std::uint32_t partitions = 1) : partitions_(partitions) {}

  /// A worker with another id replaced the previous one. All runs end as lost.
  void worker_replaced(const resource_needs& capacity, monotonic_time now);
  /// The worker has restarted. Returns the waiting orders unstarted, because they were placed for
  /// its earlier incarnation, and forgets what was measured on that. The runs are ended by the
  /// lists.
  void worker_restarted(monotonic_time now);
  void set_capacity(const resource_needs& capacity) { capacity_ = capacity; }
  /// The worker cannot be reached, and all of its leases have expired: its runs have ended.
  /// `worker_crashed` or `worker_answered` report later whether it had crashed.
  void worker_lost(monotonic_time now, loss_cause cause = loss_cause::worker_silent);
  /// The worker has refused connections since about `refused_since` and may have crashed then.
  /// Marks the runs that were active at that time.
  void suspect_crash(monotonic_time refused_since);
  /// The worker crashed at about `crashed_at`, as another incarnation or worker has answered since.
  /// Marks the runs that were active then, unless a later list shows that they are active after
  /// all. Does not end them. Those lost since the worker stopped answering are reported again.
  void worker_crashed(monotonic_time crashed_at);
  /// The worker answers in the same incarnation as before, so that the runs lost meanwhile were not
  /// lost in a crash. The suspects are reported again, without the suspicion.
  void worker_answered();
  /// Returns the waiting orders unstarted, because the worker cannot start them.
  void return_waiting(monotonic_time now);
  /// The worker numbers its ends from 1 again.
  void end_numbers_reset();
  /// While false, no run is started, and `start_waiting` returns the waiting orders.
  void set_accepting(bool accepting) { accepting_ = accepting; }
  /// While true, no run is started, but orders are kept. Used while the worker's state is unknown.
  void set_suspended(bool suspended) { suspended_ = suspended; }

  void add(owner_id owner, start_order order, monotonic_time now);
  /// Reports an order as not started, because it was placed for another incarnation of the worker.
  void refuse(owner_id owner, const start_order& order);
  /// Removes a waiting order or stops a run. Without `report_end`, its end is not reported.
  void stop(owner_id owner, const run_id& run, bool report_end, monotonic_time now);
  /// The owner is gone: stops all of its runs, removes all of its orders, and withdraws its claims.
  void stop_owner(owner_id owner, monotonic_time now);
  /// Reconciles the table with the runs that the owner still expects after its session was resumed:
  /// stops runs that are not in `outstanding`, and reports those that have ended or never arrived.
  void reconcile(owner_id owner, const std::vector<run_id>& outstanding, monotonic_time now);

  /// The owner claimed a partition of durable jobs. Stops the partition's runs of earlier epochs
  /// and reports its held ends to the owner. Claims older than a known one are ignored.
  void partition_claimed(owner_id owner, const partition_claim& claim, monotonic_time now);
  /// The owner no longer holds the partition. The epoch stays known; the partition's ends count as
  /// unclaimed until another owner claims it.
  void claim_withdrawn(owner_id owner, partition_number partition);
  /// Returns the newer claim that invalidates the order, if there is one.
  std::optional<partition_claim> later_claim(const start_order& order) const;
  /// Releases a held end or crash that its owner has stored, or marks the end as superseded.
  void acknowledge_end(const end_ack& note);
  /// Returns the number up to which ends can be confirmed to the worker, which then drops them.
  std::uint64_t confirmable_end() const;
  /// Returns whether ends are held for their owners.
  bool has_held_ends() const { return !held_ends_.empty(); }
  /// Returns whether ends are held that must not be confirmed yet: see `end_ack::superseded`.
  bool has_superseded_end() const;
  /// Releases the superseded ends. Precondition: all leases on the worker have expired since the
  /// worker listed them.
  void release_superseded();
  /// Returns whether ends or crashes are held whose partition no owner has claimed.
  bool has_unclaimed_end() const;

  /// `start_answer::unknown`: the run is stopped, unless a list has shown it.
  void start_answered(const run_id& run, start_answer answer, monotonic_time now);
  /// The worker did not answer the start in time. The lists decide whether the run is stopped.
  void start_unanswered(const run_id& run, monotonic_time now);
  /// Returns whether the start was neither answered nor listed nor stopped.
  bool is_starting(const run_id& run) const;
  /// `confirmed`: the worker is stopping this run or will never start it.
  void stop_answered(const run_id& run, bool confirmed, monotonic_time now);
  /// Applies the worker's lists, requested at `requested`. `complete`: no run or end is missing.
  void observe(const std::vector<active_run>& active, const std::vector<finished_run>& finished,
               bool complete, monotonic_time requested, monotonic_time now);

  /// Starts the waiting orders that fit and returns those that have waited too long.
  void start_waiting(monotonic_time now);

  std::vector<worker_call> take_calls() { return std::exchange(calls_, {}); }
  std::vector<owned_end> take_ends() { return std::exchange(ends_, {}); }
  /// Returns what became of the starts reported with `start_unanswered`.
  std::vector<resolved_start> take_resolved_starts() { return std::exchange(resolved_starts_, {}); }
  /// Returns the later reports on runs whose worker did not answer: the same ends, now with whether
  /// the worker had crashed.
  std::vector<owned_end> take_loss_reports() { return std::exchange(loss_reports_, {}); }
  /// Returns the crashes since the last call during which only tasks of one queue were active.
  std::vector<crash_report> take_crashes() { return std::exchange(crashes_, {}); }

  const start_order* find_order(const run_id& id) const;
  owner_id owner_of(const run_id& id) const;
  /// Returns the runs that take much longer than estimated, with their owners.
  std::vector<std::pair<owner_id, slow_run>> slow_runs(monotonic_time now) const;
  std::uint32_t owner_cpu_millis(owner_id owner) const;
  /// Returns whether the worker runs tasks that an earlier agent process on this host started.
  bool has_foreign_runs() const { return !foreign_runs_.empty(); }
  /// Returns whether runs of the owner have or may have been started and have not ended.
  bool has_started_runs(owner_id owner) const;
  const resource_needs& committed() const { return committed_; }
  const resource_needs& capacity() const { return capacity_; }
  /// CPU that new orders wait for: that of the waiting orders and, while superseded ends are held,
  /// the worker's whole capacity, because nothing starts before its leases have expired.
  std::uint32_t queued_cpu_millis() const;
  std::size_t running() const { return runs_.size() - waiting_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  const pace_estimate& pace() const { return pace_; }
  double failure_share() const { return failures_ / (counted_ends_ + 1.0); }

private:
  /// `revoking`: a start without an answer is being stopped, so that the worker rejects it.
  enum class state : std::uint8_t { waiting, starting, running, revoking, stopping };
  struct run {
    owner_id owner = 0;
    start_order order;
    state current_state = state::waiting;
    /// The end is not reported: the owner stopped the run or is gone.
    bool abandoned = false;
    bool stop_confirmed = false;
    /// The worker did not answer the start in time.
    bool unanswered = false;
    /// A list that was requested after the start does not contain the run.
    bool unlisted = false;
    /// See `run_end`.
    bool worker_crashed = false;
    bool suspect = false;
    /// The run was active when the worker began to refuse connections.
    bool crash_suspected = false;
    /// The worker crashed after the start was sent. A later incarnation's lists do not tell whether
    /// the earlier one had executed it.
    bool may_have_crashed = false;
    /// What the run takes of the worker: all of it if the run is isolated.
    resource_needs reserved;
    std::uint32_t percent = 0;
    monotonic_time added;
    monotonic_time began;
    monotonic_time due;
    monotonic_time queue_deadline;
    /// When the worker confirmed the start or the stop.
    monotonic_time confirmed_at;
    monotonic_time stop_sent_at;
    monotonic_time next_stop_at;
  };
  struct recent_end {
    owned_end end;
    monotonic_time ended_at;
  };
  struct held_end {
    run_end end;
    bool superseded = false;
  };
  /// The end of a run whose worker did not answer until its leases had expired.
  struct unexplained_loss {
    owner_id owner = 0;
    run_end end;
    bool durable = false;
    bool abandoned = false;
  };
  struct known_claim {
    /// 0 if the owner is gone or has withdrawn the claim.
    owner_id owner = 0;
    std::uint64_t epoch = 0;
  };
  using run_map = std::unordered_map<task_key, run, task_key_hash>;

  run_map::iterator locate(const run_id& id);
  run* find(const run_id& id);
  const run* find(const run_id& id) const;
  /// `number`: the worker's number of an end that is held for its owner.
  void finish(run_map::iterator ended, run_outcome outcome, monotonic_time now,
              loss_cause cause = loss_cause::none, std::uint64_t number = 0);
  void hold_end(std::uint64_t number, run_end end);
  void hold_crash(const run_end& end);
  /// Reports the unexplained losses again, now with whether the worker had crashed.
  void explain_losses(bool worker_crashed);
  /// Sets `mark` on the runs that were active at `crashed_at`, and the suspects among them. Reports
  /// the crash, at the first suspicion, if only tasks of one queue were active.
  void mark_active_runs(monotonic_time crashed_at, bool run::*mark);
  void report_held_end(const run_end& end);
  /// Returns the owner that claims the end's partition; 0 if there is none.
  owner_id claimant_of(const run_end& end) const;
  void remember_end(const owned_end& end, monotonic_time now);
  void request_stop(run& target, monotonic_time now);
  /// Stops a run whose start was not answered.
  void revoke(run& target, monotonic_time now);
  /// Stops the runs whose starts no list has explained in time.
  void revoke_unexplained(monotonic_time now);
  /// Applies that the complete lists requested at `requested` do not contain the run.
  void start_unlisted(run& target, monotonic_time requested, monotonic_time now);
  /// Returns whether a list showed the end of the run after `requested`, so that a list requested
  /// then may be older and contain the run as active.
  bool has_ended_since(const run_id& run, monotonic_time requested) const;
  /// Ends the started runs as lost and returns the waiting orders.
  void lose_all(loss_cause cause, monotonic_time now);
  void count_end(run_outcome outcome, monotonic_time now);
  void forget_measurements();
  void remove_waiting(const task_key& key);
  void start(run& candidate, monotonic_time now);
  /// Starts a waiting isolated order if no run is active. Returns whether there is such an order or
  /// an isolated run, so that nothing else may start.
  bool start_isolated(monotonic_time now);

  std::uint32_t partitions_;
  std::map<partition_number, known_claim> claims_;
  /// By the worker's sequence numbers.
  std::map<std::uint64_t, held_end> held_ends_;
  std::uint64_t last_end_ = 0;
  /// Ends of runs of durable jobs that were lost in a crash, until their owner has counted them.
  std::deque<run_end> held_crashes_;
  std::vector<unexplained_loss> unexplained_losses_;
  run_map runs_;
  std::vector<task_key> waiting_;
  std::deque<recent_end> recent_ends_;
  /// Active runs that an earlier agent process on this host started, with the time of the last
  /// stop.
  std::unordered_map<task_key, monotonic_time, task_key_hash> foreign_runs_;
  std::vector<worker_call> calls_;
  std::vector<owned_end> ends_;
  std::vector<resolved_start> resolved_starts_;
  std::vector<owned_end> loss_reports_;
  std::vector<crash_report> crashes_;
  resource_needs capacity_;
  resource_needs committed_;
  std::uint32_t queued_cpu_millis_ = 0;
  bool accepting_ = false;
  bool suspended_ = false;
  pace_estimate pace_;
  double failures_ = 0;
  double counted_ends_ = 0;
  monotonic_time last_counted_{};
  monotonic_time last_observed_{};
};

} // namespace parsleylead

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/durable/durable_port.hpp"
#include "parsleylead/durable/durable_record.hpp"
#include "parsleylead/observe/event_log.hpp"
#include "parsleylead/observe/metrics_registry.hpp"
#include "parsleylead/store/partition_log.hpp"

namespace parsleylead {

struct durable_settings {
  /// Name of this process in the group of owners; other entries use it as an address.
  std::string member;
  std::string topic = "keyed.jobs";
  std::string group = "jobs";
  std::uint32_t partitions = 1;
  /// Duration of the lease on the partitions, counted from each renewal. The store grants at least
  /// 1 s. Longer leases delay the successor of a crashed owner; shorter ones expire during brief
  /// outages of the store.
  std::chrono::milliseconds lease{2'000};
  std::chrono::milliseconds renewal_interval{500};
  /// A renewal that is not answered within this time is sent again, so that a single lost answer
  /// does not let the lease expire. A store that is 100 times slower than usual answers in 400 ms.
  std::chrono::milliseconds renewal_timeout{600};
  /// Delay after a claim before the jobs of an earlier owner are started. The earlier owner may act
  /// until its lease expires (2 s), agents stop its runs 0.7 s later, and the runs of a crashed
  /// agent end with the worker's lease (1 s, 2 % of clock error).
  std::chrono::milliseconds settle_time{3'800};
  /// How long ended jobs are kept: callers may query them for two minutes.
  std::chrono::milliseconds ended_retention{150'000};
  /// A submission that is not stored within this time is refused, or answered as unknown if its
  /// append may still take effect.
  std::chrono::milliseconds store_timeout{1'000};
  /// Maximum number of open jobs at one entry: at 10 KB each, a fifth of the memory of a small
  /// host.
  std::size_t max_open_jobs = 4'000;
  /// Maximum number of tasks of the open jobs at one entry, as for jobs that are not stored.
  std::size_t max_open_tasks = 20'000;
  /// Clock that is read when the store answers.
  std::function<monotonic_time()> clock = lease_now;
};

/// Answer to a call about a durable job.
enum class durable_answer : std::uint8_t {
  /// The job is stored.
  accepted,
  pending,
  running,
  completed,
  failed,
  cancelled,
  no_such_job,
  /// This entry does not own the job's partition.
  not_owner,
  /// The job is not stored and never will be.
  refused,
  /// The store did not answer in time: the change may take effect or not.
  unknown,
};

const char* to_string(durable_answer answer);

/// Manages the durable jobs of one entry. Jobs are distributed over the partitions of the store's
/// topic; each partition has one owner at a time, assigned by the store's consumer group. Two
/// mechanisms fence off an earlier owner: owners append only at the end offset that they know, so
/// that its appends fail; and agents refuse orders of epochs older than the newest claim that they
/// know. A job is answered as accepted, an end is acknowledged to its agent, and a result is shown
/// only once it is stored. Not thread-safe: used on the event loop's thread only.
class durable_jobs {
public:
  using reply = std::function<void(durable_answer)>;

  /// The references must outlive the object.
  durable_jobs(durable_settings settings, partition_log& log, durable_port& port, event_log& events,
               metrics_registry& metrics);
  ~durable_jobs();
  durable_jobs(const durable_jobs&) = delete;
  durable_jobs& operator=(const durable_jobs&) = delete;

  /// Handles timeouts and retries. Has to be called every few tens of milliseconds.
  void tick(monotonic_time now);
  /// Drops all partitions if the lease has expired. Has to be called before orders are sent, since
  /// this process may have been stalled.
  void check_lease(monotonic_time now);

  /// Stores and runs a job; a job that is already stored is only answered as accepted.
  /// Precondition: `job.ownership` is not set.
  void submit(fleet_job job, monotonic_time now, const reply& done);
  void cancel(std::uint64_t job, monotonic_time now, const reply& done);
  durable_answer query(std::uint64_t job) const;
  /// Returns the number of jobs that have not begun, as far as this owner knows, in each partition
  /// that this entry has claimed, including those that are being released; by queue.
  std::vector<partition_counts> waiting_jobs() const;
  /// Returns whether this entry owns the job's partition.
  bool owns(std::uint64_t job) const;

  /// Handles an end that an agent holds. `current`: it is the end of the task's current run.
  void run_ended(worker_index worker, const run_end& end, bool current, monotonic_time now);
  /// A run was lost: its agent cannot be reached, or its worker. The task is started again by
  /// `durable_port::restart_task` only once the loss is stored, so that no later owner uses an end
  /// that the worker reports after all.
  void run_lost(const lost_run& lost, monotonic_time now);
  /// A worker crashed under a run. The crash counts once for the task, also if the run belonged to
  /// an earlier owner or the crash is reported again; the agent keeps the report until it is
  /// acknowledged. `current`: it was the task's current run, which `run_lost` is told of as well.
  void crash_reported(worker_index worker, const run_id& run, bool current, monotonic_time now);
  /// Handles the result of a job that was passed to `durable_port::run_job`.
  void job_ended(const job_result& result, monotonic_time now);
  /// An agent reported a claim that may be newer than this entry's own.
  void claim_seen(const partition_claim& claim, monotonic_time now);
  /// Returns the claims of all owned partitions, for a new session of an agent.
  std::vector<partition_claim> claims() const;

  /// Looks up the member that holds the job's partition. `done` is called at once if the holders
  /// were read within the last second, otherwise after a read of the store. It gets an empty value
  /// if the holder is not known.
  void find_holder(std::uint64_t job, monotonic_time now,
                   const std::function<void(std::optional<std::string>)>& done);
  /// Discards the cached holders, which proved to be outdated.
  void forget_holders() { holders_read_at_ = {}; }

  /// Releases all partitions, so that their next owners can run the jobs at once.
  void leave(monotonic_time now);
  bool has_left() const { return left_; }

private:
  struct durable_job;
  struct partition_state;
  struct store_change;
  struct pending_reply;

  partition_number partition_number_of(std::uint64_t job) const;
  /// Returns the job's partition if this entry owns it, or null.
  partition_state* find_partition(std::uint64_t job);
  const partition_state* find_partition(std::uint64_t job) const;
  /// Like `find_partition`, but also returns a partition that is being released.
  partition_state* find_writable(std::uint64_t job);
  topic_partition topic_of(partition_number number) const { return {settings_.topic, number}; }
  partition_state* find_by_serial(partition_number number, std::uint64_t serial);

  void renew_lease(monotonic_time now);
  void apply_assignment(const group_assignment& assignment, monotonic_time sent,
                        monotonic_time now);
  /// Gives the partition up if another owner has appended to it since.
  void verify_ownership(partition_state& partition);
  /// `sent_submissions`: answer to callers whose job is part of an unanswered append.
  void drop_partition(partition_number number, const std::string& cause,
                      durable_answer sent_submissions);
  void release_partition(partition_state& partition, monotonic_time now);
  void finish_releases(monotonic_time now);
  void finish_leave();

  void read_partition(partition_number number, std::uint64_t serial, const std::string& after);
  void claim_partition(partition_state& partition, monotonic_time now);
  void partition_claimed(partition_state& partition, monotonic_time now);
  void restore_jobs(partition_state& partition, const std::vector<keyed_record>& records);
  void finish_settling(partition_state& partition, monotonic_time now);
  void start_restored_jobs(partition_state& partition);
  void start_job(partition_state& partition, durable_job& job);

  static bool is_superseded(const partition_state& partition, const durable_job& job,
                            const run_end& end, bool is_current);
  static std::vector<std::vector<task_progress>> final_progress(const partition_state& partition,
                                                                const durable_record& record);
  static task_progress* find_open_task(partition_state& partition, const task_key& task);
  void count_end(durable_job& job, const run_end& end, bool is_current);
  void close_job(partition_state& partition, std::uint64_t id);
  /// Counts a job that is open from now on, and one that no longer is.
  void add_open(const durable_record& record);
  void remove_open(const durable_record& record);
  durable_answer state_of(const partition_state& partition, std::uint64_t id) const;
  void queue_change(partition_state& partition, store_change change, monotonic_time now,
                    std::chrono::milliseconds delay = {});
  void flush(partition_state& partition, monotonic_time now);
  void append(partition_state& partition);
  void append_answered(partition_state& partition, const absl::StatusOr<std::uint64_t>& end);
  void check_appended(partition_state& partition);
  void appended(partition_state& partition, std::uint64_t end);
  void append_refused(partition_state& partition);
  void expire_waiting(monotonic_time now);
  void forget_ended(partition_state& partition, monotonic_time now);

  durable_settings settings_;
  partition_log& log_;
  durable_port& port_;
  event_log& events_;
  metrics_registry& metrics_;
  std::map<partition_number, std::unique_ptr<partition_state>> partitions_;
  std::deque<std::shared_ptr<pending_reply>> pending_replies_;
  std::size_t open_jobs_ = 0;
  /// Tasks of the open jobs.
  std::size_t open_tasks_ = 0;
  std::uint64_t next_serial_ = 1;
  std::uint64_t generation_ = 0;
  bool renewing_ = false;
  bool store_reachable_ = true;
  monotonic_time next_renewal_{};
  monotonic_time lease_end_{};
  monotonic_time now_{};
  std::vector<partition_holder> holders_;
  monotonic_time holders_read_at_{};
  std::vector<std::function<void()>> holder_requests_;
  bool leaving_ = false;
  bool left_ = false;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace parsleylead

#pragma once

#include <cstdint>
#include <vector>

#include "parsleylead/fleet/fleet_job.hpp"
#include "parsleylead/fleet/fleet_scheduler.hpp"
#include "parsleylead/fleet/run_types.hpp"

namespace parsleylead {

/// Interface of an entry that runs durable jobs for `durable_jobs`. Used on the event loop's thread
/// only.
class durable_port {
public:
  virtual ~durable_port() = default;

  /// Runs a job. Precondition: `job.ownership` is set and the job is not open.
  virtual void run_job(fleet_job job) = 0;
  /// Stops the job's runs and removes the job.
  virtual void drop_job(std::uint64_t job) = 0;
  /// Stops the job's runs, with their ends reported, and starts no further tasks of it.
  virtual void suspend_job(std::uint64_t job) = 0;
  /// Allows the job to start a task again whose run `durable_jobs::run_lost` was told of. Does
  /// nothing if the job is not open or the task has another current run.
  virtual void restart_task(const run_id& lost) = 0;
  /// A run failed that is not the task's current one: it counts towards the task's attempts. Does
  /// nothing if the job is not open.
  virtual void failure_counted(const run_id& failed) = 0;
  /// A worker crashed under a run that is not the task's current one. Does nothing if the job is
  /// not open.
  virtual void crash_counted(const run_id& crashed) = 0;
  virtual bool is_placed(std::uint64_t job) const = 0;
  virtual bool has_begun(std::uint64_t job) const = 0;
  /// Sends the claims, and those that are withdrawn (`withdrawn_epoch`), to all agents.
  virtual void announce_claims(const std::vector<partition_claim>& claims) = 0;
  /// Sends an acknowledgement to the worker's agent.
  virtual void acknowledge_end(worker_index worker, const end_ack& ack) = 0;
};

} // namespace parsleylead

#pragma once

#include <cstdint>
#include <vector>

#include "parsleylead/fleet/fleet_job.hpp"
#include "parsleylead/fleet/fleet_scheduler.hpp"
#include "parsleylead/fleet/run_types.hpp"

namespace parsleylead {

/// What the owner of durable jobs needs from the entry that runs them. Used on the loop's thread
/// only.
class durable_port {
public:
  virtual ~durable_port() = default;

  /// Precondition: the job has a tenure and is not open.
  virtual void run_job(fleet_job job) = 0;
  /// Stops the job's runs and forgets it.
  virtual void drop_job(std::uint64_t job) = 0;
  /// Stops the job's runs, whose ends are still reported, and starts nothing of it any more.
  virtual void suspend_job(std::uint64_t job) = 0;
  virtual bool is_placed(std::uint64_t job) const = 0;
  virtual bool has_begun(std::uint64_t job) const = 0;
  /// Tells all agents.
  virtual void announce_claims(const std::vector<partition_claim>& claims) = 0;
  /// Tells the agent of a worker.
  virtual void acknowledge_end(worker_index worker, const end_ack& note) = 0;
};

} // namespace parsleylead

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/fleet/run_types.hpp"
#include "parsleylead/runs/run_table.hpp"

namespace parsleylead {

/// What a worker says of itself.
struct worker_announcement {
  std::string id;
  /// Changes with each start of the worker, also under the same id.
  std::int64_t incarnation = 0;
  /// Rises with each announcement of one life.
  std::uint64_t sequence = 0;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  resource_needs capacity;
  /// The worker is about to leave and wants no new tasks.
  bool draining = false;
};

/// A worker's lists of runs.
struct run_lists {
  std::vector<active_run> active;
  std::vector<finished_run> finished;
  /// The worker listed all of its ends.
  bool complete = true;
  /// `worker_announcement::life` of the worker that answered; 0 if it does not say.
  std::int64_t incarnation = 0;
};

/// The calls that an agent makes to its worker. Used on the loop's thread only; each callback is
/// called once, later than the call itself.
class worker_port {
public:
  virtual ~worker_port() = default;

  /// Directs all later calls to this life of the worker.
  virtual void attach(const worker_announcement& worker) = 0;
  virtual void start(const start_order& order, std::function<void(start_answer)> done) = 0;
  /// `done(true)`: the worker stops the run, or will never start it.
  virtual void stop(const run_id& run, std::function<void(bool)> done) = 0;
  /// Confirms the ends up to a number and asks for the lists, answered at the next end or after
  /// `wait`; at once while there are ends that are not confirmed. With `extend`, everything on the
  /// worker keeps running for the longest lease. Errors: kUnavailable if the worker refuses
  /// connections; others if its state is unknown.
  virtual void list_runs(std::uint64_t confirmed_end, bool extend, std::chrono::milliseconds wait,
                         std::function<void(absl::StatusOr<run_lists>)> done) = 0;
};

} // namespace parsleylead

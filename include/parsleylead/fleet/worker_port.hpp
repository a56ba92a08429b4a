#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/run_types.hpp"
#include "parsleylead/runs/run_table.hpp"

namespace parsleylead {

/// Announcement of a worker to its agent.
struct worker_announcement {
  std::string id;
  /// Increases with each start of the worker, also under the same id.
  std::int64_t incarnation = 0;
  /// Increases with each announcement of one incarnation.
  std::uint64_t sequence = 0;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  resource_needs capacity;
  /// The worker is shutting down and accepts no new tasks.
  bool draining = false;
  /// For how much longer the worker is slow after its start.
  std::chrono::milliseconds cold_for{0};
};

/// A worker's lists of runs.
struct run_lists {
  std::vector<active_run> active;
  std::vector<finished_run> finished;
  /// `active` contains all active runs, and `finished` all ends that are not confirmed.
  bool complete = true;
  /// `worker_announcement::incarnation` of the worker that answered; 0 if it sent none.
  std::int64_t incarnation = 0;
};

/// Interface through which an agent calls its worker. Used on the event loop's thread only. Each
/// callback is called once, after the call has returned.
class worker_port {
public:
  virtual ~worker_port() = default;

  /// Directs all later calls to this incarnation of the worker.
  virtual void attach(const worker_announcement& worker) = 0;
  /// Asks the worker at the known address for its incarnation, whatever is attached; 0 if the
  /// worker does not state it. Errors: kNotFound if the worker there has another id than
  /// `worker_id`; others if there is no answer.
  virtual void query_incarnation(const std::string& worker_id,
                                 std::function<void(absl::StatusOr<std::int64_t>)> done) = 0;
  /// Leases are for the whole worker and never shortened. `lease_end` may be in the past.
  virtual void start(const start_order& order, monotonic_time lease_end,
                     std::function<void(start_answer)> done) = 0;
  /// `done(true)`: the worker is stopping the run or will never start it.
  virtual void stop(const run_id& run, std::function<void(bool)> done) = 0;
  /// Confirms the ends up to number `confirmed_end` and requests the lists. The worker answers at
  /// the next end or after `wait`, or immediately while there are unconfirmed ends. With
  /// `lease_end`, the leases of all runs are extended, see `start`. Errors: kUnavailable if no
  /// connection could be opened; kDeadlineExceeded if there is no answer within `wait` and
  /// `answer_time`; kUnknown if the connection failed before the answer. No error says anything
  /// about the runs.
  virtual void list_runs(std::uint64_t confirmed_end, std::optional<monotonic_time> lease_end,
                         std::chrono::milliseconds wait, std::chrono::milliseconds answer_time,
                         std::function<void(absl::StatusOr<run_lists>)> done) = 0;
};

} // namespace parsleylead

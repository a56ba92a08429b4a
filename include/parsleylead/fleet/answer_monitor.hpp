#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/run_types.hpp"

namespace parsleylead {

/// Decides, for the agent of one worker, how long an answer to a list request may take, when a
/// start without an answer is looked up in the lists, and whether lists are requested redundantly.
/// Responds to lost answers and to the time that answers take. Requires nothing in addition to the
/// agent's usual requests while answers arrive in time. Does no I/O; not thread-safe.
class answer_monitor {
public:
  /// The start of a run was sent at `now`.
  void start_sent(const run_id& run, monotonic_time now);
  /// The start was answered, so that it needs no list.
  void start_answered(const run_id& run);
  /// Returns whether the start was sent and is to be looked up later.
  bool awaits_check(const run_id& run) const;
  /// When `take_due_checks` is to be called next; empty if no start is without an answer.
  std::optional<monotonic_time> next_check() const;
  /// Returns whether the lists are to be requested now because starts have had no answer for too
  /// long. These starts are not returned again.
  bool take_due_checks(monotonic_time now);

  /// The worker answered an order, or a list request that had nothing to wait for, after `took`.
  void answered(std::chrono::nanoseconds took);
  /// The worker answered a list request.
  void list_answered() { lists_lost_ = 0; }
  /// An order had no answer in time.
  void answer_lost(monotonic_time now) { last_lost_ = now; }
  /// A list request had no answer in time.
  void list_lost(monotonic_time now);

  /// Returns whether the worker has lost an answer recently, so that lists are requested
  /// redundantly.
  bool losing_answers(monotonic_time now) const;
  /// Time in which an answer to a list request is due, added to the time that the worker was asked
  /// to wait.
  std::chrono::milliseconds list_answer_time(monotonic_time now) const;
  /// Time after which a start without an answer is looked up in the lists.
  std::chrono::milliseconds start_check_delay() const;

private:
  struct pending_start {
    run_id run;
    monotonic_time check_at;
  };

  /// In the order in which they were sent.
  std::deque<pending_start> pending_;
  /// Average time of an answer.
  std::chrono::duration<double, std::milli> mean_answer_time_{0};
  /// Number of list requests without an answer since the last answer to one.
  int lists_lost_ = 0;
  std::optional<monotonic_time> last_lost_;
};

} // namespace parsleylead

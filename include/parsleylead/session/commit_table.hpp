#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "parsleylead/base/reason.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/session/session_key.hpp"
#include "parsleylead/session/upstream_outcome.hpp"

namespace parsleylead {

/// Limits of the state that a `commit_table` retains.
struct commit_table_limits {
  /// How long the state of an entry without a session is retained.
  std::chrono::milliseconds state_retention{60'000};
  /// Records retained for each entry. Beyond that, the oldest sealed and acknowledged ones are
  /// replaced by a watermark.
  std::size_t max_records = 4096;
  /// Unacknowledged outcomes retained for each entry. Beyond that, the oldest are evicted; their
  /// dispatches then count as unknown.
  std::size_t max_unacknowledged = 1024;
};

/// State of a sequence number that an entry lists as outstanding when it opens a session.
enum class resume_state : std::uint8_t {
  /// Ended; the outcome is present.
  finished,
  /// Started and not yet ended.
  running,
  /// Never started, and never will be.
  sealed,
  /// Not known: the task may have run.
  unknown,
};

/// State of one outstanding sequence number.
struct resumed_task {
  std::uint64_t sequence = 0;
  resume_state state = resume_state::unknown;
  upstream_outcome outcome;
};

/// Result of `commit_table::open_session`.
struct session_open_result {
  bool accepted = false;
  /// `stale_session` if refused.
  reason refusal = reason::none;
  /// One for each outstanding sequence number, in the same order.
  std::vector<resumed_task> tasks;
  /// Accepted tasks of earlier sessions that were waiting for a slot; they will never start.
  std::vector<std::uint64_t> sealed;
};

/// Result of `commit_table::cancel`.
enum class cancel_result : std::uint8_t {
  /// The task had not started and never will.
  sealed,
  /// The task is running; the caller has to abort it.
  running,
  /// The task has already ended, or the session is not the current one.
  no_effect,
};

/// Result of `commit_table::finish`.
enum class finish_result : std::uint8_t {
  /// The entry has a session; the caller has to deliver the outcome.
  deliver,
  /// The entry has no session; the outcome is retained until the entry resumes or its state
  /// expires.
  retained,
};

/// The agent's state of every dispatch of every entry, and the only commit point of the system
/// (design, D1): a task may be sent to the upstream only after `start` returned true, which it does
/// at most once for each entry incarnation and sequence number. Only the session with the highest
/// counter of an entry incarnation can accept or start tasks; earlier ones are fenced. A sealed
/// number will never start.
///
/// A violated invariant aborts the process. Used on the control thread only.
///
/// Example:
///   commit_table table(incarnation, {});
///   table.open_session(session, 0, {}, {}, now);
///   if (table.accept(session, 7) == reason::none && table.start(session, 7, now, deadline)) {
///     table.finish(session.entry, 7, run());
///   }
class commit_table {
public:
  /// `agent_incarnation` identifies this start of the agent.
  explicit commit_table(std::uint64_t agent_incarnation, commit_table_limits limits = {});

  /// Opens a session and fences all earlier ones of the entry. `previous_agent` is the agent
  /// incarnation of the entry's previous session, 0 for none. Outstanding numbers without a record
  /// are unknown if that is another incarnation or if the state of the entry has expired; otherwise
  /// they were never received and are sealed. Refused unless the counter is higher than all earlier
  /// ones.
  session_open_result open_session(const session_key& session, std::uint64_t previous_agent,
                                   std::span<const std::uint64_t> outstanding,
                                   std::span<const std::uint64_t> acknowledged, monotonic_time now);

  /// Ends a session whose connection was lost. Seals its tasks that wait for a slot and returns
  /// them. No effect if a later session is open.
  std::vector<std::uint64_t> disconnect_session(const session_key& session, monotonic_time now);

  /// Whether the session is connected and not fenced.
  bool is_current(const session_key& session) const;

  /// Records a received dispatch. Returns `none`, `stale_session` if the session is fenced, or
  /// `sealed` if the number was sealed, cancelled or used before.
  reason accept(const session_key& session, std::uint64_t sequence);

  /// The commit point. Returns true if the task has to be sent to the upstream now, and false if
  /// the session is fenced, the number is not waiting (sealed, cancelled or started), or `now` has
  /// reached `deadline`, which seals the number.
  bool start(const session_key& session, std::uint64_t sequence, monotonic_time now,
             monotonic_time deadline);

  /// Records the end of a started task. Precondition: `start` returned true for the number and
  /// `finish` was not called for it.
  finish_result finish(const entry_key& entry, std::uint64_t sequence, upstream_outcome outcome);

  /// Drops outcomes that the entry has received. Numbers that have not finished are ignored.
  void acknowledge(const entry_key& entry, std::span<const std::uint64_t> sequences);

  /// Drops all outcomes of an entry, once a message proves that it received them.
  void acknowledge_all(const entry_key& entry);

  /// Seals a task that has not started, even if it has not been received.
  cancel_result cancel(const session_key& session, std::uint64_t sequence);

  /// The outcome of a task that has ended and is not acknowledged, otherwise null.
  const upstream_outcome* outcome(const entry_key& entry, std::uint64_t sequence) const;

  /// Marks the outcome as sent to the entry. Returns true if it had been sent before.
  bool mark_sent(const entry_key& entry, std::uint64_t sequence);

  /// Whether the task was started and has not ended.
  bool is_running(const entry_key& entry, std::uint64_t sequence) const;

  /// Removes entries that have had no session for the retention time and have no running task.
  /// Returns the number of unacknowledged outcomes that were dropped.
  std::size_t expire(monotonic_time now) { return expire(now, limits_.state_retention); }

  /// The same with the given retention time.
  std::size_t expire(monotonic_time now, std::chrono::milliseconds retention);

  std::size_t running() const { return running_; }
  std::size_t unacknowledged() const;
  /// Number of unacknowledged outcomes of one entry.
  std::size_t unacknowledged(const entry_key& entry) const;
  /// Outcomes evicted because an entry exceeded `max_unacknowledged`.
  std::uint64_t evicted_outcomes() const { return evicted_outcomes_; }
  /// Numbers of entries and records, for tests of the memory bound.
  std::size_t entry_count() const { return entries_.size(); }
  std::size_t record_count() const;

private:
  enum class record_state : std::uint8_t { waiting, running, finished, acknowledged, sealed };
  struct record {
    record_state state = record_state::waiting;
    std::uint64_t counter = 0;
    bool sent = false;
    upstream_outcome outcome;
  };
  struct entry_state {
    std::uint64_t counter = 0;
    bool connected = false;
    monotonic_time disconnected_at{};
    std::map<std::uint64_t, record> records;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t finished = 0;
    /// Numbers up to this one without a record can no longer be accepted.
    std::uint64_t sealed_watermark = 0;
    /// Numbers up to this one without a record may have run.
    std::uint64_t unknown_watermark = 0;
  };

  entry_state* find_current(const session_key& session);
  static std::vector<std::uint64_t> seal_waiting(entry_state& state);
  static resumed_task resume(entry_state& state, std::uint64_t sequence);
  static void acknowledge_records(entry_state& state, std::span<const std::uint64_t> sequences);
  void trim_records(entry_state& state);
  void evict_excess_outcomes(entry_state& state);

  std::uint64_t agent_incarnation_;
  commit_table_limits limits_;
  std::map<entry_key, entry_state> entries_;
  std::size_t running_ = 0;
  std::uint64_t evicted_outcomes_ = 0;
};

} // namespace parsleylead

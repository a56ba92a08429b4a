#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/base/uuid.hpp"
#include "parsleylead/job/task_attempt.hpp"
#include "parsleylead/session/sequence_allocator.hpp"
#include "parsleylead/settings/entry_settings.hpp"

namespace parsleylead {

enum class session_state {
  open,
  /// A probe is unanswered; no new dispatches.
  probing,
  /// A new connection is being opened.
  resuming,
  /// Declared lost, or never opened.
  lost,
};

enum class session_action {
  none,
  /// Send a probe.
  probe,
  /// Open a new connection and a session with `start_session`.
  reopen,
  /// Call `mark_lost` and end the returned dispatches as unknown.
  declare_lost,
};

/// A dispatch without a known outcome.
struct outstanding_dispatch {
  std::uint64_t sequence = 0;
  uuid submission;
  task_attempt task;
  monotonic_time sent;
};

/// State of a dispatch as the agent reports it when a session is resumed.
enum class reported_state { finished, failed, not_run, running, unknown };

struct dispatch_report {
  std::uint64_t sequence = 0;
  reported_state state = reported_state::unknown;
};

/// State of an outstanding dispatch after a resume. Running dispatches stay outstanding and have to
/// be collected; all others are no longer outstanding.
struct resumed_dispatch {
  outstanding_dispatch dispatch;
  reported_state state = reported_state::unknown;
};

/// Contents of the message that opens a session.
struct session_hello {
  std::uint64_t counter = 0;
  /// 0 before the first session.
  std::uint64_t agent_incarnation = 0;
  std::vector<std::uint64_t> outstanding;
  std::vector<std::uint64_t> acknowledged;
};

/// Tracks an entry's session with one agent and its outstanding dispatches (design, D1). Not
/// thread-safe.
class dispatch_ledger {
public:
  /// Delay before the next attempt after an attempt to reopen the session failed.
  static constexpr std::chrono::milliseconds reopen_interval{100};

  /// `settings` and `allocator` must outlive the ledger. The initial state is `lost`.
  dispatch_ledger(const session_settings& settings, sequence_allocator& allocator)
      : settings_(settings), allocator_(allocator) {}

  session_state state() const { return state_; }
  /// Whether the session accepts new dispatches.
  bool can_dispatch() const { return state_ == session_state::open; }
  /// Counter of the session that `start_session` returned last.
  std::uint64_t counter() const { return counter_; }

  /// Records a new dispatch and returns its sequence number, or nothing unless `can_dispatch`.
  std::optional<std::uint64_t> dispatch(const uuid& submission, task_attempt task,
                                        monotonic_time now);
  /// Removes a dispatch that has an outcome and returns it. Returns nothing and counts a duplicate
  /// if the number is not outstanding. `acknowledge`: the agent retains the result until the number
  /// is acknowledged.
  std::optional<outstanding_dispatch> finish(std::uint64_t sequence, bool acknowledge);
  /// Null if the number is not outstanding.
  const outstanding_dispatch* find(std::uint64_t sequence) const;
  /// Outstanding sequence numbers of one submission, to cancel them.
  std::vector<std::uint64_t> sequences_of(const uuid& submission) const;

  /// Called for every message received in the current session.
  void on_frame_received(monotonic_time now);
  /// Called when the connection breaks; it is reopened immediately.
  void on_disconnected(monotonic_time now);
  /// Called when an attempt to reopen the session fails.
  void on_reopen_failed(monotonic_time now);
  /// Returns the action that is due, which the caller has to perform. `declare_lost` is returned
  /// again until `mark_lost` is called. If the call is late because the process was paused, the
  /// session is reopened once more before it is declared lost.
  session_action next_action(monotonic_time now);
  /// When to call `next_action` again; nothing in state `lost`.
  std::optional<monotonic_time> next_action_at() const;

  /// Returns the acknowledgements to send with the next call and removes them.
  std::vector<std::uint64_t> take_acknowledgements();

  /// Starts the first or a later session. Each call returns a higher counter; when the agent
  /// accepts the session, it fences all earlier ones.
  session_hello start_session(monotonic_time now);
  /// Called when the agent accepts the session with this counter. Returns the state of each
  /// outstanding dispatch: unknown if the reply omits it or the agent's incarnation has changed. If
  /// a later `start_session` has superseded the counter, returns an empty list and changes nothing.
  std::vector<resumed_dispatch> resume(std::uint64_t counter, std::uint64_t agent_incarnation,
                                       const std::vector<dispatch_report>& reply,
                                       monotonic_time now);
  /// Declares the session lost. Returns the dispatches, whose outcomes are then unknown.
  std::vector<outstanding_dispatch> mark_lost();

  std::size_t outstanding() const { return outstanding_.size(); }
  std::size_t duplicates() const { return duplicates_; }

private:
  monotonic_time next_probe_at() const;
  void start_resuming(monotonic_time now, monotonic_time reopen_at);

  const session_settings& settings_;
  sequence_allocator& allocator_;
  session_state state_ = session_state::lost;
  std::uint64_t counter_ = 0;
  std::uint64_t agent_incarnation_ = 0;
  std::map<std::uint64_t, outstanding_dispatch> outstanding_;
  std::vector<std::uint64_t> acknowledgements_;
  std::size_t acknowledged_in_hello_ = 0;
  monotonic_time last_received_;
  monotonic_time outstanding_since_;
  monotonic_time probed_at_;
  monotonic_time resuming_since_;
  monotonic_time reopen_at_;
  std::size_t duplicates_ = 0;
};

} // namespace parsleylead

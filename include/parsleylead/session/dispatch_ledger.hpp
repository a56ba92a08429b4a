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
  /// Given up, or never opened.
  lost,
};

enum class session_action {
  none,
  /// Send a probe.
  probe,
  /// Open a new connection and session with `hello`.
  reopen,
  /// Call `lose` and end the returned dispatches as unknown.
  declare_lost,
};

/// A dispatch without a known outcome.
struct outstanding_dispatch {
  std::uint64_t sequence = 0;
  uuid submission;
  task_attempt task;
  monotonic_time sent;
};

/// The agent's report about one sequence number in the reply to a resume.
enum class reported_state { finished, failed, not_run, running, unknown };

struct dispatch_report {
  std::uint64_t sequence = 0;
  reported_state state = reported_state::unknown;
};

/// Outcome of an outstanding dispatch after a resume. `running` ones stay outstanding and are
/// collected; all others are no longer outstanding.
struct resumed_dispatch {
  outstanding_dispatch dispatch;
  reported_state state = reported_state::unknown;
};

/// What the hello of a new session states.
struct session_hello {
  std::uint64_t counter = 0;
  /// 0 before the first session.
  std::uint64_t agent_incarnation = 0;
  std::vector<std::uint64_t> outstanding;
  std::vector<std::uint64_t> acknowledged;
};

/// The entry's side of D1 for one agent. Not thread-safe.
class dispatch_ledger {
public:
  /// Interval between attempts to reopen when one fails immediately.
  static constexpr std::chrono::milliseconds reopen_interval{100};

  /// `settings` and `allocator` must outlive the ledger. Starts in state `lost`, without a session.
  dispatch_ledger(const session_settings& settings, sequence_allocator& allocator)
      : settings_(settings), allocator_(allocator) {}

  session_state state() const { return state_; }
  /// Only an open session takes new work.
  bool can_dispatch() const { return state_ == session_state::open; }
  /// Counter of the session that `hello` announced last.
  std::uint64_t counter() const { return counter_; }

  /// Starts a dispatch. Nothing unless can_dispatch().
  std::optional<std::uint64_t> dispatch(const uuid& submission, task_attempt task,
                                        monotonic_time now);
  /// A dispatch has an outcome. Nothing if the number is not outstanding (a duplicate, counted).
  /// `acknowledge`: the agent holds a result until it is acknowledged.
  std::optional<outstanding_dispatch> finish(std::uint64_t sequence, bool acknowledge);
  /// Nothing if the number is not outstanding.
  const outstanding_dispatch* find(std::uint64_t sequence) const;
  /// Outstanding sequence numbers of one submission, for `cancel`.
  std::vector<std::uint64_t> sequences_of(const uuid& submission) const;

  /// Any message or answer of the current session arrived.
  void on_frame_received(monotonic_time now);
  /// The connection broke: it is reopened at once.
  void on_disconnected(monotonic_time now);
  /// An attempt to reopen failed.
  void on_reopen_failed(monotonic_time now);
  /// The action that is due; the caller performs it once. `declare_lost` repeats until `lose`. A
  /// process that asks late, because it was paused, tries to reopen once more first.
  session_action next_action(monotonic_time now);
  /// When `next_action` has to be asked again; nothing in state `lost`.
  std::optional<monotonic_time> next_action_at() const;

  /// Acknowledgements to piggyback on the next call; they are not returned again.
  std::vector<std::uint64_t> take_acknowledgements();

  /// Starts a new session, the first or a later one. The counter is higher at each call. All
  /// earlier sessions are fenced by the agent when it accepts this one.
  session_hello start_session(monotonic_time now);
  /// The agent accepted the session with this counter. Reports each outstanding dispatch; numbers
  /// that the reply omits, and all of a different agent incarnation, are unknown. Returns nothing
  /// and changes nothing if a later hello has superseded the counter.
  std::vector<resumed_dispatch> resume(std::uint64_t counter, std::uint64_t agent_incarnation,
                                       const std::vector<dispatch_report>& reply,
                                       monotonic_time now);
  /// Gives the agent up. Returns the dispatches that are now unknown.
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

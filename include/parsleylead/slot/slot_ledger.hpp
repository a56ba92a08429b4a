#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "parsleylead/slot/slot_demand.hpp"

namespace parsleylead {

/// Identifies an open session of the agent; never reused.
using session_id = std::uint64_t;

/// Identifies a dispatch at the agent; never reused.
using slot_ticket = std::uint64_t;

/// A number of credits granted to or recalled from one session.
struct session_credits {
  session_id session = 0;
  std::uint32_t credits = 0;

  bool operator==(const session_credits&) const = default;
};

/// Messages to send and dispatches to start after an operation.
struct slot_actions {
  /// Credits granted to the session that called the operation, to be sent with its reply.
  std::uint32_t reply_credits = 0;
  /// Credits to be sent in grant messages.
  std::vector<session_credits> grants;
  /// Unused credits to recall.
  std::vector<session_credits> recalls;
  /// Queued dispatches that now occupy a slot and have to be started.
  std::vector<slot_ticket> starts;
};

/// Result of `slot_ledger::dispatch`.
enum class slot_result : std::uint8_t { slot_taken, queued, no_free_slot };

/// Allocates the agent's slots to dispatches and credits (design, D3). At any time
/// running + granted <= slots, except after the number of slots was reduced, until enough tasks
/// have ended.
///
/// A freed slot is given to the first queued dispatch, else to the session with the most urgent
/// demand (round-robin among sessions with equal keys), else to the session whose task ended,
/// unless it then exceeds an even share of the slots plus the remainder. A slot that is neither
/// used nor granted is available to any dispatch and any `request_credits`. Used on the control
/// thread only.
class slot_ledger {
public:
  /// `max_queued` limits the number of dispatches that wait for a slot.
  explicit slot_ledger(std::size_t max_queued = 4096) : max_queued_(max_queued) {}

  /// Adds a session. Its initial credits, in `reply_credits`, are an even share of the slots among
  /// `expected_sessions`, the number of known entries, so that the first session doesn't get all.
  slot_actions open(session_id session, std::size_t expected_sessions);

  /// Removes a session. Frees its credits and drops its queued dispatches.
  slot_actions close(session_id session);

  /// Allocates a slot to a dispatch: uses one of the session's credits, else a free slot, else
  /// queues the dispatch if `queue_if_busy`. `demand` replaces the session's demand. The first
  /// dispatch with `queue_if_busy` switches the ledger to queueing: all credits become void, and
  /// sessions get no credits without demand until all of them have closed.
  slot_result dispatch(session_id session, slot_ticket ticket, slot_demand demand,
                       bool queue_if_busy, slot_actions& actions);

  /// Number of credits to return with the refusal of a dispatch that was refused for another reason
  /// than a missing slot: 1 if the session holds a credit, which the entry counts as spent.
  std::uint32_t refundable_credits(session_id session);

  /// Frees the slot of a task that ended. `session` receives the result and possibly a new credit;
  /// a closed session gets none.
  slot_actions end_task(session_id session);

  /// Removes a queued dispatch. Returns false if it is not queued.
  bool remove_queued(slot_ticket ticket);

  /// Replaces the demand of a session and recalls unused credits of others if slots are missing.
  /// The credits granted immediately are in `reply_credits`.
  slot_actions request_credits(session_id session, slot_demand demand);

  /// Ends a recall after its reply or its timeout; after a timeout, `returned` equals `requested`.
  slot_actions on_recall_answer(session_id session, std::uint32_t requested,
                                std::uint32_t returned);

  /// Frees unused credits that a session returns, and removes its demand.
  slot_actions return_credits(session_id session, std::uint32_t credits);

  /// Sets the number of slots after the upstream was announced, changed, or became absent (0
  /// slots). With 0 slots all credits become void and the queue is emptied; the caller has to
  /// inform the sessions and refuse the queued dispatches.
  slot_actions resize(std::uint32_t slots, std::size_t expected_sessions);

  std::uint32_t slots() const { return slots_; }
  std::uint32_t running() const { return running_; }
  std::uint32_t granted() const { return granted_; }
  /// Slots that neither run a task nor are granted as credits.
  std::uint32_t free_slots() const;
  std::uint32_t credits(session_id session) const;
  std::size_t queued() const { return queue_.size(); }
  std::size_t session_count() const { return sessions_.size(); }

private:
  struct session_state {
    std::uint32_t credits = 0;
    std::uint32_t recalled = 0;
    slot_demand demand;
    /// Position in the round-robin among sessions with equal keys; the lowest is next.
    std::uint64_t demand_order = 0;
  };
  struct queued_dispatch {
    session_id session = 0;
    slot_ticket ticket = 0;
  };
  using session_iterator = std::map<session_id, session_state>::iterator;

  void store_demand(session_state& state, slot_demand demand);
  void start_queueing();
  void void_credits();
  void remove_credits(session_state& state, std::uint32_t credits);
  void grant_credits(session_state& state, std::uint32_t credits);
  session_iterator find_most_urgent();
  std::uint32_t session_share(std::size_t sessions, bool with_remainder) const;
  /// Gives free slots to queued dispatches, then to sessions with demand. Credits of `requester` go
  /// to `reply_credits`, all others to `grants`.
  void distribute(session_id requester, slot_actions& actions);
  void recall_credits_for(session_id session, slot_actions& actions);
  void check_invariants();

  std::size_t max_queued_;
  std::uint32_t slots_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t granted_ = 0;
  bool shrinking_ = false;
  bool queueing_ = false;
  std::uint64_t next_demand_order_ = 1;
  std::map<session_id, session_state> sessions_;
  std::deque<queued_dispatch> queue_;
};

} // namespace parsleylead

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "parsleylead/slot/slot_demand.hpp"

namespace parsleylead {

/// Number that the agent gives to an open session; never used twice.
using session_id = std::uint64_t;

/// Number that the agent gives to a dispatch; never used twice.
using slot_ticket = std::uint64_t;

/// A number of credits for one session.
struct session_credits {
  session_id session = 0;
  std::uint32_t credits = 0;

  bool operator==(const session_credits&) const = default;
};

/// Messages and starts that follow from an operation.
struct slot_actions {
  /// Credits of the session that the operation is for; they ride on its answer.
  std::uint32_t reply_credits = 0;
  /// Credits that need a grant message.
  std::vector<session_credits> grants;
  /// Unused credits to ask back.
  std::vector<session_credits> recalls;
  /// Queued dispatches that now hold a slot and have to be started.
  std::vector<slot_ticket> starts;
};

/// What became of a dispatch.
enum class slot_result : std::uint8_t { slot_taken, queued, no_free_slot };

/// The agent's slots and the credits granted for them (design, D3). At any time running + granted
/// <= slots, except after the number of slots was reduced, until enough tasks have ended.
///
/// A freed slot goes to the first queued dispatch, else to the session with the most urgent demand
/// (sessions with equal keys take turns in the order
/// in which they stated their demand), else back to the session whose task ended, as long as
/// that session does not exceed an even share plus the remainder. A slot that nobody holds is free
/// for any dispatch and any `request_credits`. Used on the control thread only.
class slot_ledger {
public:
  /// At most `max_queued` dispatches wait for a slot.
  explicit slot_ledger(std::size_t max_queued = 4096) : max_queued_(max_queued) {}

  /// A session opened. `expected_sessions` is the number of entries known, so that the first one
  /// does not get every slot. The session's initial credits are in `reply_credits`.
  slot_actions open(session_id session, std::size_t expected_sessions);

  /// A session ended: its credits return and its queued dispatches are dropped.
  slot_actions close(session_id session);

  /// A dispatch arrived. It takes one of the session's credits, else a free slot, else it waits if
  /// `queue_if_busy`. `demand` replaces the session's demand. The first dispatch with
  /// `queue_if_busy` switches the ledger to queueing: all credits are void and none are granted
  /// unasked, until no session is left.
  slot_result dispatch(session_id session, slot_ticket ticket, slot_demand demand,
                       bool queue_if_busy, slot_actions& actions);

  /// A dispatch was refused for another reason than a missing slot. Returns the credit that it had
  /// spent, if any; the credit rides on the refusal.
  std::uint32_t refundable_credits(session_id session);

  /// A task that held a slot ended. `session` is the one that would receive the result; a closed
  /// session gets no credits.
  slot_actions end_task(session_id session);

  /// Removes a queued dispatch. False if it does not wait.
  bool remove_queued(slot_ticket ticket);

  /// A session states its demand. The credits granted now are in `reply_credits`.
  slot_actions request_credits(session_id session, slot_demand demand);

  /// The answer to a recall, or its time-out (then `returned` is `requested`).
  slot_actions on_recall_answer(session_id session, std::uint32_t requested,
                                std::uint32_t returned);

  /// A session returns unused credits.
  slot_actions return_credits(session_id session, std::uint32_t credits);

  /// The upstream was announced, changed, or is absent (0 slots). With 0 slots all credits are void
  /// and queued dispatches are dropped; the caller tells the sessions and refuses the dispatches.
  slot_actions resize(std::uint32_t slots, std::size_t expected_sessions);

  std::uint32_t slots() const { return slots_; }
  std::uint32_t running() const { return running_; }
  std::uint32_t granted() const { return granted_; }
  /// Slots that neither run a task nor are granted.
  std::uint32_t free_slots() const;
  std::uint32_t credits(session_id session) const;
  std::size_t queued() const { return queue_.size(); }
  std::size_t session_count() const { return sessions_.size(); }

private:
  struct session_state {
    std::uint32_t credits = 0;
    std::uint32_t recalled = 0;
    slot_demand demand;
    /// Order in which the demand was first stated.
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
  /// Gives free slots to queued dispatches and to demand. `requester` gets its credits in
  /// `reply_credits`.
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

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace parsleylead {

/// Totals of credits. At any time granted = spent + returned + voided + unused.
struct credit_totals {
  std::uint64_t granted = 0;
  std::uint64_t spent = 0;
  /// Returned to the agent, after a recall or unasked.
  std::uint64_t returned = 0;
  /// Invalidated with their session or by the agent.
  std::uint64_t voided = 0;
  std::uint64_t unused = 0;

  bool balances() const { return granted == spent + returned + voided + unused; }
  bool operator==(const credit_totals&) const = default;
};

/// Tracks the credits that an entry holds from each worker (design, D3). Calls for a session other
/// than the worker's current one change nothing, because credits of a fenced session are void. Not
/// thread-safe.
class credit_book {
public:
  /// Starts a session; voids the unused credits of the worker's earlier session.
  void open(const std::string& worker, std::uint64_t session);
  /// Ends the worker's session and voids its unused credits.
  void close(const std::string& worker);
  /// Voids the unused credits of the session, which stays open, after the agent's `leaving`
  /// message.
  void void_credits(const std::string& worker, std::uint64_t session);

  /// Adds credits. Returns false and ignores them if the session is not current.
  /// `dedicated_message`: they arrived in a message that carried nothing else.
  bool grant(const std::string& worker, std::uint64_t session, std::uint32_t credits,
             bool dedicated_message = false);
  /// Spends one credit. Returns false if there is none.
  bool spend(const std::string& worker);
  /// Removes at most `max_credits` unused credits of the session and returns their number.
  std::uint32_t return_unused(const std::string& worker, std::uint64_t session,
                              std::uint32_t max_credits);

  std::uint32_t unused(const std::string& worker) const;
  /// Current session of the worker, 0 for none.
  std::uint64_t session(const std::string& worker) const;
  const credit_totals& totals() const { return totals_; }
  /// Number of grant messages whose credits were all returned or voided unspent, since the last
  /// call.
  std::uint64_t take_unused_grants();

private:
  struct worker_state {
    std::uint64_t session = 0;
    std::uint32_t unused = 0;
    /// For each unused credit, oldest first, the number of its grant message, or 0 if it arrived in
    /// another message. The oldest credit is spent first, the newest is returned first.
    std::deque<std::uint64_t> grant_numbers;
    std::uint64_t last_spent_grant = 0;
  };
  worker_state* find_current(const std::string& worker, std::uint64_t session);
  void void_unused(worker_state& state);
  /// Drops the newest `count` credits.
  void drop_newest(worker_state& state, std::uint32_t count);

  std::map<std::string, worker_state> workers_;
  credit_totals totals_;
  std::uint64_t last_grant_number_ = 0;
  std::uint64_t unused_grants_ = 0;
};

} // namespace parsleylead

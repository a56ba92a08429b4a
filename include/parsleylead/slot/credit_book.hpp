#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace parsleylead {

/// Credits of one worker session or of all; granted = spent + returned + voided + unused.
struct credit_totals {
  std::uint64_t granted = 0;
  std::uint64_t spent = 0;
  /// Given up after a recall or without being asked.
  std::uint64_t returned = 0;
  /// Lost with their session.
  std::uint64_t voided = 0;
  std::uint64_t unused = 0;

  bool balances() const { return granted == spent + returned + voided + unused; }
  bool operator==(const credit_totals&) const = default;
};

/// The entry's credits of each worker session (D3). Calls for a session other than the worker's
/// current one change nothing: credits of a fenced session are void. Not thread-safe.
class credit_book {
public:
  /// Starts a session; unused credits of the worker's earlier session become void.
  void open(const std::string& worker, std::uint64_t session);
  /// Ends the worker's session; its unused credits become void.
  void close(const std::string& worker);
  /// The agent voided all credits of the session, which stays open (`leaving`).
  void void_credits(const std::string& worker, std::uint64_t session);

  /// False if the session is not current; the credits are then ignored.
  /// `dedicated_message`: they came in a message that carried nothing else.
  bool grant(const std::string& worker, std::uint64_t session, std::uint32_t credits,
             bool dedicated_message = false);
  /// Spends one credit. False if there is none.
  bool spend(const std::string& worker);
  /// Gives up at most `max_credits` unused credits of the session and returns their number.
  std::uint32_t return_unused(const std::string& worker, std::uint64_t session,
                              std::uint32_t max_credits);

  std::uint32_t unused(const std::string& worker) const;
  /// Current session of the worker, 0 for none.
  std::uint64_t session(const std::string& worker) const;
  const credit_totals& totals() const { return totals_; }
  /// Grant messages none of whose credits was spent before all were given up or voided. Each is
  /// returned once.
  std::uint64_t take_unused_grants();

private:
  struct worker_state {
    std::uint64_t session = 0;
    std::uint32_t unused = 0;
    /// For each unused credit the number of the grant message that brought it, 0 for none. The
    /// oldest credit is spent first, the newest is given up first.
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

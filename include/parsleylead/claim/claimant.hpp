#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "parsleylead/base/reason.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/claim/claim_table.hpp"

namespace parsleylead {

enum class claim_verdict : std::uint8_t { granted, duplicate, refused };

/// The answer to one request for a claim. Each request gets exactly one.
struct claim_decision {
  uuid key;
  uuid submission;
  claim_verdict verdict = claim_verdict::refused;
  /// Set for a duplicate.
  std::optional<claim_holder> holder;
  /// Set for a duplicate (duplicate_key) and a refusal (invalid_key, also for a key that belongs to
  /// another request; key_expired; claim_unavailable). Both mean: not run.
  reason cause = reason::none;
  std::string detail;
};

/// A record to append. It is appended as it is, also when it is handed out again.
struct claim_batch {
  uuid id;
  std::string payload;
};

struct claimant_options {
  claim_rules rules;
  std::string entry_name;
  /// RPC address of this entry.
  std::string entry_address;
  std::chrono::milliseconds min_append_interval{10};
  /// Pause before a failed append is repeated; doubles up to `max_retry_interval`.
  std::chrono::milliseconds min_retry_interval{50};
  std::chrono::milliseconds max_retry_interval{1000};
  /// Outcomes wait at most this long for a batch with claims to travel with.
  std::chrono::milliseconds outcome_delay{100};
  /// Undecided requests; more are refused.
  std::size_t max_requests = 4096;
  std::size_t max_outcomes = 4096;
  /// Answers above this size are not logged.
  std::size_t max_logged_answer_bytes = 16UL * 1024;
  std::size_t max_batch_items = 512;
  std::size_t max_batch_answer_bytes = 256UL * 1024;
  /// Memory for the answers of all entries.
  std::size_t max_cached_answer_bytes = 32UL * 1024 * 1024;
};

struct claimant_statistics {
  std::uint64_t batches = 0;
  std::uint64_t repeated_batches = 0;
  std::uint64_t granted = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t refused = 0;
  std::uint64_t releases = 0;
  std::uint64_t dropped_outcomes = 0;
};

/// Decides the claims of one entry in one claim stream (docs/design.md, D5). Performs no I/O: the
/// user appends the batches, reports the results and hands over the records that it reads.
/// `now` never decreases. Not thread-safe: control thread only.
class claimant {
public:
  /// `first_offset` is the first offset that will be read, see `claim_rules::replay_start`.
  claimant(claimant_options options, std::uint64_t first_offset);

  /// Asks for the right to run the request with this key. Returns the decision if it is known
  /// already; otherwise it follows from `on_records` or `expire`. A submission asks once.
  /// `digest` is that of the request: a key whose holder has another one is refused.
  std::optional<claim_decision> request_claim(const uuid& key, const uuid& submission,
                                              std::uint64_t digest, monotonic_time deadline,
                                              monotonic_time now);

  /// Gives up a granted claim. Precondition: nothing of the submission was dispatched, and nothing
  /// of it will be.
  void release(const uuid& key, const uuid& submission);

  /// Forgets an undecided request, for example because its caller cancelled it. Releases the claim
  /// if it may have been appended. Does nothing if the request was decided.
  void cancel_request(const uuid& submission);

  /// Logs how a granted submission ended.
  void record_outcome(const uuid& key, const uuid& submission, std::string state,
                      std::optional<std::string> answer, monotonic_time now);

  /// The batch to append now, if one is due. Until `on_append_ok` or `on_append_error` there is no
  /// other one. First expire what is past its deadline.
  std::optional<claim_batch> next_batch(monotonic_time now);

  /// When to call `next_batch` or `expire` next; nothing if only a call of another method can
  /// change anything.
  std::optional<monotonic_time> next_due() const;

  /// The append succeeded.
  void on_append_ok(std::uint64_t offset);
  /// The append failed; its effect is unknown.
  void on_append_error(monotonic_time now);

  /// Applies what was read from the stream, in order. Also called for an empty read. Returns the
  /// decisions. A claim that was won is granted only before its deadline.
  std::vector<claim_decision> on_records(std::span<const log_record> records, monotonic_time now);

  /// Refuses the requests whose deadline has passed, as claim_unavailable.
  std::vector<claim_decision> expire(monotonic_time now);

  /// True if nothing is undecided, queued or in flight: the process may end.
  bool idle() const;

  const claim_table& table() const { return table_; }
  const claimant_statistics& statistics() const { return statistics_; }

private:
  struct request {
    uuid key;
    std::uint64_t digest = 0;
    monotonic_time deadline;
    /// The claim was handed out for appending.
    bool batched = false;
  };
  struct in_flight_batch {
    explicit in_flight_batch(claim_batch contents) : batch(std::move(contents)) {}

    claim_batch batch;
    bool appending = true;
    /// Its record was read, so its effect is known.
    bool record_read = false;
    bool read_since_error = false;
    std::uint32_t failures = 0;
    monotonic_time retry_at{};
  };
  struct queued_outcome {
    outcome_item item;
    monotonic_time queued_at;
  };

  claim_decision refuse(const uuid& key, const uuid& submission, reason cause, std::string detail);
  claim_decision decide_lost(const uuid& key, const uuid& submission, std::uint64_t digest,
                             claim_holder holder);
  claim_decision decide(const applied_claim& claim, const request& pending, monotonic_time now);
  claim_decision decide_won(const applied_claim& claim, const request& pending, monotonic_time now);
  void withdraw_claim(const uuid& submission, const request& pending);
  void queue_release(const uuid& key, const uuid& submission);
  void erase_request(const uuid& submission);
  std::optional<monotonic_time> append_due_at() const;
  claim_record build_record();
  void add_claims(claim_record& record);
  void add_releases(claim_record& record);
  void add_outcomes(claim_record& record);
  void finish_batch_if_known();
  void check_invariants() const;

  claimant_options options_;
  claim_table table_;
  std::map<uuid, request> requests_;
  /// Deadlines of `requests_`.
  std::set<std::pair<monotonic_time, uuid>> deadlines_;
  /// Submissions whose claims wait for a batch.
  std::deque<uuid> queued_claims_;
  std::deque<release_item> queued_releases_;
  std::deque<queued_outcome> queued_outcomes_;
  std::optional<in_flight_batch> in_flight_;
  std::optional<monotonic_time> last_append_;
  claimant_statistics statistics_;
};

} // namespace parsleylead

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

/// The decision on one requested claim. Each request gets exactly one.
struct claim_decision {
  uuid key;
  uuid submission;
  claim_verdict verdict = claim_verdict::refused;
  /// Set for a duplicate.
  std::optional<claim_holder> holder;
  /// Set for a duplicate (`duplicate_key`) and for a refusal (`invalid_key`, also if the key
  /// belongs to another request, `key_expired`, `claim_unavailable` or `internal`). In both cases
  /// the request is not run.
  reason cause = reason::none;
  std::string detail;
};

/// An encoded record to append. A retry returns the same id and payload.
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
  /// Delay before a failed append is retried; doubles up to `max_retry_interval`.
  std::chrono::milliseconds min_retry_interval{50};
  std::chrono::milliseconds max_retry_interval{1000};
  /// Longest time that outcomes wait for a batch that also contains claims or releases.
  std::chrono::milliseconds outcome_delay{100};
  /// Limit of undecided requests; further requests are refused.
  std::size_t max_requests = 4096;
  std::size_t max_outcomes = 4096;
  /// Answers above this size are not logged.
  std::size_t max_logged_answer_bytes = 16UL * 1024;
  std::size_t max_batch_items = 512;
  std::size_t max_batch_answer_bytes = 256UL * 1024;
  /// Memory limit for answers, including those of other entries.
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

/// Requests and decides the claims of one entry in one claim stream (docs/design.md, D5). Performs
/// no I/O: the caller appends the batches, reports the results and passes in the records that it
/// reads. `now` must not decrease between calls. Used on the control thread only.
class claimant {
public:
  /// `first_offset` is the first offset to be read, see `claim_rules::replay_start`.
  claimant(claimant_options options, std::uint64_t first_offset);

  /// Requests the claim of `key`, which permits the submission to run. Returns the decision if it
  /// is already known; otherwise `on_records` or `expire` returns it later. May be called once for
  /// each submission. `digest` identifies the request: if the key's holder has a different one, the
  /// claim is refused.
  std::optional<claim_decision> request_claim(const uuid& key, const uuid& submission,
                                              std::uint64_t digest, monotonic_time deadline,
                                              monotonic_time now);

  /// Releases a granted claim. Precondition: no task of the submission was or will be dispatched.
  void release(const uuid& key, const uuid& submission);

  /// Removes an undecided request, for example one that its caller cancelled, and releases its
  /// claim if that may have been appended. No effect if the request has been decided.
  void cancel_request(const uuid& submission);

  /// Queues a record of how a granted submission ended.
  void record_outcome(const uuid& key, const uuid& submission, std::string state,
                      std::optional<std::string> answer, monotonic_time now);

  /// Returns the batch to append now, if one is due. There is no further batch until `on_append_ok`
  /// or `on_append_error`. Call `expire` first.
  std::optional<claim_batch> next_batch(monotonic_time now);

  /// When to call `expire` and `next_batch` next; nothing if neither is due before another method
  /// is called.
  std::optional<monotonic_time> next_due() const;

  /// Called when the append succeeded.
  void on_append_ok(std::uint64_t offset);
  /// Called when the append failed. The record may have been appended nevertheless.
  void on_append_error(monotonic_time now);

  /// Applies records read from the stream, in order, and returns the resulting decisions. To be
  /// called for empty reads too. A won claim is granted only before its deadline.
  std::vector<claim_decision> on_records(std::span<const log_record> records, monotonic_time now);

  /// Refuses the requests whose deadline has passed, with `claim_unavailable`.
  std::vector<claim_decision> expire(monotonic_time now);

  /// True if nothing is undecided, queued or in flight, so that the process may exit.
  bool idle() const;

  const claim_table& table() const { return table_; }
  const claimant_statistics& statistics() const { return statistics_; }

private:
  struct request {
    uuid key;
    std::uint64_t digest = 0;
    monotonic_time deadline;
    /// The claim is part of a batch and may have been appended.
    bool batched = false;
  };
  struct in_flight_batch {
    explicit in_flight_batch(claim_batch contents) : batch(std::move(contents)) {}

    claim_batch batch;
    bool appending = true;
    /// The record was read from the stream, so the append took effect.
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

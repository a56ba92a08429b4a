#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/claim/claim_record.hpp"
#include "parsleylead/claim/claim_rules.hpp"
#include "parsleylead/platform_log/log_service.hpp"

namespace parsleylead {

/// How a submission ended, according to the log.
struct claim_outcome {
  std::string state;
  /// Absent if the answer was too large or has been evicted.
  std::optional<std::string> answer;

  bool operator==(const claim_outcome&) const = default;
};

/// The submission that holds a key.
struct claim_holder {
  uuid submission;
  std::string entry_name;
  std::string entry_address;
  std::optional<claim_outcome> outcome;
  /// Digest of the holder's request, if its claim contains one.
  std::optional<std::uint64_t> digest;

  bool operator==(const claim_holder&) const = default;
};

/// Result of a claim item.
enum class claim_result : std::uint8_t {
  won,
  /// Another submission holds the key.
  lost,
  /// The submission has won, lost or released the key before; the item has no effect.
  repeated,
  expired,
  too_far_ahead,
  not_v7,
};

/// A claim item that was read from the log.
struct applied_claim {
  uuid key;
  uuid submission;
  claim_result result = claim_result::repeated;
  /// The holder of the key, for a lost claim.
  std::optional<claim_holder> holder;
};

/// The claims of one record and their results.
struct applied_claim_record {
  std::optional<uuid> id;
  std::vector<applied_claim> claims;
};

struct claim_table_statistics {
  std::uint64_t bad_items = 0;
  std::uint64_t invalid_keys = 0;
  std::uint64_t ignored_outcomes = 0;
  std::uint64_t gaps = 0;
  std::uint64_t evicted_answers = 0;
};

/// A replica of one claim stream. Its state is a deterministic function of the log's records,
/// except for the answers, which are a bounded cache. Used on the control thread only.
class claim_table {
public:
  /// `next_offset` is the first offset to be read. `max_answer_bytes` limits the memory for
  /// answers; the oldest are evicted first.
  claim_table(claim_rules rules, std::uint64_t next_offset, std::size_t max_answer_bytes);

  /// Applies one record. Returns nothing if it was applied before.
  std::optional<applied_claim_record> apply(const log_record& record);

  /// The holder of a key, if there is one and the key has not expired.
  std::optional<claim_holder> find(const uuid& key) const;

  /// False if the log dropped unread records that may contain claims of the key. The key must then
  /// not be granted.
  bool has_complete_history(const uuid& key) const;

  std::uint64_t next_offset() const { return next_offset_; }
  /// Latest append time of the records read.
  wall_time log_time() const { return log_time_; }
  std::size_t size() const { return keys_.size(); }
  const claim_rules& rules() const { return rules_; }
  const claim_table_statistics& statistics() const { return statistics_; }
  /// Digest of the holders, outcome states and ineligible submissions. Equal at replicas that
  /// applied the same records.
  std::uint64_t digest() const;

private:
  struct key_state {
    std::optional<uuid> holder;
    std::uint32_t entry = 0;
    std::optional<std::uint64_t> digest;
    std::string outcome;
    std::optional<std::string> answer;
    /// Submissions that lost or released the key and can't hold it any more.
    std::vector<uuid> ineligible;
  };
  using entry_identity = std::pair<std::string, std::string>;

  bool count_if_invalid(const uuid& key, wall_time append_time);
  applied_claim apply_claim(const claim_item& item, wall_time append_time);
  claim_result evaluate_claim(const claim_item& item, wall_time append_time);
  void apply_release(const release_item& item, wall_time append_time);
  void apply_outcome(outcome_item item);
  void erase_expired();
  void cache_answer(const uuid& key, std::string answer);
  std::uint32_t intern_entry(const std::string& name, const std::string& address);

  claim_rules rules_;
  std::uint64_t next_offset_;
  std::size_t max_answer_bytes_;
  std::size_t answer_bytes_ = 0;
  wall_time log_time_{};
  std::optional<wall_time> gap_until_;
  /// Ordered by creation time, with which a version 7 key starts.
  std::map<uuid, key_state> keys_;
  std::deque<uuid> cached_answers_;
  std::vector<entry_identity> entries_;
  std::map<entry_identity, std::uint32_t> entry_index_;
  claim_table_statistics statistics_;
};

} // namespace parsleylead

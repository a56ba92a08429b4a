#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "parsleylead/base/uuid.hpp"

namespace parsleylead {

/// A submission's claim to run the request with this key.
struct claim_item {
  uuid key;
  uuid submission;
  std::string entry_name;
  /// RPC address of the entry, "ip:port".
  std::string entry_address;
  /// Digest of the request's kind and payloads; absent if the record has none.
  std::optional<std::uint64_t> digest;

  bool operator==(const claim_item&) const = default;
};

/// Releases a submission's claim permanently. The submission has dispatched nothing.
struct release_item {
  uuid key;
  uuid submission;

  bool operator==(const release_item&) const = default;
};

/// Records how a submission that holds a claim ended.
struct outcome_item {
  uuid key;
  uuid submission;
  /// State of the job as shown to callers: "complete", "failed" or "cancelled".
  std::string state;
  /// The answer; absent if it was too large.
  std::optional<std::string> answer;

  bool operator==(const outcome_item&) const = default;
};

using claim_record_item = std::variant<claim_item, release_item, outcome_item>;

/// One record of a claim stream: items of one entry, in order.
struct claim_record {
  /// Identifies the record if it is appended more than once.
  uuid id;
  std::vector<claim_record_item> items;
};

/// A decoded record. `id` is absent if another program wrote the record.
struct decoded_claim_record {
  std::optional<uuid> id;
  std::vector<claim_record_item> items;
  std::uint32_t bad_items = 0;
};

/// Encodes a record as a JSON array whose first element holds the record's id. Answers that are not
/// valid UTF-8 are omitted. Thread-safe.
std::string encode_claim_record(const claim_record& record);

/// Decodes a record and skips malformed items, which are counted. A payload that isn't a JSON array
/// counts as one bad item. Never throws. Thread-safe.
decoded_claim_record decode_claim_record(std::string_view payload);

/// Name of the claim stream of a key: "claims-<n>", where n is the XXH3 hash of the key's text
/// modulo `partitions`. Precondition: `partitions` > 0. Thread-safe.
std::string claim_stream(const uuid& key, std::uint32_t partitions);

} // namespace parsleylead

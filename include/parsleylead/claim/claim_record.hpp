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
  /// Digest of the request's kind and payloads; nothing in a record that names none.
  std::optional<std::uint64_t> digest;

  bool operator==(const claim_item&) const = default;
};

/// A submission that never dispatched gives its claim up for good.
struct release_item {
  uuid key;
  uuid submission;

  bool operator==(const release_item&) const = default;
};

/// How the claimed submission ended.
struct outcome_item {
  uuid key;
  uuid submission;
  /// State of the job as shown to callers: "complete", "failed" or "cancelled".
  std::string state;
  /// The answer; nothing if it was too large.
  std::optional<std::string> answer;

  bool operator==(const outcome_item&) const = default;
};

using claim_record_item = std::variant<claim_item, release_item, outcome_item>;

/// One record of a claim stream: items of one entry, in order.
struct claim_record {
  /// Identifies the record across repeated appends.
  uuid id;
  std::vector<claim_record_item> items;
};

/// A record as read: `record.id` is nothing for a foreign record.
struct decoded_claim_record {
  std::optional<uuid> id;
  std::vector<claim_record_item> items;
  std::uint32_t bad_items = 0;
};

/// A JSON array of items; the first one holds the record's id. Answers that are not UTF-8 text are
/// left out. Thread-safe.
std::string encode_claim_record(const claim_record& record);

/// Never throws. A payload that is not an array counts as one bad item. Thread-safe.
decoded_claim_record decode_claim_record(std::string_view payload);

/// The stream of a key: "claims-<n>", n being the XXH3 hash of the key's text modulo `partitions`.
/// Precondition: `partitions` is not zero. Thread-safe.
std::string claim_stream(const uuid& key, std::uint32_t partitions);

} // namespace parsleylead

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "parsleylead/catalogue/catalogue_change.hpp"
#include "parsleylead/catalogue/catalogue_entry.hpp"
#include "parsleylead/catalogue/catalogue_snapshot.hpp"

namespace parsleylead {

/// One fault in a document of the catalogue.
struct catalogue_error {
  /// For example "value.limits.queue"; empty for the document itself.
  std::string path;
  /// The value found, as JSON; empty if it is missing.
  std::string value;
  /// What is allowed there.
  std::string allowed;

  bool operator==(const catalogue_error&) const = default;
};

/// One line: "path: value, allowed: ...".
std::string to_string(const catalogue_error& error);

/// A decoded value, or every fault found. Exactly one of both is present.
template <typename T>
struct decode_result {
  std::optional<T> value;
  std::vector<catalogue_error> errors;
};

/// {"subject":"kind","name":"letter-draft","value":{"owner":"desk","class":"urgent",
///  "idempotent":false,"needs":{"cores":1,"memory_mb":512},"limits":{"in_flight":8,"queue":100,
///  "rate_per_s":50,"job_tasks":370,"budget_ms":2000}}}
/// The value of an owner is {"in_flight":..,"rate_per_s":..}, that of a drain is {}. "needs" and
/// its members are optional, everything else is required. Thread-safe, like all functions here;
/// the decoders never throw.
std::string encode_entry(const catalogue_entry& entry);
decode_result<catalogue_entry> decode_entry(std::string_view text);

/// A file with one entry or a list of entries, in which comments are allowed. A subject that occurs
/// twice is a fault.
decode_result<std::vector<catalogue_entry>> decode_entries(std::string_view text);

/// {"type":"change","id":"..","operator":"..","base":0,"action":"put","subject":"kind","name":"..",
///  "value":{..}}; a removal has no value.
std::string encode_change(const catalogue_change& change);
decode_result<catalogue_change> decode_change(std::string_view text);

/// {"type":"snapshot","covered":42,"entries":[..],"tombstones":[..],"digest":"16 hex digits"}
std::string encode_snapshot(const catalogue_snapshot& snapshot);
/// A snapshot whose digest does not match is refused.
decode_result<catalogue_snapshot> decode_snapshot(std::string_view text);

/// XXH3 digest of the canonical form. Equal snapshots have equal digests.
std::uint64_t digest(const catalogue_snapshot& snapshot);

/// True if the payload is meant to be a snapshot, valid or not.
bool is_snapshot(std::string_view payload);

} // namespace parsleylead

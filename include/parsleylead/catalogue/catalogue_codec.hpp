#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "parsleylead/catalogue/catalogue_change.hpp"
#include "parsleylead/catalogue/catalogue_entry.hpp"
#include "parsleylead/catalogue/catalogue_snapshot.hpp"

namespace parsleylead {

/// An error in a catalogue document.
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

/// The decoded value, or all errors found. Exactly one of the two is present.
template <typename T>
struct decode_result {
  std::optional<T> value;
  std::vector<catalogue_error> errors;
};

/// Format of an entry:
/// {"subject":"kind","name":"letter-draft","value":{"owner":"desk","class":"urgent",
///  "idempotent":false,"needs":{"cores":1,"memory_mb":512},"limits":{"in_flight":8,"queue":100,
///  "rate_per_s":50,"job_tasks":370,"budget_ms":2000}}}
/// The value of an owner is {"in_flight":..,"rate_per_s":..}, that of a drain is {}. "needs" and
/// its members are optional, all other members are required. Thread-safe, like all functions in
/// this header. The decoders never throw.
std::string encode_entry(const catalogue_entry& entry);
decode_result<catalogue_entry> decode_entry(std::string_view text);

/// Decodes a file with one entry or a list of entries. Comments are allowed; a subject that occurs
/// twice is an error.
decode_result<std::vector<catalogue_entry>> decode_entries(std::string_view text);

/// Format of a change; a removal has no value:
/// {"type":"change","id":"..","operator":"..","base":0,"action":"put","subject":"kind","name":"..",
///  "value":{..}}
std::string encode_change(const catalogue_change& change);
decode_result<catalogue_change> decode_change(std::string_view text);

/// Format of a snapshot:
/// {"type":"snapshot","covered":42,"entries":[..],"tombstones":[..],"digest":"16 hex digits"}
std::string encode_snapshot(const catalogue_snapshot& snapshot);
/// Decodes a snapshot. A digest that does not match the content is an error.
decode_result<catalogue_snapshot> decode_snapshot(std::string_view text);

/// XXH3 digest of the encoded snapshot. Equal snapshots have equal digests.
std::uint64_t digest(const catalogue_snapshot& snapshot);

/// Whether the payload has the type "snapshot"; its content may still be invalid.
bool is_snapshot(std::string_view payload);

} // namespace parsleylead

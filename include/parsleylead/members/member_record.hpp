#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

/// Name of the log stream in which entries publish their addresses.
inline constexpr std::string_view member_stream = "members";

/// Name and address of an entry.
struct member_record {
  std::string name;
  /// RPC address.
  endpoint address;

  bool operator==(const member_record&) const = default;
};

/// Encodes a record as {"type":"entry","name":"..","address":"ip:port"}. Thread-safe.
std::string encode_member(const member_record& member);

/// Returns `std::nullopt` for a corrupt record or one of another program. Never throws.
/// Thread-safe.
std::optional<member_record> decode_member(std::string_view payload);

} // namespace parsleylead

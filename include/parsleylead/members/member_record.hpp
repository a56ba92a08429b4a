#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

/// Name of the log stream in which entries make their addresses known.
inline constexpr std::string_view member_stream = "members";

/// Where an entry can be reached.
struct member_record {
  std::string name;
  /// RPC address.
  endpoint address;

  bool operator==(const member_record&) const = default;
};

/// {"type":"entry","name":"..","address":"ip:port"}. Thread-safe.
std::string encode_member(const member_record& member);

/// Nothing for a damaged record or one of another program. Never throws. Thread-safe.
std::optional<member_record> decode_member(std::string_view payload);

} // namespace parsleylead

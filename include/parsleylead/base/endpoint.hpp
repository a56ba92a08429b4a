#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace parsleylead {

/// An IP address (never a host name) and a TCP port.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;

  // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
  auto operator<=>(const endpoint&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Errors: kInvalidArgument for a host name, a missing or
/// out-of-range port. Thread-safe.
absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

/// The inverse of `parse_endpoint`.
std::string to_string(const endpoint& value);

} // namespace parsleylead

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/settings/agent_settings.hpp"

namespace parsleylead {

/// The body of `POST /v1/announce`: an upstream's description of itself.
struct upstream_announcement {
  std::string name;
  endpoint address;
  std::vector<std::string> kinds;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint32_t cores = 0;
  std::uint64_t memory_mb = 0;

  bool operator==(const upstream_announcement&) const = default;

  /// Number of tasks that may run at once; each needs a slot and a connection.
  std::uint32_t usable_slots() const { return slots < connections ? slots : connections; }
};

/// Parses the body of an announcement; `defaults` supplies absent optional members. Errors:
/// kInvalidArgument naming the member that is missing or invalid.
absl::StatusOr<upstream_announcement> parse_announcement(std::string_view body,
                                                         const upstream_settings& defaults);

} // namespace parsleylead

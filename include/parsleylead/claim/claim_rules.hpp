#pragma once

#include <chrono>
#include <cstdint>

#include "parsleylead/base/time.hpp"
#include "parsleylead/base/uuid.hpp"

namespace parsleylead {

enum class key_validity : std::uint8_t { valid, not_v7, expired, too_far_ahead };

/// Determines which keys may be claimed (docs/design.md, D5). Must be equal at all entries of a
/// site.
struct claim_rules {
  std::chrono::seconds key_lifetime{3600};
  std::chrono::seconds clock_skew{300};

  /// Validates `key` for a record that the log appended at `append_time`. Depends on the record
  /// only, so that all replicas agree.
  key_validity validate(const uuid& key, wall_time append_time) const;

  /// Log time from which a new replica reads the stream. Three deviations of up to `clock_skew` can
  /// add up: the key's time and the local clock may be ahead of the log's clock, which may step
  /// back.
  wall_time replay_start(wall_time now) const { return now - key_lifetime - 3 * clock_skew; }
};

} // namespace parsleylead

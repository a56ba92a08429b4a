#pragma once

#include <chrono>
#include <cstdint>

#include "parsleylead/base/time.hpp"
#include "parsleylead/base/uuid.hpp"

namespace parsleylead {

enum class key_validity : std::uint8_t { valid, not_v7, expired, too_far_ahead };

/// When a key may be claimed (docs/design.md, D5). The same at all entries of a site.
struct claim_rules {
  std::chrono::seconds key_lifetime{3600};
  std::chrono::seconds clock_skew{300};

  /// Judges a record about `key` that the log appended at `appended`. Depends on the record only,
  /// so all replicas agree.
  key_validity validate(const uuid& key, wall_time appended) const;

  /// A fresh replica reads the stream from this log time on. Each of these may amount to
  /// `clock_skew`: keys ahead of the log's clock, a local clock ahead of it, a step back of it.
  wall_time replay_start(wall_time now) const { return now - key_lifetime - 3 * clock_skew; }
};

} // namespace parsleylead

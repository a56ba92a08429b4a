#pragma once

#include <cstdint>

namespace parsleylead {

/// Waiting work of an entry, as sent to agents. Lower keys are more urgent.
struct demand {
  std::uint64_t key = 0;
  /// Waiting tasks; 0 means no demand.
  std::uint32_t waiting = 0;

  bool none() const { return waiting == 0; }
  bool operator==(const demand&) const = default;
};

} // namespace parsleylead

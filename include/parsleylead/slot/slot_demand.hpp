#pragma once

#include <cstdint>

namespace parsleylead {

/// What an entry still has to place. Lower keys are more urgent; `waiting` 0 means no demand.
struct slot_demand {
  std::uint64_t key = 0;
  std::uint32_t waiting = 0;

  bool operator==(const slot_demand&) const = default;
};

} // namespace parsleylead

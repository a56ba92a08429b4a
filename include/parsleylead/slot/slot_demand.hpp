#pragma once

#include <cstdint>

namespace parsleylead {

/// Tasks that an entry wants to run at an agent. Lower keys are more urgent; if `waiting` is 0
/// there is no demand.
struct slot_demand {
  std::uint64_t key = 0;
  std::uint32_t waiting = 0;

  bool operator==(const slot_demand&) const = default;
};

} // namespace parsleylead

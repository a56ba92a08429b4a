#pragma once

#include <cstdint>

namespace parsleylead {

/// An entry's share of a limit (design, D8): the limit divided by the number of entry slots,
/// rounded down. If the limit is less than `slots`, the slots 1 to `limit` get 1 each and the
/// others 0. Precondition: 1 <= `slot` <= `slots`. Thread-safe.
///
/// Example: share_of(10, 1, 4) == 2, share_of(3, 4, 4) == 0.
constexpr std::uint64_t share_of(std::uint64_t limit, std::uint32_t slot, std::uint32_t slots) {
  if (limit >= slots) {
    return limit / slots;
  }
  return slot <= limit ? 1 : 0;
}

} // namespace parsleylead

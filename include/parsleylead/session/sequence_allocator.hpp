#pragma once

#include <cstdint>

namespace parsleylead {

/// Allocates sequence numbers of dispatches and counters of sessions. All ledgers of an entry
/// incarnation share one object, so that no number repeats (design, D1). Not thread-safe.
class sequence_allocator {
public:
  /// Starts at 1.
  std::uint64_t next_sequence() { return ++sequence_; }
  std::uint64_t next_counter() { return ++counter_; }

private:
  std::uint64_t sequence_ = 0;
  std::uint64_t counter_ = 0;
};

} // namespace parsleylead

#pragma once

#include <cstdint>

namespace parsleylead {

/// Sequence numbers of dispatches and counters of sessions; one object for each entry incarnation,
/// shared by all its ledgers, so that no number repeats (D1). Not thread-safe.
class sequence_allocator {
public:
  /// 1, 2, 3, ...
  std::uint64_t next_sequence() { return ++sequence_; }
  std::uint64_t next_counter() { return ++counter_; }

private:
  std::uint64_t sequence_ = 0;
  std::uint64_t counter_ = 0;
};

} // namespace parsleylead

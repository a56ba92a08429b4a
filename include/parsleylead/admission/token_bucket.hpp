#pragma once

#include <chrono>
#include <cstdint>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// A token bucket that starts empty, so that restarts don't allow bursts above the rate (design,
/// D8). Not thread-safe.
class token_bucket {
public:
  /// Adds `rate_per_s` tokens per second, up to `capacity`.
  token_bucket(std::uint64_t rate_per_s, std::uint64_t capacity, monotonic_time now);

  /// Takes all of `tokens` and returns true, or takes none and returns false.
  bool take(std::uint64_t tokens, monotonic_time now);
  /// Whether `take` would succeed.
  bool has_tokens(std::uint64_t tokens, monotonic_time now);
  /// Time from `now` until `tokens` are available, 0 if they are; `milliseconds::max()` if the
  /// capacity or a rate of 0 never allows them.
  std::chrono::milliseconds time_until_available(std::uint64_t tokens, monotonic_time now);
  /// Changes the rate and the capacity; tokens above the new capacity are dropped.
  void reconfigure(std::uint64_t rate_per_s, std::uint64_t capacity, monotonic_time now);

private:
  void refill(monotonic_time now);

  std::uint64_t rate_per_s_;
  std::uint64_t capacity_;
  double tokens_ = 0;
  monotonic_time refilled_;
};

} // namespace parsleylead

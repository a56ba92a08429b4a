#pragma once

#include <chrono>
#include <cstdint>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// Rate limit that starts empty, so that a restart never exceeds the rate (D8).
/// Not thread-safe.
class token_bucket {
public:
  /// `rate_per_s` tokens arrive each second, up to `capacity`.
  token_bucket(std::uint64_t rate_per_s, std::uint64_t capacity, monotonic_time now);

  /// Takes `tokens` or nothing.
  bool take(std::uint64_t tokens, monotonic_time now);
  /// Whether `take` would succeed.
  bool has_tokens(std::uint64_t tokens, monotonic_time now);
  /// Time from `now` until `tokens` are there; `duration::max()` if they never will be.
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

#include "parsleylead/admission/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace parsleylead {
namespace {

// Tolerates rounding errors in fractions of tokens, so that `take` succeeds after
// `time_until_available`.
constexpr double rounding_tolerance = 1e-6;

} // namespace

token_bucket::token_bucket(std::uint64_t rate_per_s, std::uint64_t capacity, monotonic_time now)
    : rate_per_s_(rate_per_s), capacity_(capacity), refilled_(now) {}

bool token_bucket::take(std::uint64_t tokens, monotonic_time now) {
  if (!has_tokens(tokens, now)) {
    return false;
  }
  tokens_ = std::max(0.0, tokens_ - static_cast<double>(tokens));
  return true;
}

bool token_bucket::has_tokens(std::uint64_t tokens, monotonic_time now) {
  refill(now);
  return tokens_ + rounding_tolerance >= static_cast<double>(tokens);
}

std::chrono::milliseconds token_bucket::time_until_available(std::uint64_t tokens,
                                                             monotonic_time now) {
  if (has_tokens(tokens, now)) {
    return std::chrono::milliseconds(0);
  }
  if (tokens > capacity_ || rate_per_s_ == 0) {
    return std::chrono::milliseconds::max();
  }
  const auto missing = static_cast<double>(tokens) - tokens_;
  const auto wait_ms = std::ceil(missing * 1000 / static_cast<double>(rate_per_s_));
  return std::chrono::milliseconds(static_cast<std::int64_t>(wait_ms));
}

void token_bucket::reconfigure(std::uint64_t rate_per_s, std::uint64_t capacity,
                               monotonic_time now) {
  refill(now);
  rate_per_s_ = rate_per_s;
  capacity_ = capacity;
  tokens_ = std::min(tokens_, static_cast<double>(capacity));
}

void token_bucket::refill(monotonic_time now) {
  if (now <= refilled_) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - refilled_;
  refilled_ = now;
  tokens_ = std::min(static_cast<double>(capacity_),
                     tokens_ + (elapsed.count() * static_cast<double>(rate_per_s_)));
}

} // namespace parsleylead

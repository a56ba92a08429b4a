#pragma once

#include <chrono>
#include <cstdint>

#include "parsleylead/observe/value_histogram.hpp"

namespace parsleylead {

/// Distribution of durations from 1 us to 10,000 s, for the command-line tools. Not thread-safe:
/// use one histogram per thread and merge them.
class latency_histogram {
public:
  void record(std::chrono::nanoseconds value) { seconds_.record(to_seconds(value)); }
  void merge(const latency_histogram& other) { seconds_.merge(other.seconds_); }

  std::uint64_t count() const { return seconds_.count(); }
  std::chrono::nanoseconds mean() const { return from_seconds(seconds_.mean()); }
  std::chrono::nanoseconds max() const { return from_seconds(seconds_.max()); }
  /// As `value_histogram::quantile`.
  std::chrono::nanoseconds quantile(double q) const { return from_seconds(seconds_.quantile(q)); }

private:
  using seconds = std::chrono::duration<double>;
  static double to_seconds(std::chrono::nanoseconds value) { return seconds(value).count(); }
  static std::chrono::nanoseconds from_seconds(double value) {
    return std::chrono::round<std::chrono::nanoseconds>(seconds(value));
  }

  value_histogram seconds_{1e-6, 1e4};
};

} // namespace parsleylead

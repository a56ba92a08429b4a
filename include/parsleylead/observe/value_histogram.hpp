#pragma once

#include <cstdint>
#include <memory>

namespace parsleylead {

/// Distribution of positive numbers in logarithmic bins (Boost.Histogram, 100 bins a decade, so a
/// quantile is off by at most 2.4 %). Count, mean and maximum are exact. Not thread-safe.
class value_histogram {
public:
  /// Values outside the range are counted in the outermost bins. Precondition: 0 < min < max.
  value_histogram(double min, double max);
  ~value_histogram();
  value_histogram(value_histogram&&) noexcept;
  value_histogram& operator=(value_histogram&&) noexcept;
  value_histogram(const value_histogram& other);
  value_histogram& operator=(const value_histogram& other);

  void record(double value);

  /// Adds all values of the other histogram. Precondition: both have the same range.
  void merge(const value_histogram& other);

  std::uint64_t count() const;
  /// 0 if nothing was recorded; the same holds for the other statistics.
  double mean() const;
  double max() const;

  /// The `q`-quantile, 0 <= q <= 1.
  double quantile(double q) const;

private:
  class state;
  std::unique_ptr<state> state_;
};

} // namespace parsleylead

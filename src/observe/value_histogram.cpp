#include "parsleylead/observe/value_histogram.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace parsleylead {
namespace {

namespace bh = boost::histogram;

constexpr double bins_per_decade = 100;

auto make_bins(double min, double max) {
  const auto bins = static_cast<unsigned>(std::ceil(std::log10(max / min) * bins_per_decade));
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(bins, min, max));
}

} // namespace

class value_histogram::state {
public:
  state(double min_value, double max_value) : bins(make_bins(min_value, max_value)) {}

  decltype(make_bins(1, 2)) bins;
  std::uint64_t count = 0;
  double sum = 0;
  double max = 0;
};

value_histogram::value_histogram(double min, double max)
    : state_(std::make_unique<state>(min, max)) {}
value_histogram::~value_histogram() = default;
value_histogram::value_histogram(value_histogram&&) noexcept = default;
value_histogram& value_histogram::operator=(value_histogram&&) noexcept = default;
value_histogram::value_histogram(const value_histogram& other)
    : state_(std::make_unique<state>(*other.state_)) {}
value_histogram& value_histogram::operator=(const value_histogram& other) {
  if (this != &other) {
    state_ = std::make_unique<state>(*other.state_);
  }
  return *this;
}

void value_histogram::record(double value) {
  // The logarithm is defined only above 0; the smallest positive number is in the underflow bin.
  state_->bins(std::max(value, std::numeric_limits<double>::min()));
  ++state_->count;
  state_->sum += value;
  state_->max = std::max(state_->max, value);
}

void value_histogram::merge(const value_histogram& other) {
  state_->bins += other.state_->bins;
  state_->count += other.state_->count;
  state_->sum += other.state_->sum;
  state_->max = std::max(state_->max, other.state_->max);
}

std::uint64_t value_histogram::count() const {
  return state_->count;
}

double value_histogram::mean() const {
  return state_->count == 0 ? 0 : state_->sum / static_cast<double>(state_->count);
}

double value_histogram::max() const {
  return state_->max;
}

double value_histogram::quantile(double q) const {
  if (state_->count == 0) {
    return 0;
  }
  const double rank = std::clamp(q, 0.0, 1.0) * static_cast<double>(state_->count);
  double cumulative = 0;
  for (const auto& bin : bh::indexed(state_->bins, bh::coverage::all)) {
    const double bin_count = *bin;
    if (bin_count > 0 && cumulative + bin_count >= rank) {
      const auto& axis = state_->bins.axis();
      const int index = bin.index();
      if (index < 0) {
        return axis.value(0);
      }
      if (index >= axis.size()) {
        return state_->max;
      }
      return std::min(axis.value(index + (rank - cumulative) / bin_count), state_->max);
    }
    cumulative += bin_count;
  }
  return state_->max;
}

} // namespace parsleylead

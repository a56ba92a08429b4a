#include "parsleylead/admission/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace parsleylead {
namespace {

// A sample is clamped to within this factor of the current mean. Declared and measured run times
// can be far off, and a single one must not determine the estimate.
constexpr double max_sample_ratio = 8;
// Lower bound of a new sample's weight, which otherwise is 1 / number of samples.
constexpr double min_kind_weight = 1.0 / 16;
constexpr double max_speed_ratio = 4;
constexpr double min_worker_weight = 1.0 / 32;
// Number of samples of average speed that a new worker starts with.
constexpr double speed_prior_samples = 4;
// Samples of a kind that are needed before its mean is used to estimate the speed of workers.
constexpr std::size_t min_kind_samples = 4;

run_time_estimator::duration to_duration(double microseconds) {
  return run_time_estimator::duration(static_cast<std::int64_t>(microseconds));
}

} // namespace

void run_time_estimator::add_sample(const std::string& kind, const std::string& worker,
                                    duration run_time) {
  auto& estimate = kinds_[kind];
  const auto measured_us = std::max(1.0, static_cast<double>(run_time.count()));
  if (estimate.samples == 0) {
    estimate.mean_us = std::max(1.0, static_cast<double>(prior_.count()));
  }
  if (estimate.samples >= min_kind_samples) {
    auto& speed = workers_[worker];
    const auto ratio =
        std::clamp(measured_us / estimate.mean_us, 1 / max_speed_ratio, max_speed_ratio);
    const auto weight = std::max(1 / (static_cast<double>(speed.samples) + 1 + speed_prior_samples),
                                 min_worker_weight);
    speed.log_factor += weight * (std::log(ratio) - speed.log_factor);
    ++speed.samples;
  }
  const auto clamped_us = std::clamp(measured_us, estimate.mean_us / max_sample_ratio,
                                     estimate.mean_us * max_sample_ratio);
  const auto weight = std::max(1 / (static_cast<double>(estimate.samples) + 1), min_kind_weight);
  estimate.mean_us = std::max(1.0, estimate.mean_us + (weight * (clamped_us - estimate.mean_us)));
  estimate.recent_us.at(estimate.samples % recent_samples) = measured_us;
  ++estimate.samples;
}

run_time_estimator::duration run_time_estimator::mean(const std::string& kind) const {
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? prior_ : to_duration(found->second.mean_us);
}

run_time_estimator::duration run_time_estimator::mean(const std::string& kind,
                                                      const std::string& worker) const {
  return to_duration(static_cast<double>(mean(kind).count()) * speed_factor(worker));
}

run_time_estimator::duration run_time_estimator::quantile(const std::string& kind, double q) const {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    return prior_;
  }
  const auto count = std::min(found->second.samples, recent_samples);
  const auto& recent = found->second.recent_us;
  std::vector<double> sorted(recent.begin(), recent.begin() + static_cast<std::ptrdiff_t>(count));
  const auto rank =
      static_cast<std::ptrdiff_t>(std::clamp(q, 0.0, 1.0) * static_cast<double>(count - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return to_duration(sorted[static_cast<std::size_t>(rank)]);
}

run_time_estimator::duration
run_time_estimator::quantile(const std::string& kind, const std::string& worker, double q) const {
  return to_duration(static_cast<double>(quantile(kind, q).count()) * speed_factor(worker));
}

double run_time_estimator::speed_factor(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? 1 : std::exp(found->second.log_factor);
}

std::size_t run_time_estimator::samples(const std::string& kind) const {
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? 0 : found->second.samples;
}

} // namespace parsleylead

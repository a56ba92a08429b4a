#include "parsleylead/load/job_generator.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace parsleylead {
namespace {

// Standard deviation of the logarithm of run times: about 90 % of the tasks lie within a factor of
// 2.7 of the median.
constexpr double run_time_sigma = 0.6;
// Exponent of the bounded Pareto distribution: about 60 % of the jobs have one task.
constexpr double size_exponent = 1.3;
constexpr int max_redraws = 16;

double uniform(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

job_generator::job_generator(load_profile profile)
    : profile_(std::move(profile)), random_(profile_.seed) {}

std::optional<job_spec> job_generator::next() {
  if (profile_.max_jobs != 0 && generated_jobs_ == profile_.max_jobs) {
    return std::nullopt;
  }
  last_arrival_ = draw_next_arrival(last_arrival_);
  if (profile_.duration.count() > 0 && last_arrival_ >= profile_.duration.count()) {
    return std::nullopt;
  }
  job_spec job;
  job.arrival =
      std::chrono::round<std::chrono::nanoseconds>(std::chrono::duration<double>(last_arrival_));
  job.kind = draw_kind();
  job.idempotent = profile_.non_idempotent.count(job.kind) == 0;
  job.budget = profile_.budget;
  const auto size = draw_size();
  for (std::uint32_t i = 0; i < size; ++i) {
    const auto echo = std::to_string(profile_.seed) + "-" + std::to_string(generated_jobs_) + "-" +
                      std::to_string(i);
    job.tasks.push_back({draw_run_time(), echo});
  }
  job.cancel = uniform(random_) < profile_.cancel_share;
  if (job.cancel) {
    // Covers cancellation while the job waits, while it runs, and just after it has ended.
    job.cancel_after = std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, 2 * profile_.times.median.count())(random_));
  }
  ++generated_jobs_;
  return job;
}

/// Returns the time of the next arrival. Draws an exponential variate of mean 1 and integrates the
/// rate, which is piecewise constant, until the integral reaches it.
double job_generator::draw_next_arrival(double previous_arrival) {
  double remaining = std::exponential_distribution<double>(1)(random_);
  double time = previous_arrival;
  while (true) {
    const double rate = rate_at(time);
    const double segment_end = next_rate_change(time);
    if (remaining <= rate * (segment_end - time)) {
      return time + remaining / rate;
    }
    remaining -= rate * (segment_end - time);
    time = segment_end;
  }
}

double job_generator::rate_at(double time) const {
  const auto& peak = profile_.peak;
  const bool in_burst =
      peak && time >= peak->start.count() && time < peak->start.count() + peak->duration.count();
  return profile_.jobs_per_second * (in_burst ? peak->factor : 1);
}

double job_generator::next_rate_change(double time) const {
  if (profile_.peak) {
    const double start = profile_.peak->start.count();
    const double end = start + profile_.peak->duration.count();
    if (time < start) {
      return start;
    }
    if (time < end) {
      return end;
    }
  }
  return std::numeric_limits<double>::infinity();
}

std::uint32_t job_generator::draw_size() {
  const auto max = profile_.sizes.max;
  if (profile_.sizes.form == size_distribution::shape::uniform) {
    return std::uniform_int_distribution<std::uint32_t>(1, max)(random_);
  }
  // Inverse of the bounded Pareto distribution on [1, max + 1), rounded down.
  const double tail = std::pow(static_cast<double>(max) + 1, -size_exponent);
  const double value = std::pow(1 - uniform(random_) * (1 - tail), -1 / size_exponent);
  return std::clamp(static_cast<std::uint32_t>(value), 1U, max);
}

std::chrono::milliseconds job_generator::draw_run_time() {
  const auto& times = profile_.times;
  using milliseconds = std::chrono::milliseconds;
  if (uniform(random_) < times.long_share) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        times.long_min.count(), times.long_max.count())(random_));
  }
  std::lognormal_distribution<double> log_normal(
      std::log(static_cast<double>(times.median.count())), run_time_sigma);
  // Redraws values out of bounds; clamping them would accumulate the tails at the bounds.
  for (int i = 0; i < max_redraws; ++i) {
    const milliseconds drawn(std::llround(log_normal(random_)));
    if (drawn >= times.min && drawn <= times.max) {
      return drawn;
    }
  }
  return times.median;
}

const std::string& job_generator::draw_kind() {
  double total = 0;
  for (const auto& share : profile_.kinds) {
    total += share.weight;
  }
  double remaining = uniform(random_) * total;
  for (const auto& share : profile_.kinds) {
    remaining -= share.weight;
    if (remaining < 0) {
      return share.kind;
    }
  }
  return profile_.kinds.back().kind;
}

} // namespace parsleylead

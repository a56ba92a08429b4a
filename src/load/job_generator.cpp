#include "parsleylead/load/job_generator.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace parsleylead {
namespace {

// Spread of the logarithm of run times: about 90 % of the tasks lie within a factor of 2.7 of the
// median.
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
    // Cancels while the job waits, runs, or has just ended.
    job.cancel_after = std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, 2 * profile_.times.median.count())(random_));
  }
  ++generated_jobs_;
  return job;
}

/// Time of the next arrival: draws one unit of exponential waiting and spends it at the current
/// rate, piece by piece where the rate changes.
double job_generator::draw_next_arrival(double previous_arrival) {
  double waiting = std::exponential_distribution<double>(1)(random_);
  double time = previous_arrival;
  while (true) {
    const double rate = rate_at(time);
    const double change = next_rate_change(time);
    if (waiting <= rate * (change - time)) {
      return time + waiting / rate;
    }
    waiting -= rate * (change - time);
    time = change;
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
  // Drawing again keeps the tails from piling up at the bounds.
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
  for (const auto& one : profile_.kinds) {
    total += one.weight;
  }
  double left = uniform(random_) * total;
  for (const auto& one : profile_.kinds) {
    left -= one.weight;
    if (left < 0) {
      return one.kind;
    }
  }
  return profile_.kinds.back().kind;
}

} // namespace parsleylead

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace parsleylead {

/// Estimates run times of kinds and the relative speed of each worker from reported run times. The
/// influence of a single sample on an estimate is bounded. Not thread-safe.
class run_time_estimator {
public:
  using duration = std::chrono::microseconds;

  /// `prior` is the run time assumed for a kind without samples.
  explicit run_time_estimator(duration prior = std::chrono::milliseconds(300)) : prior_(prior) {}

  /// Adds the run time of one finished task.
  void add_sample(const std::string& kind, const std::string& worker, duration run_time);

  /// Expected run time of the kind on an average worker; the prior if there are no samples.
  duration mean(const std::string& kind) const;
  /// Expected run time of the kind on the worker.
  duration mean(const std::string& kind, const std::string& worker) const;
  /// Quantile of the kind's recent run times, 0 <= `q` <= 1; the prior if there are no samples.
  duration quantile(const std::string& kind, double q) const;
  /// Quantile of the kind's run times scaled to the worker.
  duration quantile(const std::string& kind, const std::string& worker, double q) const;
  /// Run time on the worker relative to the average: less than 1 if it is faster, 1 if unknown.
  double speed_factor(const std::string& worker) const;
  /// Number of samples of a kind.
  std::size_t samples(const std::string& kind) const;

  void remove_worker(const std::string& worker) { workers_.erase(worker); }
  void remove_kind(const std::string& kind) { kinds_.erase(kind); }

private:
  static constexpr std::size_t recent_samples = 64;

  struct kind_estimate {
    double mean_us = 0;
    std::size_t samples = 0;
    std::array<double, recent_samples> recent_us{};
  };
  struct worker_estimate {
    double log_factor = 0;
    std::size_t samples = 0;
  };

  duration prior_;
  std::map<std::string, kind_estimate> kinds_;
  std::map<std::string, worker_estimate> workers_;
};

} // namespace parsleylead

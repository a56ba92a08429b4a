#pragma once

#include <optional>
#include <random>

#include "parsleylead/load/job_spec.hpp"
#include "parsleylead/load/load_profile.hpp"

namespace parsleylead {

/// Generates the jobs of a load profile in order of arrival. Arrivals are a Poisson process. Not
/// thread-safe.
class job_generator {
public:
  /// Precondition: `check(profile)` is OK.
  explicit job_generator(load_profile profile);

  /// Returns the next job, or nullopt at the end of the run.
  std::optional<job_spec> next();

private:
  double draw_next_arrival(double previous_arrival);
  double rate_at(double time) const;
  double next_rate_change(double time) const;
  std::uint32_t draw_size();
  std::chrono::milliseconds draw_run_time();
  const std::string& draw_kind();

  load_profile profile_;
  std::mt19937_64 random_;
  double last_arrival_ = 0;
  std::uint64_t generated_jobs_ = 0;
};

} // namespace parsleylead

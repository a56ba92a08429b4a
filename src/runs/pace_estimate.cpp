#include "parsleylead/runs/pace_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace parsleylead {
namespace {

// Half-life of an observation's weight: spans about twenty runs of a busy worker, but is short
// enough to detect a worker that becomes slow within a job's objective.
constexpr std::chrono::duration<double> half_life{1.5};
// Weight of the prior slowdown of 1.0 in seconds: about two short tasks.
constexpr double prior_s = 0.15;
constexpr double min_slowdown = 0.1;
constexpr double max_slowdown = 50.0;

} // namespace

void pace_estimate::record(std::chrono::duration<double> spent,
                           std::chrono::duration<double> achieved, monotonic_time now) {
  if (now > last_) {
    if (last_ != monotonic_time{}) {
      const std::chrono::duration<double> elapsed = now - last_;
      const double decay = std::exp2(-elapsed / half_life);
      spent_s_ *= decay;
      achieved_s_ *= decay;
    }
    last_ = now;
  }
  spent_s_ += spent.count();
  achieved_s_ += achieved.count();
}

double pace_estimate::slowdown() const {
  return std::clamp((spent_s_ + prior_s) / (achieved_s_ + prior_s), min_slowdown, max_slowdown);
}

} // namespace parsleylead

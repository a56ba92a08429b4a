#include "parsleylead/overload/reach_growth.hpp"

#include <chrono>

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Agents open their sessions within about a second after a start of all hosts.
constexpr milliseconds connecting_time{1'500};
constexpr milliseconds growth_pause{300};

} // namespace

void reach_growth::observe(std::size_t usable_workers, monotonic_time now) {
  if (usable_workers == 0 || !last_without_) {
    last_without_ = now;
    most_workers_ = 0;
  }
  if (usable_workers > most_workers_) {
    most_workers_ = usable_workers;
    last_growth_ = now;
  }
}

bool reach_growth::is_connecting(monotonic_time now) const {
  return !last_without_ || now - *last_without_ < connecting_time ||
         now - last_growth_ < growth_pause;
}

} // namespace parsleylead

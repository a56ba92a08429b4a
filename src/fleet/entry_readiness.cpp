#include "parsleylead/fleet/entry_readiness.hpp"

#include <algorithm>
#include <utility>

namespace parsleylead {

void entry_readiness::remember(std::size_t usable_workers, monotonic_time now) {
  if (now - window_start_ >= settings_.memory) {
    previous_ = std::exchange(current_, 0);
    window_start_ = now;
  }
  current_ = std::max(current_, usable_workers);
}

void entry_readiness::update(std::size_t usable_workers, monotonic_time now) {
  if (usable_workers == 0) {
    ready_ = false;
    since_.reset();
    most_workers_ = 0;
    return;
  }
  since_ = since_.value_or(now);
  if (usable_workers > most_workers_) {
    most_workers_ = usable_workers;
    last_growth_ = now;
  }
  const auto expected = static_cast<double>(std::max(current_, previous_));
  const bool known = expected > 0;
  const bool settled = now - *since_ >= settings_.settle_time ||
                       (!known && now - last_growth_ >= settings_.growth_pause);
  ready_ = ready_ || settled ||
           (known && static_cast<double>(usable_workers) >= settings_.min_worker_share * expected);
  if (ready_) {
    remember(usable_workers, now);
  }
}

} // namespace parsleylead

#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

struct readiness_settings {
  /// An entry is ready when it has this share of the usable workers that it had most recently.
  double min_worker_share = 0.25;
  /// Without a known number, or with fewer workers: ready this long after the first usable worker.
  /// Agents need a second to open their sessions after a loss of all hosts.
  std::chrono::milliseconds settle_time{1'000};
  /// Ready earlier if the number has not grown for this long: the agents of small sites connect
  /// within some tens of milliseconds after a start of the entry alone.
  std::chrono::milliseconds growth_pause{300};
  /// The number of workers that an entry had counts for this long to twice as long.
  std::chrono::milliseconds memory{10'000};
};

/// Decides from the number of usable workers whether an entry is ready for callers. An entry that
/// few of its agents have reached yet would refuse jobs that the site can run. Once ready, it stays
/// ready until it has no usable worker. Does no I/O. Not thread-safe.
class entry_readiness {
public:
  explicit entry_readiness(readiness_settings settings = {}) : settings_(settings) {}

  /// Has to be called every few tens of milliseconds.
  void update(std::size_t usable_workers, monotonic_time now);
  bool is_ready() const { return ready_; }

private:
  void remember(std::size_t usable_workers, monotonic_time now);

  readiness_settings settings_;
  bool ready_ = false;
  /// Since when there has been a usable worker.
  std::optional<monotonic_time> since_;
  /// Largest number of usable workers since then, and when it was reached.
  std::size_t most_workers_ = 0;
  monotonic_time last_growth_{};
  /// Largest numbers of usable workers while ready, since `window_start_` and in the window before.
  std::size_t current_ = 0;
  std::size_t previous_ = 0;
  monotonic_time window_start_{};
};

} // namespace parsleylead

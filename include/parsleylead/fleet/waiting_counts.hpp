#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/fleet_frame.hpp"

namespace parsleylead {

/// Durable jobs without a started task at all entries of a site. Entries pass on what they know of
/// others, so that an entry with links to a few of them learns of all. Does no I/O. Not
/// thread-safe.
class waiting_counts {
public:
  /// Older counts are neither used nor passed on. Callers may be told a count that is two seconds
  /// old.
  static constexpr std::chrono::milliseconds max_age{1'900};

  explicit waiting_counts(std::string own_name) : own_name_(std::move(own_name)) {}

  /// Sets the counts of this entry.
  void set_own(std::vector<queue_count> counts, monotonic_time now);
  /// Adds what another entry knows. Counts that are older than the known ones change nothing.
  void learn(const std::vector<entry_counts>& reported, monotonic_time now);

  /// Number of waiting jobs of the queue at the entries other than this one.
  std::size_t of_others(const std::string& queue, monotonic_time now) const;
  /// Returns what to tell other entries: nothing if no jobs have waited anywhere lately.
  std::vector<entry_counts> report(monotonic_time now);

private:
  struct known_counts {
    monotonic_time measured{};
    std::vector<queue_count> counts;
  };

  std::string own_name_;
  std::map<std::string, known_counts> by_entry_;
  /// When this entry last had waiting jobs.
  monotonic_time own_last_used_{};
};

} // namespace parsleylead

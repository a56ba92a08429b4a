#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "parsleylead/fleet/fleet_frame.hpp"

namespace parsleylead {

/// Durable jobs without a started task at all entries of a site. A count belongs to a partition and
/// the epoch of its owner: it holds until this owner or a later one has counted again, also while
/// the partition has no owner, as none of its jobs can start meanwhile. Entries pass on what they
/// know, so that an entry with links to a few of them learns of all partitions. Does no I/O. Not
/// thread-safe.
class waiting_counts {
public:
  /// `partitions`: number of partitions of the durable jobs.
  explicit waiting_counts(std::uint32_t partitions = 1) : partitions_(partitions) {}

  /// Sets what this entry has counted in the partitions that it owns. The revisions are ignored.
  void set_own(std::vector<partition_counts> counted);

  /// What another entry knows, as far as this one can tell.
  class peer_view {
  private:
    friend class waiting_counts;
    /// Epoch and revision.
    using version = std::pair<std::uint64_t, std::uint32_t>;
    std::map<partition_number, version> versions_;
  };

  /// Adds what the other entry reports. Counts that are older than the known ones change nothing.
  void learn(const std::vector<partition_counts>& reported, peer_view& peer);
  /// Returns what to report to the other entry, and notes that it knows this from now on.
  std::vector<partition_counts> news_for(peer_view& peer) const;

  /// Number of waiting jobs of the queue.
  std::size_t of_queue(const std::string& queue) const;
  /// Returns whether all partitions have been counted, so that the numbers are those of the site.
  bool is_complete() const { return known_.size() >= partitions_; }

private:
  std::uint32_t partitions_;
  std::map<partition_number, partition_counts> known_;
};

} // namespace parsleylead

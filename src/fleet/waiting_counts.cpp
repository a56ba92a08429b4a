#include "parsleylead/fleet/waiting_counts.hpp"

#include <algorithm>
#include <utility>

namespace parsleylead {

void waiting_counts::set_own(std::vector<partition_counts> counted) {
  for (auto& each : counted) {
    auto& known = known_[each.claim.partition];
    if (each.claim.epoch < known.claim.epoch) {
      continue; // Another entry has claimed the partition since.
    }
    const bool same_epoch = each.claim.epoch == known.claim.epoch;
    if (same_epoch && each.counts == known.counts) {
      continue;
    }
    each.revision = same_epoch ? known.revision + 1 : 0;
    known = std::move(each);
  }
}

void waiting_counts::learn(const std::vector<partition_counts>& reported, peer_view& peer) {
  for (const auto& each : reported) {
    const auto number = each.claim.partition;
    if (number >= partitions_) {
      continue; // Only an entry with other settings reports it.
    }
    const peer_view::version version{each.claim.epoch, each.revision};
    auto& told = peer.versions_[number];
    told = std::max(told, version);
    const auto [position, added] = known_.try_emplace(number, each);
    auto& known = position->second;
    if (!added && version > peer_view::version{known.claim.epoch, known.revision}) {
      known = each;
    }
  }
}

std::vector<partition_counts> waiting_counts::news_for(peer_view& peer) const {
  std::vector<partition_counts> news;
  for (const auto& [number, known] : known_) {
    const peer_view::version version{known.claim.epoch, known.revision};
    auto& told = peer.versions_[number];
    if (version > told) {
      told = version;
      news.push_back(known);
    }
  }
  return news;
}

std::size_t waiting_counts::of_queue(const std::string& queue) const {
  std::size_t jobs = 0;
  for (const auto& [number, known] : known_) {
    for (const auto& count : known.counts) {
      jobs += count.queue == queue ? count.jobs : 0;
    }
  }
  return jobs;
}

} // namespace parsleylead

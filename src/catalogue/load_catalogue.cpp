#include "parsleylead/catalogue/load_catalogue.hpp"

#include "parsleylead/catalogue/catalogue_codec.hpp"

namespace parsleylead {
namespace {

// Whether the retained records continue the snapshot without a gap.
bool reaches(const catalogue_snapshot& snapshot, std::uint64_t earliest) {
  return snapshot.covered_offset + 1 >= earliest;
}

std::optional<catalogue_snapshot> find_snapshot(std::span<const log_record> records,
                                                std::uint64_t earliest) {
  std::optional<catalogue_snapshot> newest;
  for (const log_record& record : records) {
    if (!is_snapshot(record.payload)) {
      continue;
    }
    auto snapshot = decode_snapshot(record.payload).value;
    const bool is_usable =
        snapshot && snapshot->covered_offset < record.offset && reaches(*snapshot, earliest);
    if (is_usable && (!newest || snapshot->covered_offset > newest->covered_offset)) {
      newest = std::move(snapshot);
    }
  }
  return newest;
}

// The state before the retained records; nothing if it is unknown.
std::optional<catalogue_replica> find_base(std::span<const log_record> records,
                                           std::uint64_t earliest) {
  if (earliest <= 1) {
    return catalogue_replica();
  }
  const auto snapshot = find_snapshot(records, earliest);
  return snapshot ? std::optional<catalogue_replica>(*snapshot) : std::nullopt;
}

} // namespace

std::optional<catalogue_replica> load_catalogue(std::span<const log_record> records,
                                                std::uint64_t earliest,
                                                const std::optional<catalogue_snapshot>& peer) {
  auto replica = find_base(records, earliest);
  if (replica) {
    replica->apply(records);
  }
  const std::uint64_t applied = replica ? replica->applied_offset() : 0;
  const bool peer_is_newer = peer && reaches(*peer, earliest) && peer->covered_offset > applied;
  if (peer_is_newer) {
    replica.emplace(*peer);
    replica->apply(records);
  }
  return replica;
}

} // namespace parsleylead

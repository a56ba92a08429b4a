#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "parsleylead/catalogue/catalogue_replica.hpp"

namespace parsleylead {

/// Builds the newest state that can be derived from the retained records of the log and,
/// optionally, a peer's snapshot. Preconditions: `earliest` is the oldest retained offset, and
/// `records` begin there and have no gap. Returns `std::nullopt` if the state is unknown, because
/// the log dropped older changes and no valid snapshot reaches up to the retained records. The
/// caller then requests a snapshot from a peer and refuses jobs until it has one.
std::optional<catalogue_replica> load_catalogue(std::span<const log_record> records,
                                                std::uint64_t earliest,
                                                const std::optional<catalogue_snapshot>& peer);

} // namespace parsleylead

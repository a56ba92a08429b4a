#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "parsleylead/catalogue/catalogue_replica.hpp"

namespace parsleylead {

/// Builds the newest state that the retained records of the log and, optionally, a peer's snapshot
/// allow. `records` begin at `earliest` and have no gap; `earliest` is the oldest retained offset.
/// Returns nothing if the state is unknown: older changes were dropped by the log, and no valid
/// snapshot reaches up to the retained records. Then ask a peer, and refuse jobs meanwhile.
std::optional<catalogue_replica> load_catalogue(std::span<const log_record> records,
                                                std::uint64_t earliest,
                                                const std::optional<catalogue_snapshot>& peer);

} // namespace parsleylead

#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace parsleylead {

/// The availability zones whose workers get no new tasks, as of an offset of the store's log.
struct evacuation_state {
  /// All records before this offset are included.
  std::uint64_t as_of = 0;
  std::set<std::string> zones;

  bool operator==(const evacuation_state&) const = default;
};

/// An evacuation of a zone that began or ended.
struct zone_change {
  std::string zone;
  bool evacuated = false;

  bool operator==(const zone_change&) const = default;
};

/// The evacuations of availability zones that a process knows of, from the store or from other
/// processes. Newer states replace older ones, so that reports may arrive in any order and more
/// than once. Not thread-safe.
class zone_evacuations {
public:
  /// Applies a state that another process reported. States that are not newer are ignored. Returns
  /// the zones that have changed.
  std::vector<zone_change> merge(const evacuation_state& reported);

  /// Applies records that were read from the store, in their order, up to the offset `as_of`.
  /// `complete`: zones without a record are not evacuated. Otherwise the records follow those of an
  /// earlier call. Returns the zones that have changed.
  std::vector<zone_change> apply_records(std::uint64_t as_of, bool complete,
                                         const std::vector<zone_change>& records);

  /// The newest state; empty if none is known. Without it, no worker may be used.
  const std::optional<evacuation_state>& state() const { return state_; }
  bool is_evacuated(std::string_view zone) const;

private:
  std::optional<evacuation_state> state_;
};

/// Returns the names of the zones, separated by spaces, for the log. Thread-safe.
std::string describe(const evacuation_state& state);

} // namespace parsleylead

#pragma once

#include <cstdint>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/base/uuid.hpp"
#include "parsleylead/catalogue/catalogue_entry.hpp"

namespace parsleylead {

/// A catalogue entry with its revision.
struct revised_entry {
  catalogue_entry entry;
  /// Offset of the change that set the entry.
  std::uint64_t revision = 0;
  /// Id of that change.
  uuid change_id;

  bool operator==(const revised_entry&) const = default;
};

/// Marks a removed subject, so that its revision is known to later changes.
struct tombstone {
  catalogue_subject subject;
  /// Offset of the removal.
  std::uint64_t revision = 0;
  /// Id of the removal.
  uuid change_id;
  /// Log time of the removal.
  wall_time removal_time{};

  bool operator==(const tombstone&) const = default;
};

/// The complete state of the catalogue after the record at `covered_offset`. Entries and tombstones
/// are sorted by subject.
struct catalogue_snapshot {
  std::uint64_t covered_offset = 0;
  std::vector<revised_entry> entries;
  std::vector<tombstone> tombstones;

  bool operator==(const catalogue_snapshot&) const = default;
};

} // namespace parsleylead

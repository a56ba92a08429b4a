#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "parsleylead/catalogue/catalogue_change.hpp"
#include "parsleylead/catalogue/catalogue_snapshot.hpp"
#include "parsleylead/platform_log/log_service.hpp"

namespace parsleylead {

/// Result of applying a log record.
enum class change_result : std::uint8_t { accepted, conflict, duplicate, corrupt, snapshot };

std::string_view to_string(change_result value);

/// An item of the history.
struct applied_change {
  std::uint64_t offset = 0;
  wall_time append_time{};
  change_result result = change_result::corrupt;
  /// Reason why the change was not accepted; empty if it was.
  std::string detail;
  // The following members have default values if the record is corrupt.
  uuid id;
  std::string operator_name;
  catalogue_subject subject;
  bool removal = false;
};

/// Log time after which the tombstone of a removed subject is dropped. Otherwise those of drained
/// processes would accumulate. Much longer than an append can be retried.
inline constexpr std::chrono::hours tombstone_lifetime{24 * 7};

inline constexpr std::size_t max_history_size = 1000;

/// A replica of the catalogue (docs/design.md, D6). Its state is a deterministic function of the
/// log's records. Not thread-safe; used on the control thread only.
class catalogue_replica {
public:
  /// The state before the first record of the log.
  catalogue_replica() = default;
  explicit catalogue_replica(const catalogue_snapshot& snapshot);

  /// Applies records in order. Records up to `applied_offset()` are skipped. Stops before a record
  /// that does not follow directly; `has_gap()` is then true until `install_snapshot` closes the
  /// gap. Returns the result of each applied record.
  std::vector<applied_change> apply(std::span<const log_record> records);

  /// Replaces the state by the snapshot if the snapshot is newer. Returns whether it was.
  bool install_snapshot(const catalogue_snapshot& snapshot);

  /// Offset of the last applied record.
  std::uint64_t applied_offset() const { return applied_offset_; }
  /// Whether records after `applied_offset()` are missing, so that a snapshot must be installed
  /// (see `load_catalogue`).
  bool has_gap() const { return has_gap_; }

  /// The definition of a kind, or null. Valid until the next call of a non-const method.
  const kind_definition* find_kind(std::string_view name) const;
  const owner_quota* find_owner(std::string_view name) const;
  bool is_draining(std::string_view process) const;
  /// Revision of an entry or tombstone; 0 for an unknown subject.
  std::uint64_t revision(const catalogue_subject& subject) const;
  /// All entries in force, sorted by subject.
  std::vector<revised_entry> entries() const;

  /// The last `max_history_size` records that were not snapshots, oldest first.
  const std::deque<applied_change>& history() const { return history_; }
  /// The first record in the history with this change id, or null.
  const applied_change* find_change(const uuid& id) const;

  catalogue_snapshot snapshot() const;
  /// Digest of `snapshot()`; equal at all replicas with the same `applied_offset()`.
  std::uint64_t state_digest() const;
  std::uint64_t corrupt_records() const { return corrupt_records_; }

  /// Whether a new snapshot must be appended to the log: the oldest accepted change that no
  /// snapshot covers, or the newest snapshot itself, is at least `after` old. Use a different
  /// `after` at each entry, so that they do not all append a snapshot at the same time.
  bool snapshot_due(wall_time now, std::chrono::seconds after) const;

private:
  struct subject_state {
    /// Empty for a tombstone.
    std::optional<catalogue_value> value;
    std::uint64_t revision = 0;
    uuid change_id;
    /// Log time of the removal.
    wall_time removal_time{};
  };
  struct uncovered_change {
    std::uint64_t offset = 0;
    wall_time append_time{};
  };
  struct removal {
    std::uint64_t revision = 0;
    catalogue_subject subject;
  };

  applied_change apply_record(const log_record& record);
  applied_change apply_change(const log_record& record, const catalogue_change& change);
  std::string find_conflict(const catalogue_change& change) const;
  void accept_change(const log_record& record, const catalogue_change& change);
  void scan_skipped_record(const log_record& record);
  void update_covered_offset(const log_record& record, const catalogue_snapshot& snapshot);
  void add_uncovered_change(const log_record& record);
  void drop_expired_tombstones(wall_time now);
  void replace_state(const catalogue_snapshot& snapshot);

  std::map<catalogue_subject, subject_state> subjects_;
  /// Removals in log order. May contain subjects that were added again.
  std::deque<removal> removals_;
  std::uint64_t applied_offset_ = 0;
  bool has_gap_ = false;
  std::uint64_t corrupt_records_ = 0;
  std::deque<applied_change> history_;
  /// Accepted changes that no snapshot in the log covers, oldest first.
  std::deque<uncovered_change> uncovered_changes_;
  /// Highest offset that a snapshot in the log covers.
  std::uint64_t covered_offset_ = 0;
  /// Log time of the newest snapshot, or of the log's first record if there is no snapshot. Empty
  /// if neither was read.
  std::optional<wall_time> last_snapshot_time_;
};

} // namespace parsleylead

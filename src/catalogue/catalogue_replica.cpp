#include "parsleylead/catalogue/catalogue_replica.hpp"

#include <algorithm>

#include "parsleylead/base/invariant.hpp"
#include "parsleylead/catalogue/catalogue_codec.hpp"

namespace parsleylead {
namespace {

// Bounds memory while the log has no snapshot. Only the oldest change determines when one is due.
constexpr std::size_t max_uncovered = 100'000;

std::string join(const std::vector<catalogue_error>& errors) {
  constexpr std::size_t max_errors = 5;
  std::string text;
  for (std::size_t i = 0; i < std::min(errors.size(), max_errors); ++i) {
    text.append(i == 0 ? "" : "; ").append(to_string(errors[i]));
  }
  return text;
}

applied_change describe_change(const log_record& record, const catalogue_change& change) {
  applied_change result;
  result.offset = record.offset;
  result.append_time = record.append_time;
  result.id = change.id;
  result.operator_name = change.operator_name;
  result.subject = change.subject;
  result.removal = !change.value.has_value();
  return result;
}

applied_change describe_corrupt(const log_record& record,
                                const std::vector<catalogue_error>& errors) {
  applied_change result;
  result.offset = record.offset;
  result.append_time = record.append_time;
  result.detail = join(errors);
  return result;
}

// A snapshot that claims to cover its own or a later offset was not written by this program.
decode_result<catalogue_snapshot> decode_snapshot_record(const log_record& record) {
  auto snapshot = decode_snapshot(record.payload);
  if (snapshot.value && snapshot.value->covered_offset >= record.offset) {
    return {std::nullopt,
            {{"covered", std::to_string(snapshot.value->covered_offset),
              "an offset below the record's"}}};
  }
  return snapshot;
}

template <typename T>
const T* get_value(const std::optional<catalogue_value>& value) {
  return value ? std::get_if<T>(&*value) : nullptr;
}

} // namespace

std::string_view to_string(change_result value) {
  switch (value) {
  case change_result::accepted:
    return "accepted";
  case change_result::conflict:
    return "conflict";
  case change_result::duplicate:
    return "duplicate";
  case change_result::corrupt:
    return "corrupt";
  case change_result::snapshot:
    return "snapshot";
  }
  return "unknown";
}

catalogue_replica::catalogue_replica(const catalogue_snapshot& snapshot) {
  replace_state(snapshot);
}

void catalogue_replica::replace_state(const catalogue_snapshot& snapshot) {
  subjects_.clear();
  removals_.clear();
  for (const revised_entry& item : snapshot.entries) {
    subjects_[item.entry.subject] = {item.entry.value, item.revision, item.change_id, {}};
  }
  for (const tombstone& item : snapshot.tombstones) {
    subjects_[item.subject] = {std::nullopt, item.revision, item.change_id, item.removal_time};
    removals_.push_back({item.revision, item.subject});
  }
  std::sort(removals_.begin(), removals_.end(),
            [](const removal& a, const removal& b) { return a.revision < b.revision; });
  applied_offset_ = snapshot.covered_offset;
}

bool catalogue_replica::install_snapshot(const catalogue_snapshot& snapshot) {
  if (snapshot.covered_offset <= applied_offset_) {
    return false;
  }
  replace_state(snapshot);
  has_gap_ = false;
  // The changes between the old and the new state were not read, so a new snapshot is due.
  uncovered_changes_.clear();
  last_snapshot_time_.reset();
  return true;
}

std::vector<applied_change> catalogue_replica::apply(std::span<const log_record> records) {
  std::vector<applied_change> results;
  for (const log_record& record : records) {
    if (record.offset <= applied_offset_) {
      scan_skipped_record(record);
      continue;
    }
    if (record.offset != applied_offset_ + 1) {
      has_gap_ = true;
      break;
    }
    has_gap_ = false;
    results.push_back(apply_record(record));
  }
  return results;
}

applied_change catalogue_replica::apply_record(const log_record& record) {
  check_invariant(record.offset == applied_offset_ + 1,
                  "catalogue: records are applied in log order");
  applied_offset_ = record.offset;
  if (record.offset == 1 && !last_snapshot_time_) {
    last_snapshot_time_ = record.append_time;
  }
  drop_expired_tombstones(record.append_time);
  applied_change result;
  if (is_snapshot(record.payload)) {
    const auto snapshot = decode_snapshot_record(record);
    if (snapshot.value) {
      update_covered_offset(record, *snapshot.value);
      result.offset = record.offset;
      result.append_time = record.append_time;
      result.result = change_result::snapshot;
      return result;
    }
    result = describe_corrupt(record, snapshot.errors);
  } else {
    const auto change = decode_change(record.payload);
    result = change.value ? apply_change(record, *change.value)
                          : describe_corrupt(record, change.errors);
  }
  if (result.result == change_result::corrupt) {
    ++corrupt_records_;
  }
  history_.push_back(result);
  if (history_.size() > max_history_size) {
    history_.pop_front();
  }
  return result;
}

applied_change catalogue_replica::apply_change(const log_record& record,
                                               const catalogue_change& change) {
  applied_change result = describe_change(record, change);
  const auto known = subjects_.find(change.subject);
  if (known != subjects_.end() && known->second.change_id == change.id) {
    result.result = change_result::duplicate;
    result.detail =
        "The change was accepted at offset " + std::to_string(known->second.revision) + ".";
    return result;
  }
  result.detail = find_conflict(change);
  if (!result.detail.empty()) {
    result.result = change_result::conflict;
    return result;
  }
  result.result = change_result::accepted;
  accept_change(record, change);
  return result;
}

std::string catalogue_replica::find_conflict(const catalogue_change& change) const {
  const std::uint64_t current = revision(change.subject);
  if (change.base_revision != current) {
    return "The base " + std::to_string(change.base_revision) +
           " is not current: the revision is " + std::to_string(current) + ".";
  }
  const auto known = subjects_.find(change.subject);
  const bool exists = known != subjects_.end() && known->second.value.has_value();
  if (!change.value && !exists) {
    return "The subject does not exist.";
  }
  return {};
}

void catalogue_replica::accept_change(const log_record& record, const catalogue_change& change) {
  subject_state& state = subjects_[change.subject];
  check_invariant(state.revision < record.offset, "catalogue: the revision of a subject increases");
  state = {change.value, record.offset, change.id, {}};
  if (!change.value) {
    state.removal_time = record.append_time;
    removals_.push_back({record.offset, change.subject});
  }
  add_uncovered_change(record);
}

// Depends only on the tombstones and the record's time, so that a replica that was loaded from a
// snapshot drops the same tombstones at the same record.
void catalogue_replica::drop_expired_tombstones(wall_time now) {
  while (!removals_.empty()) {
    const auto found = subjects_.find(removals_.front().subject);
    const bool is_current = found != subjects_.end() && !found->second.value &&
                            found->second.revision == removals_.front().revision;
    if (is_current && found->second.removal_time + tombstone_lifetime > now) {
      return;
    }
    if (is_current) {
      subjects_.erase(found);
    }
    removals_.pop_front();
  }
}

// A record that a loaded snapshot already covers is not applied again, but may be a snapshot or a
// change, which determine when the next snapshot is due.
void catalogue_replica::scan_skipped_record(const log_record& record) {
  if (record.offset == 1 && !last_snapshot_time_) {
    last_snapshot_time_ = record.append_time;
  }
  if (!is_snapshot(record.payload)) {
    add_uncovered_change(record);
    return;
  }
  const auto snapshot = decode_snapshot_record(record);
  if (snapshot.value) {
    update_covered_offset(record, *snapshot.value);
  }
}

void catalogue_replica::update_covered_offset(const log_record& record,
                                              const catalogue_snapshot& snapshot) {
  if (snapshot.covered_offset < covered_offset_) {
    return;
  }
  covered_offset_ = snapshot.covered_offset;
  last_snapshot_time_ = record.append_time;
  while (!uncovered_changes_.empty() &&
         uncovered_changes_.front().offset <= snapshot.covered_offset) {
    uncovered_changes_.pop_front();
  }
}

void catalogue_replica::add_uncovered_change(const log_record& record) {
  const std::uint64_t newest =
      uncovered_changes_.empty() ? covered_offset_ : uncovered_changes_.back().offset;
  if (record.offset > newest && uncovered_changes_.size() < max_uncovered) {
    uncovered_changes_.push_back({record.offset, record.append_time});
  }
}

const kind_definition* catalogue_replica::find_kind(std::string_view name) const {
  const auto found = subjects_.find({subject_type::kind, std::string(name)});
  return found == subjects_.end() ? nullptr : get_value<kind_definition>(found->second.value);
}

const owner_quota* catalogue_replica::find_owner(std::string_view name) const {
  const auto found = subjects_.find({subject_type::owner, std::string(name)});
  return found == subjects_.end() ? nullptr : get_value<owner_quota>(found->second.value);
}

bool catalogue_replica::is_draining(std::string_view process) const {
  const auto found = subjects_.find({subject_type::drain, std::string(process)});
  return found != subjects_.end() && found->second.value.has_value();
}

std::uint64_t catalogue_replica::revision(const catalogue_subject& subject) const {
  const auto found = subjects_.find(subject);
  return found == subjects_.end() ? 0 : found->second.revision;
}

std::vector<revised_entry> catalogue_replica::entries() const {
  std::vector<revised_entry> entries;
  for (const auto& [subject, state] : subjects_) {
    if (state.value) {
      entries.push_back({{subject, *state.value}, state.revision, state.change_id});
    }
  }
  return entries;
}

const applied_change* catalogue_replica::find_change(const uuid& id) const {
  const auto found =
      std::find_if(history_.begin(), history_.end(), [&](const applied_change& change) {
        return change.id == id && change.result != change_result::corrupt;
      });
  return found == history_.end() ? nullptr : &*found;
}

catalogue_snapshot catalogue_replica::snapshot() const {
  catalogue_snapshot result;
  result.covered_offset = applied_offset_;
  result.entries = entries();
  for (const auto& [subject, state] : subjects_) {
    if (!state.value) {
      result.tombstones.push_back({subject, state.revision, state.change_id, state.removal_time});
    }
  }
  return result;
}

std::uint64_t catalogue_replica::state_digest() const {
  return digest(snapshot());
}

bool catalogue_replica::snapshot_due(wall_time now, std::chrono::seconds after) const {
  if (applied_offset_ == 0 || has_gap_) {
    return false;
  }
  if (!last_snapshot_time_) {
    return true;
  }
  const bool change_is_old =
      !uncovered_changes_.empty() && now - uncovered_changes_.front().append_time >= after;
  return change_is_old || now - *last_snapshot_time_ >= after;
}

} // namespace parsleylead

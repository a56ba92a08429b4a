#include "catalogue_service.hpp"

#include <asio/post.hpp>
#include <set>
#include <utility>

#include "parsleylead/catalogue/catalogue_codec.hpp"
#include "parsleylead/catalogue/load_catalogue.hpp"

namespace parsleylead {
namespace {

constexpr const char* catalogue_stream = "catalogue";

// Added to the snapshot age for each entry slot after the first, so that usually one entry appends
// a snapshot for all.
constexpr std::chrono::seconds snapshot_stagger_per_entry{600};

} // namespace

catalogue_service::catalogue_service(asio::io_context& io, log_service& log,
                                     const entry_settings& settings)
    : io_(io), log_(log), settings_(settings.catalogue),
      snapshot_after_(settings.catalogue.snapshot_after +
                      snapshot_stagger_per_entry * (settings.entry_slot - 1)),
      alive_(std::make_shared<bool>(true)) {}

catalogue_service::~catalogue_service() {
  stop();
}

void catalogue_service::start(change_callback on_change) {
  on_change_ = std::move(on_change);
  appender_ = std::make_unique<log_appender>(
      log_, log_appender_options{catalogue_stream, std::chrono::milliseconds(100), 1});
  log_tailer_options options;
  options.stream = catalogue_stream;
  options.poll_wait = settings_.poll_wait;
  options.max_backoff = settings_.poll_wait;
  tailer_ = std::make_unique<log_tailer>(
      log_, options,
      [this, alive = alive_](log_batch batch) {
        asio::post(io_, [this, alive, batch = std::move(batch)] {
          if (*alive) {
            on_batch(batch);
          }
        });
      },
      [this, alive = alive_](const absl::Status&) {
        asio::post(io_, [this, alive] {
          if (*alive) {
            log_reachable_ = false;
          }
        });
      });
}

void catalogue_service::stop() {
  *alive_ = false;
  tailer_.reset();
  appender_.reset();
}

bool catalogue_service::needs_peer_snapshot() const {
  if (!replica_) {
    return true;
  }
  return replica_->has_gap() || records_lost_;
}

void catalogue_service::on_batch(const log_batch& batch) {
  log_reachable_ = true;
  constexpr std::size_t full_batch_records = 1000;
  if (!replica_ || replica_->has_gap()) {
    if (records_before_load_.empty()) {
      earliest_offset_ = batch.result.earliest;
    }
    records_before_load_.insert(records_before_load_.end(), batch.result.records.begin(),
                                batch.result.records.end());
    caught_up_ = batch.result.records.size() < full_batch_records;
    if (caught_up_) {
      load_replica();
    }
    return;
  }
  apply_batch(batch);
}

void catalogue_service::load_replica() {
  const auto base = replica_ ? std::optional(replica_->snapshot()) : peer_snapshot_;
  auto loaded = load_catalogue(records_before_load_, earliest_offset_, base);
  if (!loaded) {
    return;
  }
  if (!replica_) {
    replica_ = std::move(*loaded);
  } else if (!replica_->install_snapshot(loaded->snapshot())) {
    return;
  }
  records_before_load_.clear();
  publish_changes();
}

void catalogue_service::apply_batch(const log_batch& batch) {
  replica_->apply(batch.result.records);
  // Without new records the replica cannot detect that the log has dropped some.
  records_lost_ = batch.result.earliest > replica_->applied_offset() + 1;
  if (replica_->has_gap()) {
    earliest_offset_ = batch.result.earliest;
    records_before_load_ = batch.result.records;
    load_replica();
    return;
  }
  publish_changes();
  append_snapshot_if_due();
}

void catalogue_service::on_peer_snapshot(const catalogue_snapshot& snapshot) {
  if (replica_) {
    if (replica_->install_snapshot(snapshot)) {
      publish_changes();
    }
    return;
  }
  if (peer_snapshot_ && peer_snapshot_->covered_offset >= snapshot.covered_offset) {
    return;
  }
  peer_snapshot_ = snapshot;
  if (caught_up_) {
    load_replica();
  } else if (!log_reachable_) {
    // The log is unreachable: the peer's snapshot is the newest available state.
    replica_.emplace(snapshot);
    publish_changes();
  }
}

void catalogue_service::publish_changes() {
  if (published_offset_ == replica_->applied_offset()) {
    return;
  }
  published_offset_ = replica_->applied_offset();
  std::vector<subject_change> changes;
  const auto items = replica_->entries();
  std::map<catalogue_subject, std::uint64_t> current;
  for (const auto& item : items) {
    current.emplace(item.entry.subject, item.revision);
    const auto known = published_revisions_.find(item.entry.subject);
    if (known == published_revisions_.end() || known->second != item.revision) {
      changes.push_back({item.entry.subject, item.revision, &item.entry.value});
    }
  }
  for (const auto& [subject, revision] : published_revisions_) {
    if (!current.contains(subject)) {
      changes.push_back({subject, replica_->revision(subject), nullptr});
    }
  }
  published_revisions_ = std::move(current);
  on_change_(changes);
}

void catalogue_service::append_snapshot_if_due() {
  if (snapshot_in_flight_ || !replica_->snapshot_due(wall_now(), snapshot_after_)) {
    return;
  }
  snapshot_in_flight_ =
      appender_->append(encode_snapshot(replica_->snapshot()),
                        [this, alive = alive_](const absl::StatusOr<std::uint64_t>&) {
                          asio::post(io_, [this, alive] {
                            if (*alive) {
                              snapshot_in_flight_ = false;
                            }
                          });
                        });
}

std::vector<std::pair<std::string, std::uint64_t>> catalogue_service::kind_revisions() const {
  std::vector<std::pair<std::string, std::uint64_t>> revisions;
  for (const auto& [subject, revision] : published_revisions_) {
    if (subject.type == subject_type::kind) {
      revisions.emplace_back(subject.name, revision);
    }
  }
  return revisions;
}

} // namespace parsleylead

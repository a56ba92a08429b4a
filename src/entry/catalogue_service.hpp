#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/catalogue/catalogue_replica.hpp"
#include "parsleylead/platform_log/log_appender.hpp"
#include "parsleylead/platform_log/log_tailer.hpp"
#include "parsleylead/settings/entry_settings.hpp"

namespace parsleylead {

/// A change of one catalogue subject in the replica of this entry.
struct subject_change {
  catalogue_subject subject;
  std::uint64_t revision = 0;
  /// Null if the subject was removed. Valid during the call.
  const catalogue_value* value = nullptr;
};

/// Updates this entry's replica of the catalogue from the log and from peers. Control thread only;
/// the threads that it starts post to the control thread.
class catalogue_service {
public:
  /// Called with the changes of one batch, in order of their subjects.
  using change_callback = std::function<void(const std::vector<subject_change>&)>;

  /// `log` must outlive the service.
  catalogue_service(asio::io_context& io, log_service& log, const entry_settings& settings);
  ~catalogue_service();
  catalogue_service(const catalogue_service&) = delete;
  catalogue_service& operator=(const catalogue_service&) = delete;

  void start(change_callback on_change);
  /// Joins the threads. Precondition: the log was closed.
  void stop();

  /// Handles a peer's snapshot: installs it if the replica is older or not loaded yet.
  void on_peer_snapshot(const catalogue_snapshot& snapshot);

  /// Null until the catalogue state is known.
  const catalogue_replica* replica() const { return replica_ ? &*replica_ : nullptr; }
  /// Offset of the last applied record; 0 until the catalogue state is known.
  std::uint64_t offset() const { return replica_ ? replica_->applied_offset() : 0; }
  /// True if a peer's snapshot is needed: the state is not known yet, or the log dropped records
  /// that the replica lacks.
  bool needs_peer_snapshot() const;
  /// Revisions of all kinds, for the hello of a session.
  std::vector<std::pair<std::string, std::uint64_t>> kind_revisions() const;
  bool is_log_reachable() const { return log_reachable_; }

private:
  void on_batch(const log_batch& batch);
  void load_replica();
  void apply_batch(const log_batch& batch);
  void publish_changes();
  void append_snapshot_if_due();

  asio::io_context& io_;
  log_service& log_;
  catalogue_settings settings_;
  std::chrono::seconds snapshot_after_;
  change_callback on_change_;
  std::optional<catalogue_replica> replica_;
  /// Records read before the state was known, and the earliest offset that the log retained then.
  std::vector<log_record> records_before_load_;
  std::uint64_t earliest_offset_ = 1;
  bool caught_up_ = false;
  bool log_reachable_ = false;
  bool snapshot_in_flight_ = false;
  std::optional<catalogue_snapshot> peer_snapshot_;
  /// Revision of each subject as last passed to `on_change_`.
  std::map<catalogue_subject, std::uint64_t> published_revisions_;
  std::optional<std::uint64_t> published_offset_;
  bool records_lost_ = false;
  std::unique_ptr<log_tailer> tailer_;
  std::unique_ptr<log_appender> appender_;
  std::shared_ptr<bool> alive_;
};

} // namespace parsleylead

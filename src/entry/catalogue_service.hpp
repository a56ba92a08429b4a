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

/// A subject that changed in this replica.
struct subject_change {
  catalogue_subject subject;
  std::uint64_t revision = 0;
  /// Null if the subject was removed. Valid during the call.
  const catalogue_value* value = nullptr;
};

/// Keeps this entry's replica of the catalogue up to date from the log and from peers. Control
/// thread only, except for the threads that it starts.
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
  /// Ends the threads. Precondition: the log was closed.
  void stop();

  /// A peer's snapshot arrived. It is used if this replica is older or not known.
  void on_peer_snapshot(const catalogue_snapshot& snapshot);

  /// Null while the state of the catalogue is not known.
  const catalogue_replica* replica() const { return replica_ ? &*replica_ : nullptr; }
  /// Offset of the last applied record; 0 while the state is not known.
  std::uint64_t offset() const { return replica_ ? replica_->applied_offset() : 0; }
  /// True if records were lost and the log has no snapshot: a peer is needed.
  bool needs_peer() const;
  /// Revisions of all kinds, for the hello of a session.
  std::vector<std::pair<std::string, std::uint64_t>> kind_revisions() const;
  bool is_log_reachable() const { return log_reachable_; }

private:
  void on_batch(const log_batch& batch);
  void load();
  void apply(const log_batch& batch);
  void publish_changes();
  void append_snapshot_if_due();

  asio::io_context& io_;
  log_service& log_;
  catalogue_settings settings_;
  std::chrono::seconds snapshot_after_;
  change_callback on_change_;
  std::optional<catalogue_replica> replica_;
  /// Records read before the state was known, and the oldest retained offset then.
  std::vector<log_record> unloaded_;
  std::uint64_t earliest_ = 1;
  bool caught_up_ = false;
  bool log_reachable_ = false;
  bool snapshot_in_flight_ = false;
  std::optional<catalogue_snapshot> peer_;
  /// What `on_change_` was told: revision of each subject in force.
  std::map<catalogue_subject, std::uint64_t> published_;
  std::optional<std::uint64_t> published_offset_;
  bool behind_log_ = false;
  std::unique_ptr<log_tailer> tailer_;
  std::unique_ptr<log_appender> appender_;
  std::shared_ptr<bool> alive_;
};

} // namespace parsleylead

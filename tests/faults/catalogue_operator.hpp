#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/operate/publish_change.hpp"
#include "parsleylead/platform_log/http_log_service.hpp"

namespace parsleylead::faults {

/// A catalogue change that was accepted.
struct accepted_change {
  catalogue_subject subject;
  std::uint64_t revision = 0;
  /// The quota's rate; 0 for a subject of another type.
  std::uint32_t rate = 0;
  monotonic_time accepted{};
};

/// Publishes catalogue changes to the log as an operator's tool does. Thread-safe.
class catalogue_operator {
public:
  catalogue_operator(const endpoint& log, std::string operator_name);

  /// Publishes a kind with generous limits. Throws std::runtime_error unless it is accepted.
  void publish_kind(const std::string& kind, bool idempotent);

  /// Publishes a new quota of a team, based on the last revision read. Returns the result of the
  /// change, or an error if it is unknown.
  absl::StatusOr<change_result> publish_quota(const std::string& team, std::uint32_t rate);

  /// Sets or removes the drain request of a process. Throws std::runtime_error unless accepted.
  void publish_drain(const std::string& process, bool leave);

  /// Updates the replica from the log.
  absl::Status refresh();

  /// Whether the change at this offset was accepted, according to this object's own replica.
  bool is_accepted(std::uint64_t offset) const;
  std::vector<accepted_change> accepted() const;
  /// Adds a change that another operator published, so that it is checked as well.
  void adopt(const accepted_change& change);
  /// Offset of the newest snapshot in the log, 0 if there is none.
  std::uint64_t newest_snapshot();

private:
  absl::StatusOr<publish_result> publish(const catalogue_subject& subject,
                                         std::optional<catalogue_value> value, std::uint32_t rate);
  void require_accepted(const absl::StatusOr<publish_result>& result,
                        const std::string& changed_name);

  std::string name_;
  mutable std::mutex mutex_;
  http_log_service log_;
  catalogue_replica replica_;
  std::vector<accepted_change> accepted_;
};

} // namespace parsleylead::faults

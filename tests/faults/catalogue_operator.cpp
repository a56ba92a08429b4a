#include "catalogue_operator.hpp"

#include <algorithm>
#include <stdexcept>

#include "parsleylead/catalogue/catalogue_codec.hpp"

namespace parsleylead::faults {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t ample = 100'000;
constexpr publish_options options{milliseconds(20'000), milliseconds(100)};

log_service_settings log_settings(const endpoint& log) {
  log_service_settings settings;
  settings.address = log;
  return settings;
}

} // namespace

catalogue_operator::catalogue_operator(const endpoint& log, std::string operator_name)
    : name_(std::move(operator_name)), log_(log_settings(log)) {}

void catalogue_operator::publish_kind(const std::string& kind, bool idempotent) {
  kind_definition value;
  value.owner = "desk";
  value.urgency = kind.starts_with("index") ? kind_class::batch : kind_class::urgent;
  value.idempotent = idempotent;
  value.limits = {ample, ample, ample, 370, milliseconds(30'000)};
  const std::lock_guard lock(mutex_);
  require_accepted(publish({subject_type::kind, kind}, catalogue_value(value), 0), kind);
}

absl::StatusOr<change_result> catalogue_operator::publish_quota(const std::string& team,
                                                                std::uint32_t rate) {
  const std::lock_guard lock(mutex_);
  const auto result =
      publish({subject_type::owner, team}, catalogue_value(owner_quota{ample, rate}), rate);
  if (!result.ok()) {
    return result.status();
  }
  return result->result;
}

void catalogue_operator::publish_drain(const std::string& process, bool leave) {
  const std::lock_guard lock(mutex_);
  std::optional<catalogue_value> value;
  if (leave) {
    value.emplace(drain_request{});
  }
  require_accepted(publish({subject_type::drain, process}, std::move(value), 0), process);
}

absl::Status catalogue_operator::refresh() {
  const std::lock_guard lock(mutex_);
  return catch_up(log_, replica_, 0);
}

std::vector<accepted_change> catalogue_operator::accepted() const {
  const std::lock_guard lock(mutex_);
  return accepted_;
}

bool catalogue_operator::is_accepted(std::uint64_t offset) const {
  const std::lock_guard lock(mutex_);
  const auto& history = replica_.history();
  return std::any_of(history.begin(), history.end(), [offset](const applied_change& change) {
    return change.offset == offset && change.result == change_result::accepted;
  });
}

void catalogue_operator::adopt(const accepted_change& change) {
  const std::lock_guard lock(mutex_);
  accepted_.push_back(change);
}

std::uint64_t catalogue_operator::newest_snapshot() {
  const std::lock_guard lock(mutex_);
  std::uint64_t newest = 0;
  std::uint64_t from = 1;
  while (true) {
    const auto part = log_.read(catalogue_stream, from, 1000, milliseconds(0));
    if (!part.ok() || part->records.empty()) {
      return newest;
    }
    for (const auto& record : part->records) {
      if (is_snapshot(record.payload) && decode_snapshot(record.payload).value) {
        newest = record.offset;
      }
    }
    from = part->next;
  }
}

absl::StatusOr<publish_result> catalogue_operator::publish(const catalogue_subject& subject,
                                                           std::optional<catalogue_value> value,
                                                           std::uint32_t rate) {
  const catalogue_change change{uuid::make_v7(wall_now()), name_, replica_.revision(subject),
                                subject, std::move(value)};
  auto result = publish_change(log_, replica_, change, options);
  if (result.ok() && result->result == change_result::accepted) {
    accepted_.push_back({subject, result->offset, rate, std::chrono::steady_clock::now()});
  }
  return result;
}

void catalogue_operator::require_accepted(const absl::StatusOr<publish_result>& result,
                                          const std::string& changed_name) {
  if (!result.ok()) {
    throw std::runtime_error("catalogue: " + changed_name + ": " +
                             std::string(result.status().message()));
  }
  if (result->result != change_result::accepted) {
    throw std::runtime_error("catalogue: " + changed_name + " was not accepted: " + result->detail);
  }
}

} // namespace parsleylead::faults

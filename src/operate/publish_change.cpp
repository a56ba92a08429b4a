#include "parsleylead/operate/publish_change.hpp"

#include <algorithm>
#include <thread>

#include "parsleylead/base/error.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/catalogue/catalogue_codec.hpp"
#include "parsleylead/catalogue/load_catalogue.hpp"

namespace parsleylead {
namespace {

constexpr std::size_t records_per_read = 1000;
constexpr std::chrono::milliseconds no_wait{0};

absl::Status incomplete_log() {
  return make_error(absl::StatusCode::kFailedPrecondition, step::catalogue, "",
                    "the log no longer holds the whole catalogue; retry after an entry that is up "
                    "to date has appended a snapshot, see docs/OPERATIONS.md");
}

std::optional<applied_change> find_winner(const catalogue_replica& replica,
                                          const catalogue_subject& subject) {
  const auto& history = replica.history();
  const auto found = std::find_if(history.rbegin(), history.rend(), [&](const auto& change) {
    return change.result == change_result::accepted && change.subject == subject;
  });
  return found == history.rend() ? std::nullopt : std::optional(*found);
}

publish_result make_result(const catalogue_replica& replica, const catalogue_change& change,
                           const applied_change& found) {
  publish_result result{change, found.result, found.offset, found.detail, std::nullopt};
  if (found.result == change_result::conflict) {
    result.winner = find_winner(replica, change.subject);
  }
  return result;
}

} // namespace

absl::StatusOr<catalogue_replica> read_catalogue(log_service& log) {
  std::vector<log_record> records;
  std::uint64_t earliest = 0;
  std::uint64_t from = 1;
  while (true) {
    auto batch = log.read(catalogue_stream, from, records_per_read, no_wait);
    if (!batch.ok()) {
      return batch.status();
    }
    if (records.empty()) {
      earliest = batch->earliest;
    }
    if (batch->records.empty()) {
      break;
    }
    from = batch->next;
    std::move(batch->records.begin(), batch->records.end(), std::back_inserter(records));
  }
  auto replica = load_catalogue(records, earliest, std::nullopt);
  if (!replica) {
    return incomplete_log();
  }
  return *std::move(replica);
}

absl::Status catch_up(log_service& log, catalogue_replica& replica, std::uint64_t last_offset) {
  while (last_offset == 0 || replica.applied_offset() < last_offset) {
    const auto batch =
        log.read(catalogue_stream, replica.applied_offset() + 1, records_per_read, no_wait);
    if (!batch.ok()) {
      return batch.status();
    }
    if (batch->records.empty()) {
      return absl::OkStatus();
    }
    replica.apply(batch->records);
    if (replica.has_gap()) {
      return incomplete_log();
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<publish_result> publish_change(log_service& log, catalogue_replica& replica,
                                              const catalogue_change& change,
                                              const publish_options& options) {
  const auto payload = encode_change(change);
  const auto deadline = std::chrono::steady_clock::now() + options.timeout;
  absl::StatusOr<std::uint64_t> offset = absl::UnknownError("not appended");
  // A failed append may still have taken effect; only the records of the log show whether it did.
  while (true) {
    if (!offset.ok()) {
      offset = log.append(catalogue_stream, payload);
    }
    auto status = catch_up(log, replica, offset.value_or(0));
    if (status.ok()) {
      if (const auto* found = replica.find_change(change.id)) {
        return make_result(replica, change, *found);
      }
      status = offset.ok() ? absl::InternalError(
                                 "the log acknowledged the append but does not return its record")
                           : offset.status();
    }
    if (status.code() == absl::StatusCode::kFailedPrecondition) {
      return status;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      return make_error(absl::StatusCode::kDeadlineExceeded, step::log_append, error_peer(status),
                        "it is unknown whether change " + change.id.to_string() +
                            " was appended: " + std::string(status.message()));
    }
    std::this_thread::sleep_for(options.retry_interval);
  }
}

} // namespace parsleylead

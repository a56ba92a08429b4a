#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "parsleylead/durable/durable_jobs.hpp"

// Private state of `durable_jobs`, shared by its source files.

namespace parsleylead {

struct durable_jobs::pending_reply {
  reply done;
  monotonic_time deadline;
  bool answered = false;

  void answer(durable_answer given_answer) {
    if (!std::exchange(answered, true)) {
      done(given_answer);
    }
  }
};

struct durable_jobs::durable_job {
  durable_record record;
  /// The submission is in the store.
  bool stored = false;
  /// The job was passed to the port and has not ended there.
  bool running = false;
  /// Result of a job that has ended, until the result is stored.
  std::optional<job_verdict> pending_verdict;
  /// The job's retention is over; its records are being deleted.
  bool forgotten = false;
  std::vector<std::shared_ptr<pending_reply>> submitters;

  /// The job is accepted and has no result.
  bool is_open() const { return stored && !record.ended && !pending_verdict; }
  /// The job was accepted earlier, possibly by another owner, and has to be run.
  bool awaits_restart() const { return is_open() && !running; }
};

struct durable_jobs::store_change {
  enum class kind : std::uint8_t { job, submission, restart_epoch };
  kind change_kind = kind::job;
  /// Not used for `restart_epoch`.
  std::uint64_t job = 0;
  monotonic_time queued{};
  /// Latest time at which the change is sent; it may be sent earlier together with others.
  monotonic_time due{};
  std::function<void(bool stored)> on_result;
};

struct durable_jobs::partition_state {
  /// `settling`: runs of earlier epochs may still be active; `open`: none is.
  enum class stage : std::uint8_t { reading, claiming, settling, open, releasing };
  partition_number number = 0;
  /// Identifies this ownership within the process, to discard late answers of the store.
  std::uint64_t serial = 0;
  stage current_stage = stage::reading;
  std::uint64_t epoch = 0;
  /// The claim of this epoch is stored, and `jobs` holds the jobs of earlier owners.
  bool claimed = false;
  /// See `durable_owner`.
  std::uint64_t restart_epoch = 0;
  std::uint64_t log_end = 0;
  std::vector<keyed_record> read_records;
  bool previous_released = true;
  monotonic_time settle_end{};
  /// The `restart_epoch` of this ownership is being stored.
  bool storing_restart_epoch = false;
  monotonic_time release_deadline{};
  std::unordered_map<std::uint64_t, durable_job> jobs;
  std::deque<std::pair<monotonic_time, std::uint64_t>> ended;
  std::deque<store_change> changes;
  std::vector<store_change> sent_changes;
  std::vector<keyed_record> sent_records;
  /// An attempt of the append was not answered: it may take effect until the log's end moves.
  bool sent_unknown = false;
  bool store_call_pending = false;
  monotonic_time retry_at{};
  bool append_failing = false;

  bool owned() const { return current_stage == stage::settling || current_stage == stage::open; }
  durable_owner owner_record(const std::string& member, bool released) const {
    return {epoch, member, released, restart_epoch};
  }
  bool writable() const { return owned() || (current_stage == stage::releasing && epoch != 0); }
};

} // namespace parsleylead

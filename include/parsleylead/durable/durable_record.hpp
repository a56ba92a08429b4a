#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/fleet/fleet_job.hpp"
#include "parsleylead/store/keyed_store.hpp"

namespace parsleylead {

/// Stored state of a durable job: its submission and its progress or result.
struct durable_record {
  /// `ownership` is not set.
  fleet_job job;
  /// Epoch of the partition in which the job was accepted.
  std::uint64_t first_epoch = 0;
  /// Indexed by step and task.
  std::vector<std::vector<task_progress>> progress;
  /// Set once the job has ended. Only the id of `job` and the attempts of `progress` are kept then.
  std::optional<job_verdict> ended;
};

/// Stored ownership of a partition of durable jobs.
struct durable_owner {
  std::uint64_t epoch = 0;
  std::string member;
  /// The owner has released the partition, and none of its tasks is running.
  bool released = false;
  /// Latest epoch whose owner may have started tasks of earlier epochs again; 0 for none.
  std::uint64_t restart_epoch = 0;
};

/// Key of the record that holds a partition's `durable_owner`.
inline constexpr const char* owner_key = "owner";

/// Keys of a job's records. Thread-safe, like all functions of this file.
std::string submission_key(std::uint64_t job);
std::string progress_key(std::uint64_t job);
/// A parsed record key: the job and whether the record holds its progress.
struct durable_key {
  std::uint64_t job = 0;
  bool is_progress = false;
};
std::optional<durable_key> parse_durable_key(const std::string& key);

std::string write_submission(const durable_record& record);
std::string write_progress(const durable_record& record);
std::string write_owner(const durable_owner& owner);

/// Errors: kInvalidArgument if `text` is not a valid record.
absl::StatusOr<durable_record> parse_durable_submission(std::uint64_t job, const std::string& text);
/// Adds stored progress to a record. Errors: kInvalidArgument; leaves the record unchanged.
absl::Status parse_durable_progress(const std::string& text, durable_record& record);
absl::StatusOr<durable_owner> parse_durable_owner(const std::string& text);

/// Returns the progress of a job none of whose tasks has run.
std::vector<std::vector<task_progress>> empty_progress(const fleet_job& job);

} // namespace parsleylead

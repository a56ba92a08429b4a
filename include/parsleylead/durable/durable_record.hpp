#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/fleet/fleet_job.hpp"
#include "parsleylead/store/keyed_store.hpp"

namespace parsleylead {

/// A job as its owner stores it: what the caller submitted, and what has become of it.
struct durable_record {
  /// Without `tenure`.
  fleet_job job;
  /// Epoch of the partition in which the job was accepted.
  std::uint64_t first_epoch = 0;
  /// By step and task.
  std::vector<std::vector<task_progress>> progress;
  /// Set once the job has ended; of `job` and `progress` only the id and the attempts are kept
  /// then.
  std::optional<job_verdict> ended;
};

/// Who owns a partition of durable jobs.
struct durable_owner {
  std::uint64_t epoch = 0;
  std::string member;
  /// The owner has given the partition up, and nothing of it runs.
  bool released = false;
};

/// Key of the record that names the owner of a partition.
inline constexpr const char* owner_key = "owner";

/// Keys of a job's records. Thread-safe, like all functions of this file.
std::string submission_key(std::uint64_t job);
std::string progress_key(std::uint64_t job);
/// The job that a key belongs to, and whether it is the key of its progress.
struct durable_key {
  std::uint64_t job = 0;
  bool is_progress = false;
};
std::optional<durable_key> parse_durable_key(const std::string& key);

std::string write_submission(const durable_record& record);
std::string write_progress(const durable_record& record);
std::string write_owner(const durable_owner& owner);

/// Errors: kInvalidArgument for bytes that are no such record.
absl::StatusOr<durable_record> parse_durable_submission(std::uint64_t job, const std::string& text);
/// Adds the progress to a record. Errors: kInvalidArgument; the record is unchanged then.
absl::Status parse_durable_progress(const std::string& text, durable_record& record);
absl::StatusOr<durable_owner> parse_durable_owner(const std::string& text);

/// Progress without any run, in the shape of the job's steps.
std::vector<std::vector<task_progress>> empty_progress(const fleet_job& job);

} // namespace parsleylead

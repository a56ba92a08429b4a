#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace parsleylead {

/// A job to submit, as a user writes it in a file: {"kind","key"?,"budget_ms","tasks":[...]}. A
/// task is a string, {"base64":"..."} for bytes, or any other JSON value, which is sent as its JSON
/// text.
class job_file {
public:
  /// Parses JSON with comments. Errors: kInvalidArgument naming the faulty field.
  static absl::StatusOr<job_file> parse(std::string_view text);

  const std::string& key() const { return key_; }
  void set_key(std::string key) { key_ = std::move(key); }
  std::chrono::milliseconds budget() const { return budget_; }

  /// Body for POST /v1/jobs.
  std::string body(bool wait) const;

private:
  job_file() = default;

  std::string kind_;
  std::string key_;
  std::chrono::milliseconds budget_{0};
  /// The list of tasks as JSON.
  std::string tasks_;
};

/// Reads and parses a file. Errors: kInvalidArgument, naming the file.
absl::StatusOr<job_file> load_job_file(const std::string& path);

/// Formats an entry's answer as text, one line for each field. Returns an answer that is not a JSON
/// object unchanged.
std::string describe_answer(const std::string& body);

} // namespace parsleylead

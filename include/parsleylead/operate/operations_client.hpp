#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

/// Reads a page from a process's operations port. Returns the body of a response with status 200.
using page_reader =
    std::function<absl::StatusOr<std::string>(const endpoint& process, const std::string& path)>;

/// Reads pages over HTTP. Errors: kUnavailable or kAborted if no response arrived; kInternal for
/// any status but 200.
page_reader make_page_reader(std::chrono::milliseconds timeout);

/// The offset up to which a process has applied the catalogue, and the digest of its state.
struct catalogue_position {
  endpoint address;
  /// The process's name; its address if it did not answer.
  std::string process;
  std::uint64_t offset = 0;
  std::string digest;
  /// Empty if the process answered.
  std::string error;
};

/// Reads /v1/catalogue of each process.
std::vector<catalogue_position> read_positions(const std::vector<endpoint>& processes,
                                               const page_reader& read);

/// Returns the body of a request for an entry's explanation of what it would do with a submission.
/// Errors: kInvalidArgument if the submission is not a JSON document. Thread-safe.
absl::StatusOr<std::string> make_explanation_request(const std::string& host,
                                                     const std::string& path,
                                                     const std::string& submission);

struct wait_options {
  std::uint64_t offset = 0;
  std::chrono::milliseconds timeout{10'000};
  std::chrono::milliseconds poll_interval{100};
};

struct wait_result {
  bool reached = false;
  std::vector<catalogue_position> positions;
  /// Names of the processes that have not reached the offset or did not answer.
  std::vector<std::string> lagging;
  /// Names of the processes whose digest differs from that of another process at the same offset.
  /// Replicas must never diverge.
  std::vector<std::string> diverged;
};

/// Waits until every process has applied the offset. Blocks. Reads at least once.
wait_result wait_for_offset(const std::vector<endpoint>& processes, const page_reader& read,
                            const wait_options& options);

} // namespace parsleylead

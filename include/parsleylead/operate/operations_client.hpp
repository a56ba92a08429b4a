#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

/// Reads a page of a process's operations port: body of the answer with status 200.
using page_reader =
    std::function<absl::StatusOr<std::string>(const endpoint& process, const std::string& path)>;

/// Reads pages over HTTP. Errors: kUnavailable or kAborted without an answer; kInternal for any
/// status but 200.
page_reader make_page_reader(std::chrono::milliseconds timeout);

/// How far one process has applied the catalogue.
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
  /// Names of processes with the same offset as another one, but another state: a fault.
  std::vector<std::string> diverged;
};

/// Waits until every process has applied the offset. Blocks. Reads at least once.
wait_result wait_for_offset(const std::vector<endpoint>& processes, const page_reader& read,
                            const wait_options& options);

} // namespace parsleylead

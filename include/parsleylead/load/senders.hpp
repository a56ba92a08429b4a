#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include "parsleylead/load/connection_pool.hpp"
#include "parsleylead/load/job_outcome.hpp"
#include "parsleylead/load/job_spec.hpp"

namespace parsleylead {

/// Sends jobs to entries in round-robin order, as a load balancer would. If an entry refuses the
/// connection, tries the next one. Thread-safe.
class entry_sender {
public:
  /// With `resubmit`, a non-idempotent job whose answer was lost is resent with the same key to
  /// another entry. Precondition: `entries` is not empty.
  entry_sender(const std::vector<endpoint>& entries, http_timeouts timeouts, bool resubmit);

  /// Sends a job and waits for its end. Leaves `response_time` at 0.
  job_outcome send(const job_spec& job);

private:
  struct attempt {
    std::size_t entry = 0;
    absl::StatusOr<http_response> response;
  };

  attempt post(const std::string& body, std::size_t first_entry);
  job_outcome send_and_cancel(const job_spec& job, const std::string& key);
  absl::StatusOr<http_response> wait_for_end(std::size_t entry, const std::string& path,
                                             std::chrono::milliseconds budget);

  std::vector<std::unique_ptr<connection_pool>> entries_;
  bool resubmit_;
  std::atomic<std::size_t> next_entry_{0};
};

/// Sends the first task of each job directly to an upstream, as a baseline without the dispatcher.
/// Thread-safe.
class upstream_sender {
public:
  upstream_sender(const endpoint& upstream, http_timeouts timeouts) : pool_(upstream, timeouts) {}

  job_outcome send(const job_spec& job);

private:
  connection_pool pool_;
};

} // namespace parsleylead

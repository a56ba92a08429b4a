#pragma once

#include <string>
#include <vector>

#include "caller_load.hpp"
#include "site.hpp"

namespace parsleylead::faults {

/// What a fault may do to callers.
enum class tolerance {
  /// Nothing: no connection may break and no job may end as "may have run".
  no_cut_request,
  /// Processes or upstreams were lost: jobs may fail, truthfully.
  truthful_failures,
};

/// Totals for the row, and everything that broke a promise.
struct verdict {
  std::size_t jobs = 0;
  std::size_t complete = 0;
  std::size_t not_run = 0;
  std::size_t failed = 0;
  std::size_t lost = 0;
  std::size_t starts = 0;
  std::vector<std::string> violations;

  std::string summary() const;
};

/// Compares what the callers saw with what the upstreams started. Call when nothing runs any more.
verdict judge_run(const site& place, const std::vector<attempt>& attempts, tolerance allowed);

/// Entries whose account does not balance or still shows open jobs.
std::vector<std::string> judge_accounts(const site& place);

} // namespace parsleylead::faults

#pragma once

#include <string>
#include <vector>

#include "caller_load.hpp"
#include "site.hpp"

namespace parsleylead::faults {

/// Which effects of a fault on callers are allowed.
enum class tolerance {
  /// No caller connection may break and no job may end as "may have run".
  no_failures,
  /// Processes or upstreams are lost: jobs may fail if the replies report this correctly.
  reported_failures,
};

/// Totals of a run and all violations of the guarantees.
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

/// Compares the replies to callers with the tasks that the upstreams started. Call after all
/// processes and callers have stopped.
verdict judge_run(const site& test_site, const std::vector<attempt>& attempts, tolerance allowed);

/// Returns a violation for each entry whose account does not balance or still has open jobs.
std::vector<std::string> judge_accounts(const site& test_site);

} // namespace parsleylead::faults

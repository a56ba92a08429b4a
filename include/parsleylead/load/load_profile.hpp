#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace parsleylead {

/// Number of tasks of a job.
struct size_distribution {
  enum class shape { uniform, heavy_tailed };
  shape form = shape::uniform;
  std::uint32_t max = 1;
};

/// Run time of a task: log-normal between `min` and `max`, except for a share of long tasks that
/// are uniform between `long_min` and `long_max`.
struct time_distribution {
  std::chrono::milliseconds median{200};
  std::chrono::milliseconds min{50};
  std::chrono::milliseconds max{1000};
  double long_share = 0.02;
  std::chrono::milliseconds long_min{2000};
  std::chrono::milliseconds long_max{5000};
};

/// A kind of task and its share of the jobs.
struct kind_share {
  std::string kind;
  double weight = 1;
};

/// The rate is multiplied by `factor` from `start` to `start + duration`.
struct burst {
  double factor = 1;
  std::chrono::duration<double> start{0};
  std::chrono::duration<double> duration{0};
};

/// Parameters of a generated load. The same profile, including its seed, gives the same jobs.
struct load_profile {
  std::uint64_t seed = 1;
  double jobs_per_second = 1;
  /// The run ends after this many jobs or this time, whichever comes first; 0 means no limit.
  std::uint64_t max_jobs = 0;
  std::chrono::duration<double> duration{0};
  size_distribution sizes;
  time_distribution times;
  std::vector<kind_share> kinds;
  std::set<std::string> non_idempotent;
  double cancel_share = 0;
  std::optional<burst> peak;
  std::chrono::milliseconds budget{30'000};
};

/// Parses "uniform:N" or "heavy:N". Errors of this and the following functions: kInvalidArgument.
absl::StatusOr<size_distribution> parse_sizes(std::string_view text);

/// Parses "a=0.5,b=0.5" or "a,b"; the weights need not add up to 1.
absl::StatusOr<std::vector<kind_share>> parse_kinds(std::string_view text);

/// Parses "FACTOR@START+DURATION" in seconds, for example "5@10+2".
absl::StatusOr<burst> parse_burst(std::string_view text);

/// Checks that the values of the profile are valid and consistent.
absl::Status check(const load_profile& profile);

} // namespace parsleylead

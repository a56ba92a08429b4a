#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleylead {

/// A route configured by the operators: matches requests by host and path, and sets the terms of
/// their jobs.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  /// A job should end within `stretch` times its own run time plus this time.
  std::chrono::milliseconds target_duration{0};
  double stretch = 1.0;
  std::uint32_t max_attempts = 1;
  std::uint32_t priority = 0;
  std::chrono::milliseconds timeout{0};
  /// Each start must be permitted by an advisory service that decides per step and worker.
  bool needs_advice = false;
  /// Why no job can be taken for the route; empty if jobs can be taken.
  std::string defect;
};

/// A route that cannot be used as it is configured.
struct route_defect {
  /// Position in the configuration, counted from 0.
  std::size_t position = 0;
  /// Empty if the name cannot be read.
  std::string name;
  /// Names the field.
  std::string cause;

  bool operator==(const route_defect&) const = default;
};

/// All routes of one configuration version. Immutable after construction; thread-safe.
class route_table {
public:
  route_table() = default;
  /// `defects`: the routes that take no jobs, and those that are not among `routes`, since requests
  /// cannot be matched to them.
  route_table(std::int64_t version, std::vector<route> routes,
              std::vector<route_defect> defects = {});

  std::int64_t version() const { return version_; }
  std::size_t size() const { return routes_.size(); }
  const std::vector<route_defect>& defects() const { return defects_; }

  /// The route of this host with the longest prefix that matches `path`; null if there is none. A
  /// port in `host` is ignored.
  const route* find(std::string_view host, std::string_view path) const;

private:
  std::int64_t version_ = -1;
  /// Sorted by host, then by prefix length in descending order.
  std::vector<route> routes_;
  std::vector<route_defect> defects_;
};

} // namespace parsleylead

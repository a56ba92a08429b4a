#pragma once

#include <chrono>
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
};

/// All routes of one configuration version. Immutable after construction; thread-safe.
class route_table {
public:
  route_table() = default;
  route_table(std::int64_t version, std::vector<route> routes);

  std::int64_t version() const { return version_; }
  std::size_t size() const { return routes_.size(); }

  /// The route of this host with the longest prefix that matches `path`; null if there is none. A
  /// port in `host` is ignored.
  const route* find(std::string_view host, std::string_view path) const;

private:
  std::int64_t version_ = -1;
  /// Sorted by host, then by prefix length in descending order.
  std::vector<route> routes_;
};

} // namespace parsleylead

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleylead {

/// One route of the operators: the callers of a host and path, and the terms of their jobs.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  /// Jobs should end within this time beyond `stretch` times their work.
  std::chrono::milliseconds target{0};
  double stretch = 1.0;
  std::uint32_t max_attempts = 1;
  std::uint32_t priority = 0;
  std::chrono::milliseconds timeout{0};
  /// Starts need the permission of a service that decides per step and worker.
  bool needs_advice = false;
};

/// All routes of one version. Immutable after construction; thread-safe.
class route_table {
public:
  route_table() = default;
  route_table(std::int64_t version, std::vector<route> routes);

  std::int64_t version() const { return version_; }
  std::size_t size() const { return routes_.size(); }

  /// The route whose host matches and whose prefix is the longest that `path` begins with; null if
  /// there is none. A port in `host` is ignored.
  const route* find(std::string_view host, std::string_view path) const;

private:
  std::int64_t version_ = -1;
  /// By host, then by prefix length, the longest first.
  std::vector<route> routes_;
};

} // namespace parsleylead

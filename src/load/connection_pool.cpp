#include "parsleylead/load/connection_pool.hpp"

namespace parsleylead {

absl::StatusOr<http_response> connection_pool::send(const http_request& request) {
  auto client = acquire();
  auto response = client.send(request);
  if (response.ok()) {
    release(std::move(client));
  }
  return response;
}

http_client connection_pool::acquire() {
  // Declared before the lock, so that the expired connections are closed after it is released.
  std::vector<idle_connection> expired;
  const std::lock_guard lock(mutex_);
  const auto min_idle_since = std::chrono::steady_clock::now() - max_idle_time;
  if (!idle_.empty() && idle_.back().idle_since < min_idle_since) {
    expired.swap(idle_);
  }
  if (idle_.empty()) {
    return http_client(server_, timeouts_);
  }
  auto client = std::move(idle_.back().client);
  idle_.pop_back();
  return client;
}

void connection_pool::release(http_client client) {
  const std::lock_guard lock(mutex_);
  if (idle_.size() < max_idle) {
    idle_.push_back({std::move(client), std::chrono::steady_clock::now()});
  }
}

} // namespace parsleylead

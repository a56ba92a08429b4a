#pragma once

#include <memory>

#include "parsleylead/platform_log/log_service.hpp"
#include "parsleylead/settings/common_settings.hpp"

namespace parsleylead {

/// Client of the platform's log over HTTP (docs/design.md, section 6). Uses one connection for each
/// call in progress, so that a long poll never delays an append. Thread-safe.
class http_log_service final : public log_service {
public:
  explicit http_log_service(log_service_settings settings);
  /// Precondition: no call is in progress.
  ~http_log_service() override;
  http_log_service(const http_log_service&) = delete;
  http_log_service& operator=(const http_log_service&) = delete;

  /// Exceeding the log's rate limit (status 429) is kUnavailable, too.
  absl::StatusOr<std::uint64_t> append(std::string_view stream, std::string_view payload) override;
  absl::StatusOr<log_read_result> read(std::string_view stream, std::uint64_t from,
                                       std::size_t max_records,
                                       std::chrono::milliseconds max_wait) override;
  void close() override;

private:
  class connection_pool;
  std::unique_ptr<connection_pool> pool_;
};

} // namespace parsleylead

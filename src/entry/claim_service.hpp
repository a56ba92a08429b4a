#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "parsleylead/claim/claimant.hpp"
#include "parsleylead/entry/gateways.hpp"
#include "parsleylead/platform_log/log_appender.hpp"
#include "parsleylead/platform_log/log_tailer.hpp"
#include "parsleylead/settings/entry_settings.hpp"

namespace parsleylead {

/// Runs one claimant per claim partition against the platform's log. Control thread only; the
/// threads that it starts post to the control thread.
class claim_service : public claim_gateway {
public:
  using decision_callback = std::function<void(const claim_decision&)>;

  /// `log` must outlive the service.
  claim_service(asio::io_context& io, log_service& log, const entry_settings& settings);
  ~claim_service() override;
  claim_service(const claim_service&) = delete;
  claim_service& operator=(const claim_service&) = delete;

  /// Starts the threads. `rpc_address`: address of this entry for other entries, "ip:port".
  void start(std::string rpc_address, decision_callback on_decision);

  /// Joins the threads. Precondition: the log was closed.
  void stop();

  std::optional<claim_decision> request_claim(const uuid& key, const uuid& submission,
                                              std::uint64_t digest, monotonic_time deadline,
                                              monotonic_time now) override;
  void release(const uuid& key, const uuid& submission) override;
  void abandon(const uuid& key, const uuid& submission) override;
  void record_outcome(const uuid& key, const uuid& submission, std::string state,
                      std::optional<std::string> answer, monotonic_time now) override;

  /// True if no request is undecided and no append is queued or in flight.
  bool idle() const;

  /// Sum of the statistics of all partitions.
  claimant_statistics statistics() const;
  /// Offset after the last record read of partition 0; 0 before the first read.
  std::uint64_t next_offset() const;

private:
  struct waiting_request {
    uuid key;
    uuid submission;
    std::uint64_t digest = 0;
    monotonic_time deadline;
  };
  struct partition {
    std::string stream;
    std::thread offset_finder;
    std::unique_ptr<claimant> claims;
    std::unique_ptr<log_appender> appender;
    std::unique_ptr<log_tailer> tailer;
    /// Requests received before the first offset was known.
    std::vector<waiting_request> waiting_requests;
  };

  partition& partition_of(const uuid& key);
  void find_first_offset(partition& target);
  void start_partition(partition& target, std::uint64_t first_offset);
  void append_pending(partition& target);
  void tick();
  void deliver(const std::vector<claim_decision>& decisions);
  void expire_waiting(partition& target, monotonic_time now);

  asio::io_context& io_;
  log_service& log_;
  claimant_options options_;
  std::chrono::milliseconds poll_wait_;
  std::vector<std::unique_ptr<partition>> partitions_;
  decision_callback on_decision_;
  asio::steady_timer timer_;
  std::shared_ptr<bool> alive_;
  std::atomic<bool> stopping_{false};
};

} // namespace parsleylead

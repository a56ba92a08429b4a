#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/web/web_client.hpp"
#include "parsleylead/web/web_server.hpp"

namespace parsleylead::standin {

/// Faults that a worker injects. Shares are between 0 and 1.
struct worker_faults {
  /// Share of requests that are executed but get no response.
  double lost_response_share = 0;
  /// Share of requests that get no response and are executed 1 to 4 seconds later.
  double late_request_share = 0;
  /// Share of runs that end as failed.
  double failed_run_share = 0;
  /// Runs make no progress.
  bool hang = false;
};

/// Receives the events of workers.
class worker_observer {
public:
  virtual ~worker_observer() = default;
  virtual void run_started(const std::string& worker, const std::string& task, std::uint64_t run,
                           const std::string& payload) = 0;
  /// `outcome` is "done", "failed", "stopped", "lapsed" or "crashed".
  virtual void run_ended(const std::string& worker, const std::string& task, std::uint64_t run,
                         const std::string& outcome) = 0;
  /// The agent has acknowledged the end of a run that is done, and the worker's lease has not
  /// lapsed since the run ended, so the worker may delete its record of the end.
  virtual void completion_acknowledged(const std::string& task, std::uint64_t run) = 0;
  /// Runs need more CPU than the worker has.
  virtual void overloaded(const std::string& worker) = 0;
};

/// A test double of a worker, written from the platform's protocol page: runs under a lease,
/// fencing tokens, lists of runs, and announcements to its agent. A task's payload "work_ms
/// cpu_millis" sets the run time and the CPU that a run needs. Not thread-safe: use it only on the
/// thread that runs `io`.
class worker_service {
public:
  worker_service(asio::io_context& io, std::string id, const endpoint& address,
                 const endpoint& agent, std::uint64_t seed, worker_observer& observer);

  absl::Status listen() { return server_.listen(address_); }
  void set_faults(const worker_faults& faults) { faults_ = faults; }
  void set_draining(bool draining) { draining_ = draining; }
  /// Ends all runs and restarts the worker as a new incarnation with the same id.
  void crash();
  const std::string& id() const { return id_; }
  std::size_t running() const { return runs_.size(); }

  static constexpr std::uint32_t capacity_cpu_millis = 16'000;

private:
  struct run {
    std::uint64_t number = 0;
    double remaining_ms = 0;
    double work_ms = 0;
    std::uint32_t cpu_millis = 0;
    bool stopping = false;
  };
  struct ended_run {
    /// Position in the worker's sequence of ends; agents acknowledge by it.
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string outcome;
    /// Whether the worker's lease has lapsed since the run ended.
    bool lapsed = false;
  };
  struct pending_hold {
    std::shared_ptr<web_exchange> exchange;
    std::chrono::steady_clock::time_point deadline;
  };

  void handle(const std::shared_ptr<web_exchange>& exchange);
  /// Executes a request and returns the response.
  web_response execute(const std::string& path, const std::string& body);
  web_response start_run(const std::string& body);
  web_response stop_run(const std::string& body);
  void extend_lease(std::int64_t lease_end_ms);
  void handle_hold(const std::shared_ptr<web_exchange>& exchange);
  web_response run_lists() const;
  void end_run(const std::string& task, const std::string& outcome);
  void announce();
  void tick();
  /// Returns true with the probability `share`.
  bool happens(double share);
  std::int64_t clock_ms() const;

  asio::io_context& io_;
  std::string id_;
  endpoint address_;
  worker_observer& observer_;
  std::mt19937_64 random_;
  web_server server_;
  web_client agent_;
  asio::steady_timer tick_timer_;
  worker_faults faults_;
  bool draining_ = false;
  std::int64_t start_time_ms_ = 0;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t highest_fencing_token_ = 0;
  std::uint64_t last_end_number_ = 0;
  std::int64_t lease_end_ms_ = 0;
  std::chrono::steady_clock::time_point clock_start_;
  std::chrono::steady_clock::time_point last_tick_;
  std::chrono::steady_clock::time_point next_announcement_{};
  std::map<std::string, run> runs_;
  /// By task: the highest run that has ended or been stopped.
  std::map<std::string, std::uint64_t> last_ended_runs_;
  std::vector<ended_run> unacknowledged_ends_;
  std::vector<pending_hold> pending_holds_;
  /// Kept open, so that the requests get no response.
  std::vector<std::shared_ptr<web_exchange>> unanswered_;
};

} // namespace parsleylead::standin

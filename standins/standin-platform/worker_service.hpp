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

/// What a worker does wrong. Shares are between 0 and 1.
struct worker_faults {
  /// Orders that are carried out and not answered.
  double lost_response_share = 0;
  /// Orders that are not answered and carried out seconds later.
  double late_request_share = 0;
  /// Runs that end as failed.
  double failed_run_share = 0;
  /// Runs make no progress.
  bool hang = false;
};

/// Sees all that happens at workers.
class worker_observer {
public:
  virtual ~worker_observer() = default;
  virtual void run_started(const std::string& worker, const std::string& task, std::uint64_t run,
                           const std::string& payload) = 0;
  /// `how` is one of the worker's words for ends.
  virtual void run_ended(const std::string& worker, const std::string& task, std::uint64_t run,
                         const std::string& how) = 0;
  /// The worker may forget that a run was done: its agent has taken note of the end, and no lease
  /// has lapsed since the run ended.
  virtual void completion_acknowledged(const std::string& task, std::uint64_t run) = 0;
  virtual void overloaded(const std::string& worker) = 0;
};

/// A test double of a worker, written from the platform's protocol page: runs under a lease,
/// fencing tokens, lists of runs, announcements to its agent. A payload "work_ms cpu_millis" says
/// how long a run takes and what it needs. Used on the loop's thread only.
class worker_service {
public:
  worker_service(asio::io_context& io, std::string id, const endpoint& address,
                 const endpoint& agent, std::uint64_t seed, worker_observer& observer);

  absl::Status listen() { return server_.listen(address_); }
  void set_faults(const worker_faults& faults) { faults_ = faults; }
  void set_draining(bool draining) { draining_ = draining; }
  /// Everything that runs is gone; the worker begins a new life under its id.
  void crash();
  const std::string& id() const { return id_; }
  std::size_t running() const { return runs_.size(); }

  static constexpr std::uint32_t capacity_cpu_millis = 16'000;

private:
  struct run {
    std::uint64_t number = 0;
    double left_ms = 0;
    double work_ms = 0;
    std::uint32_t cpu_millis = 0;
    bool stopping = false;
  };
  struct end {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    /// The worker's lease has lapsed since.
    bool lapsed = false;
  };
  struct waiting_list {
    std::shared_ptr<web_exchange> exchange;
    std::chrono::steady_clock::time_point until;
  };

  void handle(const std::shared_ptr<web_exchange>& exchange);
  /// Returns the response after carrying the order out.
  web_response carry_out(const std::string& path, const std::string& body);
  web_response start(const std::string& body);
  web_response stop(const std::string& body);
  void extend(std::int64_t until_ms);
  void hold(const std::shared_ptr<web_exchange>& exchange);
  web_response lists() const;
  void finish(const std::string& task, const std::string& how);
  void announce();
  void tick();
  bool roll(double share);
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
  std::int64_t born_ms_ = 0;
  std::uint64_t life_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  std::uint64_t last_end_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::chrono::steady_clock::time_point began_;
  std::chrono::steady_clock::time_point last_tick_;
  std::chrono::steady_clock::time_point next_announcement_{};
  std::map<std::string, run> runs_;
  std::map<std::string, std::uint64_t> ended_runs_;
  std::vector<end> ends_;
  std::vector<waiting_list> waiting_;
  std::vector<std::shared_ptr<web_exchange>> unanswered_;
};

} // namespace parsleylead::standin

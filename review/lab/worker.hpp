#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/web/web_client.hpp"
#include "parsleylead/web/web_server.hpp"

namespace parsleylead::review {

struct worker_shape {
  std::string id;
  std::string service = "desk";
  /// The worker's kind, then its rack.
  std::vector<std::string> labels{"a", "r1"};
  std::uint32_t cpu_millis = 16'000;
  std::uint32_t memory_mb = 32'768;
};

/// A worker that does what the platform's pages say: it starts whatever it is told to, holds a
/// lease for all runs on a clock of its own, lists at most 500 ends that were not taken note of,
/// and knows nothing of its earlier life after a crash. `spec` is the run time in
/// milliseconds. Used on the loop's thread only.
class worker {
public:
  /// `event`: "start", "done", "stopped", "lapsed" or "crashed". No run ends as failed.
  using observer = std::function<void(const std::string& worker, const std::string& task,
                                      std::uint64_t run, const std::string& event)>;

  worker(asio::io_context& io, worker_shape shape, const endpoint& address, const endpoint& agent,
         observer on_event);

  absl::Status listen();
  /// Ends all runs, refuses connections for `downtime` and comes back in a new life under the same
  /// id.
  void crash(std::chrono::milliseconds downtime);
  /// While unhealthy, the worker answers starts with 503 and does nothing.
  void set_unhealthy(bool unhealthy) { unhealthy_ = unhealthy; }
  std::size_t refused_starts() const { return refused_starts_; }
  const worker_shape& shape() const { return shape_; }
  std::vector<std::string> running_tasks() const;
  /// Number of ends that were not taken note of.
  std::size_t unacknowledged_ends() const { return ends_.size(); }

private:
  using time_point = std::chrono::steady_clock::time_point;
  struct active_run {
    std::uint64_t number = 0;
    time_point began;
    time_point ends;
    bool stopping = false;
  };
  struct ended_run {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };
  struct pending_hold {
    std::shared_ptr<web_exchange> exchange;
    time_point deadline;
  };

  void handle(const std::shared_ptr<web_exchange>& exchange);
  web_response start(const std::string& body);
  web_response stop(const std::string& body);
  void hold(const std::shared_ptr<web_exchange>& exchange);
  web_response lists() const;
  void extend_lease(std::int64_t until_ms);
  bool is_fenced(std::uint64_t token);
  void end_run(const std::string& task, const std::string& how);
  void announce();
  void begin_life();
  void tick();
  std::int64_t clock_ms() const;

  asio::io_context& io_;
  worker_shape shape_;
  endpoint address_;
  web_client agent_;
  observer on_event_;
  asio::steady_timer timer_;
  std::unique_ptr<web_server> server_;
  bool unhealthy_ = false;
  std::size_t refused_starts_ = 0;
  std::int64_t born_ms_ = 0;
  time_point life_began_;
  std::optional<time_point> down_until_;
  time_point next_announcement_{};
  std::uint64_t sequence_ = 0;
  std::uint64_t highest_token_ = 0;
  std::int64_t lease_end_ms_ = 0;
  std::uint64_t last_end_ = 0;
  std::map<std::string, active_run> runs_;
  /// By task: the highest run that was stopped or has ended.
  std::map<std::string, std::uint64_t> last_runs_;
  std::vector<ended_run> ends_;
  std::vector<pending_hold> holds_;
};

} // namespace parsleylead::review

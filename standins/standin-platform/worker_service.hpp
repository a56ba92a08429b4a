#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  /// A start brought the CPU that the runs need above the worker's capacity.
  virtual void overloaded(const std::string& worker) = 0;
};

/// A test double of a worker, written from the platform's protocol page: runs under a lease,
/// fencing tokens, lists of runs, and announcements to its agent. A task's payload "work_ms
/// cpu_millis" sets the run time and the CPU that a run needs. A payload "work_ms cpu_millis
/// deadly" also crashes the worker shortly after the run starts; "work_ms cpu_millis deadly N" does
/// so for the tasks with index N only, since all tasks of a job have the same payload. Not
/// thread-safe: use it only on the thread that runs `io`.
class worker_service {
public:
  worker_service(asio::io_context& io, std::string id, const endpoint& address,
                 const endpoint& agent, std::uint64_t seed, worker_observer& observer);

  absl::Status listen();
  /// Sets the address that announcements show, for a worker behind a relay. Without it, they show
  /// the address that the worker listens at.
  void set_announced_address(const endpoint& address) { announced_address_ = address; }
  /// `changed` is called with false when the worker stops listening for a downtime, and with true
  /// when it listens again.
  void set_listening_handler(std::function<void(bool)> changed) {
    listening_changed_ = std::move(changed);
  }
  void set_faults(const worker_faults& faults) { faults_ = faults; }
  void set_draining(bool draining) { draining_ = draining; }
  /// Precondition: `listen` has not been called.
  void set_labels(std::vector<std::string> labels) { labels_ = std::move(labels); }
  /// Ends all runs and restarts the worker as a new incarnation. With a downtime, the worker closes
  /// all connections, refuses new ones and sends no announcements until the downtime is over.
  void crash(std::chrono::milliseconds downtime = {}, bool new_id = false);
  /// Limits of the downtime after a crash caused by a task, which is chosen at random.
  void set_downtime(std::chrono::milliseconds shortest, std::chrono::milliseconds longest);
  /// Changes the capacity. The next announcement shows it. Starts are judged against a smaller
  /// capacity only some time after an announcement that shows it was acknowledged; runs that are
  /// present may stay. Orders that are executed late are judged by the time at which they arrived.
  void set_capacity(std::uint32_t cpu_millis);
  const std::string& id() const { return id_; }
  std::size_t running() const { return runs_.size(); }
  /// Whether the worker executes an order that it left unanswered; see
  /// `worker_faults::late_request_share`.
  bool executing_late() const { return executing_late_; }
  std::vector<std::string> running_tasks() const;

  /// Number of crashes that tasks caused.
  std::size_t crashes() const { return crashes_; }

  static constexpr std::uint32_t full_capacity_cpu_millis = 16'000;

private:
  struct run {
    std::uint64_t number = 0;
    double remaining_ms = 0;
    double work_ms = 0;
    std::uint32_t cpu_millis = 0;
    bool stopping = false;
    /// When the run crashes the worker. Such a run never completes.
    std::optional<std::chrono::steady_clock::time_point> crash_at;
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
  /// Executes a request and returns the response. `capacity` was in force when it arrived.
  web_response execute(const std::string& path, const std::string& body, std::uint32_t capacity);
  web_response start_run(const std::string& body, std::uint32_t capacity);
  web_response stop_run(const std::string& body);
  void extend_lease(std::int64_t lease_end_ms);
  void handle_hold(const std::shared_ptr<web_exchange>& exchange);
  web_response run_lists() const;
  void end_run(const std::string& task, const std::string& outcome);
  void announce();
  /// An announcement that showed this capacity was acknowledged.
  void capacity_acknowledged(std::uint32_t cpu_millis);
  void begin_downtime(std::chrono::milliseconds downtime);
  /// Starts the new incarnation after a crash.
  void restart();
  /// Crashes the worker if a run is due to do so. Returns whether it was.
  bool crash_if_due();
  /// Adds the ends of the runs that end now.
  void end_due_runs(std::chrono::duration<double, std::milli> elapsed);
  void tick();
  /// Returns true with the probability `share`.
  bool happens(double share);
  std::int64_t clock_ms() const;

  asio::io_context& io_;
  std::string id_;
  endpoint address_;
  endpoint announced_address_;
  std::function<void(bool)> listening_changed_ = [](bool /*listening*/) {};
  worker_observer& observer_;
  std::mt19937_64 random_;
  /// Null while the worker is down after a crash.
  std::unique_ptr<web_server> server_;
  web_client agent_;
  asio::steady_timer tick_timer_;
  worker_faults faults_;
  bool executing_late_ = false;
  std::vector<std::string> labels_{"a", "r1"};
  bool draining_ = false;
  /// The part of the id that is the same in all incarnations.
  std::string base_id_;
  std::uint64_t id_changes_ = 0;
  std::optional<std::chrono::steady_clock::time_point> down_until_;
  std::chrono::milliseconds shortest_downtime_{500};
  std::chrono::milliseconds longest_downtime_{2'000};
  std::size_t crashes_ = 0;
  std::uint32_t capacity_ = full_capacity_cpu_millis;
  /// The capacity that starts are judged against.
  std::uint32_t judged_capacity_ = full_capacity_cpu_millis;
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

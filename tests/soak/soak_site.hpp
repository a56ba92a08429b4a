#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "../faults/child_process.hpp"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/web/web_client.hpp"
#include "soak_judge.hpp"
#include "standin-platform/store_service.hpp"
#include "standin-platform/worker_service.hpp"
#include "standin-relay/relay.hpp"

namespace parsleylead::soak {

struct soak_options {
  std::string binary;
  std::string directory;
  std::uint64_t seed = 1;
  std::chrono::milliseconds duration{10'000};
  int entries = 3;
  int agents = 4;
  double jobs_per_second = 40;
};

/// Counts and violations of one run.
struct soak_report {
  std::size_t jobs = 0;
  std::size_t completed = 0;
  std::size_t failed = 0;
  std::size_t refused = 0;
  std::size_t unanswered = 0;
  /// Durable jobs that were accepted.
  std::size_t stored = 0;
  std::size_t starts = 0;
  std::size_t faults = 0;
  std::vector<std::string> violations;
};

/// Runs a small site on loopback addresses and injects random faults from one seed. Entries and
/// agents are real processes; the callers, the stand-ins for store and workers, and a relay in
/// front of each entry run in this process. Not thread-safe.
class soak_site {
public:
  explicit soak_site(soak_options options);
  ~soak_site();
  soak_site(const soak_site&) = delete;
  soak_site& operator=(const soak_site&) = delete;

  /// Injects faults for the configured time, heals them, and checks that the site recovers.
  soak_report run();

private:
  struct process {
    std::string name;
    std::vector<std::string> command;
    std::string settings_path;
    std::unique_ptr<faults::child_process> child;
    bool stopped = false;
    bool entry = false;
  };

  std::string entry_ip(int number) const;
  std::string agent_ip(int number) const;
  endpoint store_address() const;
  /// Writes the settings of an entry or agent and starts it.
  void add_process(int host, bool entry);
  void start(process& target);
  /// Restarts the processes that have exited; an exit not caused by a fault is a violation.
  void restart_exited();
  void run_for(std::chrono::milliseconds time);
  template <class Condition>
  bool run_until(Condition done, std::chrono::milliseconds limit);
  void publish_routes();
  void inject_fault();
  void signal_fault(process& target);
  void schedule(std::chrono::milliseconds delay, std::function<void()> action);
  void heal();
  void submit_next_job();
  void submit(std::uint64_t id, std::uint32_t tasks, int attempt);
  void handle_response(std::uint64_t id, std::uint32_t tasks, int attempt,
                       const absl::StatusOr<web_response>& response);
  void answered_stored(std::uint64_t id, int status);
  void check_recovery();
  /// Checks that every accepted durable job ends and that a query for it returns how.
  void check_durable_jobs();
  void check_relays();
  void poll_job(const std::string& job);
  void cancel_job(const std::string& job);
  void log(const std::string& line);
  int random_below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }

  soak_options options_;
  std::mt19937_64 random_;
  asio::io_context io_;
  asio::steady_timer load_timer_;
  soak_judge judge_;
  standin::store_service store_;
  std::vector<std::unique_ptr<standin::worker_service>> workers_;
  std::vector<std::unique_ptr<standin::relay>> relays_;
  std::vector<std::unique_ptr<process>> processes_;
  std::vector<std::unique_ptr<web_client>> clients_;
  std::chrono::steady_clock::time_point started_at_;
  std::int64_t routes_version_ = 0;
  std::string path_prefix_;
  bool generating_load_ = false;
  bool injecting_faults_ = false;
  /// Accepted durable jobs whose end no query has returned yet.
  std::set<std::string> unfinished_jobs_;
  soak_report report_;
};

} // namespace parsleylead::soak

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

/// What a run has shown.
struct soak_report {
  std::size_t jobs = 0;
  std::size_t completed = 0;
  std::size_t failed = 0;
  std::size_t refused = 0;
  std::size_t unanswered = 0;
  /// Jobs that were accepted as stored.
  std::size_t stored = 0;
  std::size_t starts = 0;
  std::size_t faults = 0;
  std::vector<std::string> violations;
};

/// A small site on loopback addresses: the real programs as processes, the stand-ins of the store
/// and the workers and a relay before each entry in this process, callers, and random faults from
/// one seed. Used on one thread.
class soak_site {
public:
  explicit soak_site(soak_options options);
  ~soak_site();
  soak_site(const soak_site&) = delete;
  soak_site& operator=(const soak_site&) = delete;

  /// Plays the faults, heals everything, and checks that the site serves again.
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
  void write_settings(int host, bool entry);
  void start(process& each);
  void restart_ended();
  void run_for(std::chrono::milliseconds time);
  template <class Condition>
  bool run_until(Condition done, std::chrono::milliseconds limit);
  void publish_routes();
  void inject_fault();
  void signal_fault(process& each);
  void later(std::chrono::milliseconds delay, std::function<void()> what);
  void heal();
  void next_job();
  void submit(std::uint64_t id, std::uint32_t tasks, int attempt);
  void answered(std::uint64_t id, std::uint32_t tasks, int attempt,
                const absl::StatusOr<web_response>& response);
  void answered_stored(std::uint64_t id, int status);
  void check_recovery();
  /// Every job that was accepted as stored has to end, and is shown so.
  void check_durable_jobs();
  void ask_for(const std::string& job);
  void cancel(const std::string& job);
  void log(const std::string& line);
  int roll(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }

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
  std::chrono::steady_clock::time_point began_;
  std::int64_t routes_version_ = 0;
  std::string path_prefix_;
  bool loading_ = false;
  bool injecting_ = false;
  /// Durable jobs that have not been seen to end.
  std::set<std::string> unfinished_;
  soak_report report_;
};

} // namespace parsleylead::soak

#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "../../tests/faults/child_process.hpp"
#include "parsleylead/web/web_client.hpp"
#include "store.hpp"
#include "worker.hpp"

namespace parsleylead::review {

/// Exit codes of a case.
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

struct queue {
  std::string name;
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 4;
};

struct site_shape {
  int entries = 2;
  std::vector<worker_shape> workers;
  std::vector<queue> queues{{"desk-queue"}};
  /// Memory of an entry's and of an agent's machine.
  std::size_t entry_memory_mb = 260;
  std::size_t agent_memory_mb = 128;
};

/// One task as the workers have seen it.
struct task_state {
  bool running = false;
  bool done = false;
  std::uint32_t starts = 0;
  std::uint32_t failed = 0;
  std::uint32_t crashed = 0;
  std::string worker;
  std::chrono::steady_clock::time_point last_start;
};

/// A small deployment: the platform's store and workers in this process, entries and agents as
/// processes of the deploy file's program. All addresses are loopback addresses. Throws
/// std::runtime_error if it cannot be started. Not thread-safe.
class site {
public:
  using answer = std::function<void(int status, const std::string& body)>;

  /// `record`: the file that takes down what is sent, answered and run.
  site(const site_shape& shape, const std::string& record);
  ~site();
  site(const site&) = delete;
  site& operator=(const site&) = delete;

  /// Waits until each entry serves a job. Returns false after 20 s.
  bool wait_until_ready();
  void run_for(std::chrono::milliseconds time);
  /// Returns whether `condition` became true within `limit`.
  bool run_until(const std::function<bool()>& condition, std::chrono::milliseconds limit);

  /// Sends a request to an entry. `done` gets status 0 if there is no answer.
  void call(int entry, const std::string& method, const std::string& queue_name, std::uint64_t job,
            std::string body, std::chrono::milliseconds timeout, answer done);
  /// Hands a job in until it is answered with 2xx, 429 or 503, at one entry after the other as a
  /// client does. Returns the last status.
  int submit(const std::string& queue_name, std::uint64_t job, const std::string& body);
  /// Asks for a job's state at one entry after the other. Returns the status, and the state.
  std::pair<int, std::string> state_of(const std::string& queue_name, std::uint64_t job);

  std::uint64_t new_job();
  worker& worker_at(std::size_t index) { return *workers_.at(index); }
  std::size_t workers() const { return workers_.size(); }
  store& platform_store() { return store_; }
  const std::map<std::string, task_state>& tasks() const { return tasks_; }
  task_state task(std::uint64_t job, int step, int index) const;

  /// Starts to act as a platform that kills a process over its memory and starts it again 0.5 s
  /// later.
  void enforce_memory() { enforce_memory_ = true; }
  /// Number of processes that were over their memory, by name.
  const std::map<std::string, int>& over_memory() const { return over_memory_; }
  /// Resident memory in MB; 0 if the process is not running.
  std::size_t memory_mb(const std::string& process_name) const;
  /// Names of processes that ended by themselves.
  std::vector<std::string> ended_processes();

  void record(const std::string& line);

private:
  struct process {
    std::string name;
    std::string role;
    std::string settings;
    std::string log;
    std::size_t max_memory_mb = 0;
    std::unique_ptr<faults::child_process> child;
    std::chrono::steady_clock::time_point restart_at;
  };

  /// Finds a loopback network that no other run uses.
  void choose_network();
  std::string address(const std::string& host, std::uint16_t port) const;
  std::string ip_of(const std::string& host) const;
  void add_process(const std::string& role, const std::string& name, std::size_t memory_mb,
                   const std::string& worker_host);
  void start_process(process& started);
  void check_memory();

  site_shape shape_;
  std::string folder_;
  std::string network_;
  std::ofstream record_;
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  asio::io_context io_;
  store store_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<process> processes_;
  std::vector<std::unique_ptr<web_client>> clients_;
  std::map<std::string, task_state> tasks_;
  std::map<std::string, int> over_memory_;
  bool enforce_memory_ = false;
  std::chrono::steady_clock::time_point memory_checked_{};
  std::uint64_t next_job_ = 1;
};

/// Returns the name of a job in paths and of a task at the workers.
std::string job_name(std::uint64_t job);
std::string task_name(std::uint64_t job, int step, int index);
/// Whether the disruption is to be left out (TROUBLE=0).
bool without_trouble();
/// Calls `play` and returns its exit code, or `exit_not_run` if it throws.
int run_case(const std::function<int(const std::string& record)>& play, int argc, char** argv);

} // namespace parsleylead::review

#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "../faults/child_process.hpp"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/web/web_client.hpp"
#include "standin-platform/store_service.hpp"
#include "standin-platform/worker_service.hpp"

namespace parsleylead::clients {

/// The bounds of each process, which are also in its settings file.
struct process_bounds {
  std::size_t memory_mb = 0;
  std::size_t max_descriptors = 0;
};

/// One entry and two agents as processes on loopback addresses; store and workers run in this
/// process. Not thread-safe.
class client_site {
public:
  /// Addresses that clients can reach.
  enum class target { callers, readiness, announcements, metrics };

  /// Throws std::runtime_error if the site cannot be started.
  client_site(std::string binary, std::string directory, const process_bounds& bounds);
  client_site(const client_site&) = delete;
  client_site& operator=(const client_site&) = delete;

  endpoint address_of(target address) const;
  void run_for(std::chrono::milliseconds time);
  /// Submits a job whose task runs for `work`. `*status` becomes the status of its answer, or -1 if
  /// there is none.
  void submit(std::chrono::milliseconds work, const std::shared_ptr<int>& status);
  /// Submits short jobs until one is answered with 200. Returns whether one was.
  bool serves_job(std::chrono::milliseconds limit);
  /// Samples the descriptors and returns a description of each bound that has been exceeded.
  std::vector<std::string> violations();
  /// Peak of memory and descriptors of each process.
  std::string describe_peaks() const;

private:
  struct process {
    std::string name;
    std::unique_ptr<faults::child_process> child;
    std::size_t peak_descriptors = 0;
  };
  class ignored_events : public standin::worker_observer {
  public:
    void run_started(const std::string& /*worker*/, const std::string& /*task*/,
                     std::uint64_t /*run*/, const std::string& /*payload*/) override {}
    void run_ended(const std::string& /*worker*/, const std::string& /*task*/,
                   std::uint64_t /*run*/, const std::string& /*outcome*/) override {}
    void completion_acknowledged(const std::string& /*task*/, std::uint64_t /*run*/) override {}
    void overloaded(const std::string& /*worker*/) override {}
  };

  void add_process(const std::string& role, int number);
  void sample_descriptors();

  std::string binary_;
  std::string directory_;
  process_bounds bounds_;
  asio::io_context io_;
  ignored_events events_;
  standin::store_service store_;
  std::vector<std::unique_ptr<standin::worker_service>> workers_;
  std::vector<process> processes_;
  std::unique_ptr<web_client> caller_;
  std::uint64_t next_job_ = 1;
};

} // namespace parsleylead::clients

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "standin-platform/worker_service.hpp"

namespace parsleylead::soak {

/// Checks the promises of the system from what callers and workers see. Not thread-safe.
class soak_judge : public standin::worker_observer {
public:
  void submitted(const std::string& job, const std::string& payload, std::uint32_t tasks);
  void completed(const std::string& job);
  /// The caller was told that nothing of this submission ran.
  void refused(const std::string& job);
  /// The caller was told that the job is stored.
  void accepted(const std::string& job) { jobs_.at(job).accepted = true; }
  /// The caller was told that the job is cancelled.
  void cancelled(const std::string& job);
  /// A durable job is shown as failed.
  void shown_failed(const std::string& job);
  /// Durable jobs that were accepted, and not cancelled.
  std::vector<std::string> accepted_jobs() const;
  /// The caller asks another entry for the same job.
  void sent_again(const std::string& job) { again_.insert(job); }

  void run_started(const std::string& worker, const std::string& task, std::uint64_t run,
                   const std::string& payload) override;
  void run_ended(const std::string& worker, const std::string& task, std::uint64_t run,
                 const std::string& how) override;
  void done_noted(const std::string& task, std::uint64_t run) override;
  void overloaded(const std::string& worker) override;

  /// Records a broken promise with its time.
  void violation(const std::string& what);
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t starts() const { return starts_; }

private:
  struct job_record {
    std::string payload;
    std::uint32_t tasks = 0;
    bool started = false;
    bool refused = false;
    bool accepted = false;
    std::optional<std::chrono::steady_clock::time_point> cancelled;
    std::map<std::string, int> failures;
    /// Runs that ended as done, by task.
    std::map<std::string, std::set<std::uint64_t>> done;
  };

  std::map<std::string, job_record> jobs_;
  std::set<std::string> noted_;
  /// Runs that were done before another run of their task was started.
  std::set<std::pair<std::string, std::uint64_t>> repeated_;
  std::set<std::string> again_;
  struct active_run {
    std::string worker;
    std::chrono::steady_clock::time_point began;
  };

  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  std::map<std::string, active_run> running_;
  std::vector<std::string> violations_;
  std::size_t starts_ = 0;
};

} // namespace parsleylead::soak

#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "parsleylead/load/job_outcome.hpp"
#include "parsleylead/load/job_spec.hpp"
#include "parsleylead/load/message_counts.hpp"
#include "parsleylead/observe/latency_histogram.hpp"

namespace parsleylead {

/// Capacity of the system under test, from which the ideal response time is computed.
struct ideal_capacity {
  /// Total slots of all workers.
  std::uint32_t slots = 1;
  /// Mean of the workers' speeds; a worker of speed 2 needs half the run time of a task.
  double mean_speed = 1;
  /// Speed of the fastest worker; 0 means the mean speed.
  double best_speed = 0;
};

/// Lower bound of a job's response time if no other job runs: the greater of the longest task's run
/// time on the fastest worker and the total work divided by the capacity (slots times mean speed).
/// Defined in docs/measurements/README.md.
std::chrono::nanoseconds ideal_response_time(const job_spec& job, const ideal_capacity& capacity);

/// Collects the results of a load test. Not thread-safe.
class load_report {
public:
  explicit load_report(ideal_capacity capacity) : capacity_(capacity) {}

  /// Counts a job that ended. Response time and slowdown are recorded only for complete jobs that
  /// were not to be cancelled.
  void add(const job_spec& job, const job_outcome& outcome);
  /// Counts a job that was not sent because the limit of open jobs was reached.
  void add_not_sent() { ++not_sent_; }
  /// Adds the messages that one process sent during the run.
  void add_messages(const message_counts& counts);
  /// Records a process whose messages could not be read and are missing from the report.
  void add_unread_process(std::string name) { unread_processes_.push_back(std::move(name)); }
  void set_elapsed(std::chrono::duration<double> elapsed) { elapsed_ = elapsed; }

  std::uint64_t count(job_end end) const;
  std::uint64_t not_sent() const { return not_sent_; }
  const latency_histogram& response_times() const { return response_times_; }
  const value_histogram& slowdowns() const { return slowdowns_; }

  /// Formats the report as one JSON object.
  std::string to_json() const;
  /// Formats the report as a text table.
  std::string to_text() const;
  /// Header and row of a CSV file, without a line break.
  std::string csv_header() const;
  std::string csv_row() const;

private:
  static constexpr std::size_t end_count = 7;
  using column = std::pair<std::string, double>;
  std::vector<column> totals() const;
  double wasted_messages() const;
  double per_task(double value) const;

  ideal_capacity capacity_;
  std::array<std::uint64_t, end_count> jobs_by_end_{};
  std::map<std::string, std::uint64_t> refused_by_reason_;
  std::map<std::string, std::uint64_t> failed_by_reason_;
  std::map<std::string, std::uint64_t> wrong_by_reason_;
  std::uint64_t not_sent_ = 0;
  std::uint64_t resubmissions_ = 0;
  std::uint64_t complete_tasks_ = 0;
  /// Tasks of jobs whose complete answer did not arrive within the time budget.
  std::uint64_t late_tasks_ = 0;
  /// Total run time of all tasks sent, at speed 1.
  std::chrono::duration<double> offered_work_{0};
  std::chrono::duration<double> elapsed_{0};
  latency_histogram response_times_;
  value_histogram slowdowns_{1e-3, 1e6};
  bool has_messages_ = false;
  message_counts messages_;
  std::vector<std::string> unread_processes_;
};

} // namespace parsleylead

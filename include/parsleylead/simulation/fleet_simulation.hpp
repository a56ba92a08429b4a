#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace parsleylead {

/// One kind of job in a simulated load.
struct simulated_job_kind {
  std::string name;
  double jobs_per_second = 0;
  double mean_tasks = 1;
  std::chrono::milliseconds mean_work{0};
  /// Credit for a job that ends within its objective.
  double credit = 0;
  /// Credit for a job that ends within three times its objective.
  double late_credit = 0;
  std::uint32_t priority = 0;
};

/// A simulated site and its load. The defaults are those of the users' largest site: 69 workers,
/// three in a rack of which one is large and fast, 12 entries, tasks of 3.3 cores, 845 jobs a
/// second.
struct simulated_site {
  int entries = 12;
  int workers = 69;
  std::uint32_t worker_cpu_millis = 32'000;
  std::uint32_t task_cpu_millis = 3'300;
  /// One-way network delay between an entry and an agent; mean over all availability zones.
  std::chrono::milliseconds link_delay{1};
  /// Largest relative error of the callers' estimates.
  double estimate_error = 0.4;
  double stretch = 1.6;
  std::chrono::milliseconds target{60};
  std::vector<simulated_job_kind> kinds{
      {"clause-check", 206, 8, std::chrono::milliseconds(60), 0.00485, 0.00097, 0},
      {"full-draft", 37.6, 4, std::chrono::milliseconds(900), 0.0267, 0.00533, 2},
      {"date-verify", 601, 2, std::chrono::milliseconds(200), 0.00167, 0.000333, 1}};
  /// Factor on the job rates of all kinds.
  double load = 1.0;
  std::chrono::milliseconds arrival_period{6'000};
  std::uint64_t seed = 1;
};

/// Outcome of a simulation.
struct simulation_result {
  std::size_t jobs = 0;
  std::size_t on_time = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
  /// Ratio of the earned credit to the credit of all jobs.
  double credit_share = 0;
  double utilization = 0;
};

/// Simulates the load with the production decision logic: a scheduler for each entry, a run table
/// for each agent, and delayed reports between them, without a network. Equal arguments give equal
/// results. Thread-safe.
simulation_result simulate_fleet(const simulated_site& site);

/// Simulates the same jobs with one scheduler that always knows the state of all workers and the
/// true run time of each task. It serves the jobs with the most credit for their work first and
/// drops those that it cannot serve in time. A scheduler without this knowledge cannot be expected
/// to earn more. Thread-safe.
simulation_result simulate_full_knowledge(const simulated_site& site);

} // namespace parsleylead

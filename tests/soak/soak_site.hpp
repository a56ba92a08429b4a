#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "../faults/child_process.hpp"
#include "foreign_writer.hpp"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/web/web_client.hpp"
#include "persistent_callers.hpp"
#include "soak_judge.hpp"
#include "standin-platform/store_service.hpp"
#include "standin-platform/worker_service.hpp"
#include "standin-relay/relay.hpp"
#include "worker_links.hpp"

namespace parsleylead::soak {

struct soak_options {
  std::string binary;
  std::string directory;
  std::uint64_t seed = 1;
  std::chrono::milliseconds duration{10'000};
  int entries = 3;
  int agents = 4;
  double jobs_per_second = 40;
  /// Jobs of the second route, some of which crash workers at times.
  double second_route_jobs_per_second = 6;
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
  /// Faults of the links between agents and workers; `faults` leaves them out.
  std::size_t link_faults = 0;
  /// Evacuations of a zone, and starts elsewhere while one had been in force for 5 s.
  std::size_t evacuations = 0;
  std::size_t starts_beside_evacuation = 0;
  /// Jobs whose runs are long; the counts of the first route include them.
  std::size_t long_jobs = 0;
  /// Jobs that only few workers can run; the counts of the first route include them.
  std::size_t labelled_jobs = 0;
  /// Jobs of the second route; the counts above, but for `stored`, leave them out.
  std::size_t second_route_jobs = 0;
  std::size_t deadly_jobs = 0;
  /// Announcements of another writer that agents refused.
  std::size_t refused_announcements = 0;
  /// Crashes of workers that deadly tasks caused.
  std::size_t worker_crashes = 0;
  /// Highest number of workers that crashed under one deadly task of a durable job.
  int max_durable_crashes = 0;
  /// Shares of the first route's jobs that completed, without and with deadly jobs beside them.
  double served_before = 0;
  double served_beside_deadly = 0;
  /// Times at which this process, which runs the workers, stood still for over 0.1 s.
  std::size_t stalls = 0;
  std::vector<std::string> violations;
};

/// Runs a small site on loopback addresses and injects random faults from one seed. Entries and
/// agents are real processes; the callers, the stand-ins for store and workers, and a relay in
/// front of each entry and each worker run in this process. Not thread-safe.
class soak_site {
public:
  explicit soak_site(soak_options options);
  ~soak_site();
  soak_site(const soak_site&) = delete;
  soak_site& operator=(const soak_site&) = delete;

  /// Injects faults for the configured time, heals them, checks that the site recovers, and that
  /// planned work then interrupts no request.
  soak_report run();

private:
  struct process {
    std::string name;
    std::vector<std::string> command;
    std::string settings_path;
    std::unique_ptr<faults::child_process> child;
    bool stopped = false;
    bool entry = false;
    /// Number among the entries or agents.
    std::size_t number = 0;
    std::chrono::steady_clock::time_point started_at;
    /// When planned work terminated the process; empty once it has been started again.
    std::optional<std::chrono::steady_clock::time_point> terminated_at;
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
  void run_and_restart_exited(std::chrono::milliseconds time);
  template <class Condition>
  bool run_until(Condition done, std::chrono::milliseconds limit);
  void publish_routes();
  void inject_fault();
  void signal_fault(process& target);
  void schedule(std::chrono::milliseconds delay, std::function<void()> action);
  void heal();
  void inject_capacity_fault();
  /// Evacuates one of the two zones and takes that back, again and again.
  void inject_evacuation();
  void evacuate_zone();
  void end_evacuation();
  std::vector<std::string> workers_of_zone(std::size_t zone) const;
  /// Checks that jobs run beside the evacuation that is in force, and ends it.
  void check_service_beside_evacuation();
  /// Checks that the workers of all zones are used after the last evacuation.
  void check_evacuations();
  void send_foreign_announcement();
  void submit_next_job();
  void submit_next_long_job();
  /// Submits a job that only few workers can run; to an entry as a best-effort one.
  void submit_labelled_job(std::optional<int> entry);
  void submit_next_labelled_job();
  void check_labelled_jobs();
  void submit_second_route_job(bool deadly);
  void submit_next_second_route_job();
  void submit_next_regular_deadly_job();
  void submit(std::uint64_t id, std::uint32_t tasks, int attempt);
  void handle_response(std::uint64_t id, std::uint32_t tasks, int attempt,
                       const absl::StatusOr<web_response>& response);
  void answered_stored(std::uint64_t id, int status);
  /// Returns the URL path of the job.
  std::string path_of(const std::string& job) const;
  /// Submits deadly jobs to the second route while no other faults are injected, so that their
  /// effect on the first route can be checked.
  void run_deadly_phases();
  /// Checks that the first route's jobs are served although jobs of another route crash workers.
  void check_service_beside_deadly_jobs();
  /// Calls an entry. From the beginning of planned work, a request that is sent and whose
  /// connection ends without a complete response is a violation.
  void call_entry(int entry, web_request request, std::chrono::milliseconds timeout,
                  web_client::callback done);
  /// Returns whether jobs are served again and new routes are in force.
  bool check_recovery();
  void check_routes();
  /// Terminates and reloads processes and publishes routes under load, without faults.
  void check_planned_work();
  void terminate_entries(std::vector<process*>& pending);
  void reload_processes();
  void publish_routes_repeatedly();
  void poll_jobs_repeatedly();
  /// Terminates a process as an operator does; it is restarted when it has exited.
  void terminate(process& target);
  /// The entry accepts requests and is not about to stop.
  static bool in_service(const process& target);
  /// Ends the load and checks that all that was begun ends, and that new routes are in force.
  void check_ends();
  /// Checks that no run is left once all jobs have ended.
  void check_active_runs();
  /// Checks that every accepted durable job ends and that a query for it returns how.
  void check_durable_jobs();
  void check_relays();
  void poll_job(const std::string& job);
  void cancel_job(const std::string& job);
  void log(const std::string& line);
  int crash_random_below(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(crash_random_);
  }
  int random_below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }

  soak_options options_;
  /// Outcomes of the first route's best-effort jobs that were submitted in a phase.
  struct phase_counts {
    std::size_t submitted = 0;
    std::size_t completed = 0;

    double share() const {
      return submitted == 0 ? 0 : static_cast<double>(completed) / static_cast<double>(submitted);
    }
  };

  /// Runs the site for this time and counts the jobs that are submitted meanwhile, if `counts` is
  /// not null.
  void run_phase(phase_counts* counts, std::chrono::milliseconds time);

  std::mt19937_64 random_;
  /// For the second route and the capacities, so that the other faults of a seed do not depend on
  /// them.
  std::mt19937_64 crash_random_;
  /// For the jobs with long runs.
  std::mt19937_64 long_random_;
  std::mt19937_64 labelled_random_;
  std::mt19937_64 evacuation_random_;
  std::optional<std::size_t> evacuated_zone_;
  asio::io_context io_;
  asio::steady_timer load_timer_;
  asio::steady_timer second_route_timer_;
  soak_judge judge_;
  foreign_writer foreign_writer_;
  standin::store_service store_;
  worker_links worker_links_;
  std::vector<std::unique_ptr<standin::worker_service>> workers_;
  std::vector<std::unique_ptr<standin::relay>> relays_;
  std::vector<std::unique_ptr<process>> processes_;
  std::vector<std::unique_ptr<web_client>> clients_;
  std::chrono::steady_clock::time_point started_at_;
  std::int64_t routes_version_ = 0;
  std::string path_prefix_;
  bool generating_load_ = false;
  bool injecting_faults_ = false;
  bool generating_deadly_jobs_ = false;
  bool regular_deadly_jobs_ = false;
  std::set<std::string> second_route_jobs_;
  std::set<std::string> deadly_jobs_;
  std::set<std::string> long_jobs_;
  /// Jobs that need the rare label, with the entry that they have to be sent to.
  std::map<std::string, std::optional<int>> labelled_jobs_;
  /// Those of them that an entry has not answered.
  std::set<std::string> open_labelled_jobs_;
  bool checking_labelled_jobs_ = false;
  /// The phase to which submitted jobs are counted, if any.
  phase_counts* phase_ = nullptr;
  phase_counts phase_before_;
  phase_counts phase_beside_deadly_;
  /// The phase of each open job that is counted.
  std::map<std::string, phase_counts*> phase_of_job_;
  /// Current rate of the first route's jobs.
  double jobs_per_second_ = options_.jobs_per_second;
  bool planned_work_ = false;
  std::chrono::steady_clock::time_point next_entry_termination_;
  std::unique_ptr<persistent_callers> callers_;
  /// Accepted durable jobs whose end no query has returned yet.
  std::set<std::string> unfinished_jobs_;
  soak_report report_;
};

} // namespace parsleylead::soak

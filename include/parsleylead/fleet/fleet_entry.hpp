#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/base/post_once.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/durable/durable_jobs.hpp"
#include "parsleylead/fleet/entry_readiness.hpp"
#include "parsleylead/fleet/fleet_frame.hpp"
#include "parsleylead/fleet/fleet_scheduler.hpp"
#include "parsleylead/fleet/link_timing.hpp"
#include "parsleylead/fleet/link_traffic.hpp"
#include "parsleylead/fleet/member_dialer.hpp"
#include "parsleylead/fleet/waiting_counts.hpp"
#include "parsleylead/link/frame_link.hpp"
#include "parsleylead/observe/event_log.hpp"
#include "parsleylead/observe/metrics_registry.hpp"

namespace parsleylead {

struct fleet_entry_settings {
  std::string name;
  std::string availability_zone;
  std::uint64_t incarnation = 0;
  /// Address on which frame links from agents and other entries are accepted.
  endpoint listen;
  /// Address that others are told to connect to, if it differs from `listen`: for example that of a
  /// relay.
  std::optional<endpoint> advertised;
  link_timing timing;
  fleet_policy policy;
  /// Maximum number of links to other entries; bounds the gossip traffic on large sites.
  std::size_t max_peers = 12;
};

/// Dispatcher of one entry process: handles the sessions of agents and the gossip with other
/// entries, and runs jobs with a `fleet_scheduler`. Not thread-safe: used on the event loop's
/// thread only.
class fleet_entry {
public:
  /// Identifies one caller of a job within this process.
  using caller_id = std::uint64_t;
  using result_handler = std::function<void(const job_result&)>;

  /// `on_routes` is called when another entry sends newer routes than the last ones passed to
  /// `set_routes`. The references must outlive the entry.
  fleet_entry(asio::io_context& io, fleet_entry_settings settings, event_log& log,
              metrics_registry& metrics, std::function<void(const route_update&)> on_routes);
  ~fleet_entry();
  fleet_entry(const fleet_entry&) = delete;
  fleet_entry& operator=(const fleet_entry&) = delete;

  /// Starts listening. Errors: kUnavailable if the address cannot be bound.
  absl::Status start();

  void add_members(const std::vector<fleet_member>& members);
  /// Sets the active routes, which are passed on to other entries. Older versions are ignored.
  void set_routes(const route_update& routes);
  /// Applies the operators' evacuations of availability zones: see
  /// `zone_evacuations::apply_records`.
  void evacuations_read(std::uint64_t as_of, bool complete,
                        const std::vector<zone_change>& records);
  /// Returns whether the store or another entry that knows has told which zones are evacuated.
  /// Until then, no task is placed, as the zone of its worker may be evacuated. What agents tell is
  /// applied, but does not count: they may have had no session for long.
  bool knows_evacuations() const { return knows_evacuations_; }

  /// Runs a job; `done` is called once with its result. Submitting the id of an open job again adds
  /// a caller to that job: both callers get the result.
  caller_id submit(fleet_job job, result_handler done);
  /// Removes a caller that has disconnected. The job is cancelled when it has no callers left.
  void remove_caller(std::uint64_t id, caller_id caller);
  /// Enables durable jobs. Precondition: `start` has not been called. `log` must outlive the entry.
  void enable_durable_jobs(durable_settings settings, partition_log& log);
  /// Returns the durable jobs of this entry after checking their lease. Precondition:
  /// `enable_durable_jobs` was called.
  durable_jobs& durable();
  /// Returns whether the waiting durable jobs of all partitions are known. They are not while this
  /// entry has just started and no other entry has reported them yet.
  bool knows_waiting_durable_jobs() const { return waiting_counts_.is_complete(); }
  /// Number of durable jobs of the queue without a started task, at all entries of the site; the
  /// jobs of partitions that are not known are missing.
  std::size_t waiting_durable_jobs(const std::string& queue);
  /// Cancels a job and answers all of its callers. Returns false if no caller waits for the job.
  bool cancel(std::uint64_t id);
  /// Stops the runs of all jobs that are not durable and answers their callers: as not run where no
  /// task was placed, otherwise as unknown.
  void end_open_jobs(job_cause cause);

  /// Returns whether callers wait for the job's result. Durable jobs have no callers.
  bool has_callers(std::uint64_t id) const { return callers_.contains(id); }
  std::size_t open_jobs() const { return scheduler_.open_jobs(); }
  std::size_t waiting_jobs(const std::string& queue) const {
    return scheduler_.waiting_jobs(queue);
  }
  bool has_worker() const { return scheduler_.has_worker(); }
  /// Returns whether enough agents have connected for the entry to serve callers: see
  /// `entry_readiness`.
  bool is_ready() const { return readiness_.is_ready() && has_worker(); }
  std::size_t usable_workers() const { return scheduler_.usable_workers(); }
  /// See `fleet_scheduler::explain`.
  placement_explanation explain(const fleet_job& job) const;
  const fleet_member& self() const { return self_; }

private:
  struct session;
  struct durable_job_port;

  void tick();
  void link_accepted(std::shared_ptr<frame_link> link);
  void dial(const std::string& address);
  void start_session(const std::shared_ptr<session>& created);
  void frame_received(const std::shared_ptr<session>& from, std::string_view bytes);
  void refuse_frame(const std::shared_ptr<session>& from, const std::string& cause);
  void apply_frame(const std::shared_ptr<session>& from, fleet_frame& frame);
  void hello_received(const std::shared_ptr<session>& from, const session_hello& hello);
  void agent_hello_received(const std::shared_ptr<session>& from, const session_hello& hello);
  void routes_received(session& from, const fleet_frame& frame);
  void session_closed(const std::shared_ptr<session>& from, const std::string& cause);
  void check_sessions(monotonic_time now);
  void log_lasting_backlog(monotonic_time now);
  void report_reach(monotonic_time now);
  void log_confined_queues();
  void gossip(monotonic_time now);
  void request_newer_routes(monotonic_time now);
  /// Asks the other entries for workers that no session reaches.
  void request_workers(monotonic_time now);
  void send_request(worker_request request);
  /// Returns the open sessions with other entries.
  std::vector<std::shared_ptr<session>> peers() const;
  /// Handles the request of another entry: passes it on to the agent of a fitting worker, or to
  /// further entries.
  void worker_requested(const std::shared_ptr<session>& from, worker_request request,
                        monotonic_time now);
  void relay_requests(monotonic_time now);
  site_access access_to_site();
  void close_surplus_links(monotonic_time now);
  void announce_routes();
  /// Applies changed evacuations and tells the sessions of them. `authoritative`: the source is the
  /// store or another entry. The first such state is also sent if nothing has changed: a peer that
  /// has none waits for it.
  void evacuations_changed(const std::vector<zone_change>& changes, bool authoritative,
                           const std::string& source);
  /// Returns the evacuations to tell a peer or an agent of.
  std::optional<evacuation_state> evacuations_for(bool agent) const;
  fleet_frame member_frame() const;
  void send(session& to, fleet_frame frame);
  /// Counts the waiting durable jobs of this entry.
  void count_waiting_jobs(monotonic_time now);
  /// Counts them and tells all other entries what is news to them.
  void report_waiting_jobs(monotonic_time now);
  void send_waiting_jobs(session& to);
  void run_ended(session& from, const run_end& end, monotonic_time now);
  void flush();
  void answer_callers(const job_result& result);

  asio::io_context& io_;
  fleet_entry_settings settings_;
  event_log& log_;
  metrics_registry& metrics_;
  std::function<void(const route_update&)> on_routes_;
  fleet_member self_;
  asio::steady_timer tick_timer_;
  /// Schedules one `flush` for the current turn of the event loop, so that frames are batched.
  post_once flush_soon_;
  frame_acceptor acceptor_;
  member_dialer dialer_;
  fleet_scheduler scheduler_;
  std::unique_ptr<durable_job_port> durable_job_port_;
  std::unique_ptr<durable_jobs> durable_;
  entry_readiness readiness_;
  link_traffic traffic_;
  waiting_counts waiting_counts_;
  std::vector<std::shared_ptr<session>> sessions_;
  std::map<worker_index, std::shared_ptr<session>> agents_;
  std::map<worker_index, std::uint64_t> agent_incarnations_;
  std::unordered_map<std::uint64_t, std::map<caller_id, result_handler>> callers_;
  caller_id next_caller_id_ = 1;
  route_update routes_{-1, ""};
  zone_evacuations evacuations_;
  bool knows_evacuations_ = false;
  monotonic_time last_tick_{};
  monotonic_time last_gossip_{};
  monotonic_time waiting_jobs_counted_{};
  monotonic_time waiting_jobs_reported_{};
  monotonic_time last_traffic_report_{};
  monotonic_time reach_reported_{};
  monotonic_time last_surplus_check_{};
  std::set<std::string> confined_queues_;
  monotonic_time backlog_since_{};
  /// Entries that have connected since the last frame with `members` to all sessions.
  std::vector<fleet_member> news_;
  monotonic_time news_sent_{};
  struct relayed_request {
    worker_request request;
    /// The entry that the request came from.
    std::weak_ptr<session> from;
  };
  std::uint64_t next_request_number_ = 1;
  /// When requests of other entries were received, by name, incarnation and number.
  std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, monotonic_time> known_requests_;
  std::vector<relayed_request> relayed_requests_;
  monotonic_time requests_relayed_{};
  /// This process has known of another entry.
  bool has_known_others_ = false;
  /// When a peer with newer routes was first heard of, or asked for them last.
  std::optional<monotonic_time> newer_routes_since_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace parsleylead

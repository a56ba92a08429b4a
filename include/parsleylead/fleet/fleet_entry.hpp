#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/base/post_once.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/durable/durable_jobs.hpp"
#include "parsleylead/fleet/fleet_frame.hpp"
#include "parsleylead/fleet/fleet_scheduler.hpp"
#include "parsleylead/fleet/link_timing.hpp"
#include "parsleylead/fleet/member_dialer.hpp"
#include "parsleylead/link/frame_link.hpp"
#include "parsleylead/observe/event_log.hpp"
#include "parsleylead/observe/metrics_registry.hpp"

namespace parsleylead {

struct fleet_entry_settings {
  std::string name;
  std::string availability_zone;
  std::uint64_t incarnation = 0;
  /// For frame links of agents and other entries.
  endpoint listen;
  /// Address by which others reach this entry, if it is not `listen`.
  std::optional<endpoint> advertised;
  link_timing timing;
  fleet_policy policy;
  /// Links to other entries at most; bounds the exchange on large sites.
  std::size_t max_peers = 12;
};

/// Dispatcher of one entry process: handles the sessions of agents and the gossip with other
/// entries, and runs jobs with a `fleet_scheduler`. Not thread-safe: used on the event loop's
/// thread only.
class fleet_entry {
public:
  /// Names one caller of a job.
  using caller_id = std::uint64_t;
  using result_handler = std::function<void(const job_result&)>;

  /// `on_routes` is called when another entry has newer routes than `set_routes` was given. The
  /// references must outlive the entry.
  fleet_entry(asio::io_context& io, fleet_entry_settings settings, event_log& log,
              metrics_registry& metrics, std::function<void(const route_update&)> on_routes);
  ~fleet_entry();
  fleet_entry(const fleet_entry&) = delete;
  fleet_entry& operator=(const fleet_entry&) = delete;

  /// Errors: kUnavailable if the address cannot be listened at.
  absl::Status start();

  void add_members(const std::vector<fleet_member>& members);
  /// The routes in force, to be passed on to other entries. Older versions are ignored.
  void set_routes(const route_update& routes);

  /// Runs a job; `done` is called once with its result. A second submission of an open job is
  /// joined to it: both are answered.
  caller_id submit(fleet_job job, result_handler done);
  /// One caller of the job has left; the job is stopped when the last one has.
  void remove_caller(std::uint64_t id, caller_id caller);
  /// Keeps durable jobs from now on. Precondition: `start` has not been called. `log` must outlive
  /// the entry.
  void enable_durable_jobs(durable_settings settings, partition_log& log);
  /// The durable jobs, for calls of callers. Precondition: `enable_durable_jobs` was called.
  durable_jobs& durable();
  /// Durable jobs of the queue that have not begun, at all linked entries.
  std::size_t waiting_durable_jobs(const std::string& queue) const;
  /// Stops a job that callers wait for, and answers all of them. Returns whether there was one.
  bool cancel(std::uint64_t id);

  /// Whether callers wait for the job; nobody waits for a stored one.
  bool has_callers(std::uint64_t id) const { return callers_.contains(id); }
  std::size_t open_jobs() const { return scheduler_.open_jobs(); }
  std::size_t waiting_jobs(const std::string& queue) const {
    return scheduler_.waiting_jobs(queue);
  }
  bool has_worker() const { return scheduler_.has_worker(); }
  const fleet_member& self() const { return self_; }

private:
  struct session;
  struct durable_job_port;

  void tick();
  void link_accepted(std::shared_ptr<frame_link> link);
  void dial(const std::string& address);
  void start_session(const std::shared_ptr<session>& made);
  void frame_received(const std::shared_ptr<session>& from, std::string_view bytes);
  void hello_received(const std::shared_ptr<session>& from, const session_hello& hello);
  void agent_hello_received(const std::shared_ptr<session>& from, const session_hello& hello);
  void routes_received(session& from, const fleet_frame& frame);
  void session_closed(const std::shared_ptr<session>& from, const std::string& cause);
  void check_sessions(monotonic_time now);
  void log_lasting_backlog(monotonic_time now);
  void gossip(monotonic_time now);
  void announce_routes();
  fleet_frame member_frame() const;
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
  /// Sends what is due, together with whatever else this turn of the loop brings.
  post_once flush_soon_;
  frame_acceptor acceptor_;
  member_dialer dialer_;
  fleet_scheduler scheduler_;
  std::unique_ptr<durable_job_port> durable_job_port_;
  std::unique_ptr<durable_jobs> durable_;
  std::vector<std::shared_ptr<session>> sessions_;
  std::map<worker_index, std::shared_ptr<session>> agents_;
  std::map<worker_index, std::uint64_t> agent_incarnations_;
  std::unordered_map<std::uint64_t, std::map<caller_id, result_handler>> callers_;
  caller_id next_caller_id_ = 1;
  route_update routes_{-1, ""};
  monotonic_time last_tick_{};
  monotonic_time last_gossip_{};
  monotonic_time backlog_since_{};
  bool members_changed_ = false;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace parsleylead

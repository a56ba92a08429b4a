#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "parsleylead/base/post_once.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/answer_monitor.hpp"
#include "parsleylead/fleet/fleet_frame.hpp"
#include "parsleylead/fleet/link_timing.hpp"
#include "parsleylead/fleet/link_traffic.hpp"
#include "parsleylead/fleet/member_dialer.hpp"
#include "parsleylead/fleet/worker_candidates.hpp"
#include "parsleylead/fleet/worker_port.hpp"
#include "parsleylead/link/frame_link.hpp"
#include "parsleylead/observe/event_log.hpp"
#include "parsleylead/observe/metrics_registry.hpp"
#include "parsleylead/runs/run_table.hpp"

namespace parsleylead {

struct fleet_agent_settings {
  std::string name;
  std::string availability_zone;
  std::uint64_t incarnation = 0;
  link_timing timing;
  /// Maximum number of sessions to entries. Six bound the frames of an agent and the agents of an
  /// entry on large sites; small sites have fewer entries than that.
  std::size_t max_sessions = 6;
  /// Maximum number of further sessions that entries request because they reach no other worker of
  /// the kind. The only worker of a kind has one to each entry that needs it.
  std::size_t max_requested_sessions = 64;
  /// An idle worker whose agent has this many requested sessions takes no more from entries that
  /// reach only busy workers of its kind.
  std::size_t max_idle_requested_sessions = 4;
  /// The same while more than half of the worker's CPU is free.
  std::size_t max_mostly_idle_requested_sessions = 6;
  /// A requested session is kept for this long after the entry's last frame that asks for it.
  std::chrono::milliseconds requested_session_time{3'000};
  /// Longest lease that the worker grants.
  std::chrono::milliseconds worker_lease{1'000};
  /// Lease that the worker is asked for with each request. Runs of a worker that cannot be reached
  /// start elsewhere once it has ended. An agent that stands still for longer loses its runs.
  std::chrono::milliseconds renewed_lease{500};
  /// Longest interval between two requests for the worker's lists of runs. If an answer is lost,
  /// ended runs stay unknown and their resources unused for about this time; each request costs
  /// about 0.2 ms of CPU time on a small host.
  std::chrono::milliseconds list_interval{60};
  /// While the worker loses answers, lists are requested again after this time without one.
  std::chrono::milliseconds second_list_interval{30};
  /// Interval between requests for lists while ends are held for their owners: the worker then
  /// answers immediately. An owner stores an end within two such intervals.
  std::chrono::milliseconds held_list_interval{10};
  /// Number of partitions of durable jobs; must be the same at all entries.
  std::uint32_t partitions = 1;
  /// For how long a restarted worker is expected to announce itself. Until then, jobs wait for it
  /// that no other worker can run. Workers announce themselves every few seconds.
  std::chrono::milliseconds description_wait{5'000};
  /// A worker that has not answered a request for lists for this long gets no new runs. One that
  /// has refused connections for this long may have crashed.
  std::chrono::milliseconds suspect_after{200};
};

/// Agent of one worker: maintains sessions to entries and executes their start orders on the worker
/// by means of a `run_table`. Not thread-safe: used on the event loop's thread only.
class fleet_agent {
public:
  /// The references must outlive the agent.
  fleet_agent(asio::io_context& io, fleet_agent_settings settings, worker_port& worker,
              event_log& log, metrics_registry& metrics);
  ~fleet_agent();
  fleet_agent(const fleet_agent&) = delete;
  fleet_agent& operator=(const fleet_agent&) = delete;

  void start();
  void add_members(const std::vector<fleet_member>& members);
  /// Handles an announcement. One of another id or incarnation than the worker's counts only once
  /// the worker has confirmed it; until then, and if it does not, nothing changes. Announcements
  /// older than the newest one are ignored. `done` is called exactly once unless the agent is
  /// destroyed first: kOk if the announcement is the worker's, kNotFound if the worker has another
  /// id or incarnation, kInvalidArgument if it contradicts an earlier announcement, kUnavailable if
  /// the worker did not confirm it in time.
  void worker_announced(const worker_announcement& announcement,
                        std::function<void(const absl::Status&)> done);
  /// The worker with this id says that it leaves: it gets no more tasks. Its runs count as ended
  /// once it no longer answers, since the message may be a late or a foreign one. Ignored for other
  /// ids, and for other incarnations unless `incarnation` is 0, which stands for any.
  void worker_left(const std::string& id, std::int64_t incarnation = 0);

  /// Stops accepting orders. Calls `done` once no run has been active or waiting for
  /// `link_timing::leave_notice`, or after `limit`.
  void leave(std::chrono::milliseconds limit, std::function<void()> done);

  std::size_t sessions() const;
  /// Returns whether there is a session with the entry.
  bool has_session(const std::string& entry) const;

private:
  struct session;

  void tick();
  void dial(const std::string& address);
  void link_opened(const std::string& address, std::shared_ptr<frame_link> link);
  void frame_received(session& from, std::string_view bytes);
  void refuse_frame(session& from, const std::string& cause);
  void apply_frame(session& from, fleet_frame& frame);
  void hello_received(session& from, const session_hello& hello);
  void session_closed(session& from, const std::string& cause);
  /// An entry that reaches no worker of this kind, or only busy ones, asks for a session.
  void session_requested(const session_request& request, monotonic_time now);
  /// Returns the maximum number of requested sessions for a request.
  std::size_t max_requested(const session_request& request) const;
  void dial_due(monotonic_time now);
  void check_sessions(monotonic_time now);
  /// Returns whether the entry may have given up this agent, although its frames still arrive.
  bool is_unheard(const session& peer, monotonic_time now) const;
  /// Closes sessions beyond the maximum, once their entries have no runs here and know that they
  /// get no more.
  void close_surplus_sessions(monotonic_time now);

  /// Returns whether the announcement names the worker's confirmed id and incarnation.
  bool is_of_worker(const worker_announcement& announcement) const;
  /// Handles an announcement of the worker's confirmed id and incarnation.
  absl::Status update_worker(const worker_announcement& announcement);
  /// The worker has answered under the announced id and incarnation.
  void worker_confirmed(const worker_announcement& announcement);
  /// Applies the evacuations that an entry reported.
  void evacuations_reported(const evacuation_state& state, const std::string& entry);
  /// Returns whether the worker's present incarnation has announced itself. What an earlier one had
  /// announced does not hold for it: it may be of another kind and size.
  bool is_described() const;
  /// Returns whether the worker may be given new tasks.
  bool accepts_tasks() const;
  /// Applies what may change in the lifetime of a worker.
  void apply_announcement(const worker_announcement& announcement);
  void log_worker();
  void list_runs();
  /// Requests the lists immediately, in addition to the pending long poll of `list_runs`.
  void request_extra_list();
  /// Repeats an extra request that failed, after a pause, if its answer is still needed.
  void extra_list_failed(const absl::Status& status, monotonic_time requested);
  /// Requests the lists again at intervals while the long poll has no answer and the worker loses
  /// answers.
  void schedule_second_list();
  /// Sends a start to the worker.
  void send_start(const run_id& run, monotonic_time now);
  void send_stop(const run_id& run);
  void start_answered(const run_id& run, start_answer answer, monotonic_time sent);
  /// Requests the lists once a start has had no answer for too long.
  void schedule_start_check(monotonic_time now);
  /// Logs and counts what became of the starts without an answer.
  void report_resolved_starts();
  void apply_lists(const run_lists& lists, monotonic_time requested);
  /// Resets the known end numbers when the worker's incarnation changes: each incarnation numbers
  /// its ends from 1. Called for announcements and lists, as either may arrive first.
  void update_worker_incarnation(std::int64_t incarnation);
  void list_failed(const absl::Status& status, monotonic_time now);
  /// The worker refuses connections.
  void worker_refused(monotonic_time now);
  /// Lets the lease of an idle worker expire if the worker holds superseded ends, which must not be
  /// confirmed before.
  void expire_lease_if_superseded(monotonic_time now);
  /// Latest time at which the worker's runs have certainly ended if no lease is extended any more.
  monotonic_time runs_end() const;
  /// Time up to which a lease is extended now. At most `worker_lease` after the owner of the
  /// worker's runs that has been silent for longest was heard: an entry that loses this agent
  /// repeats its runs after `fleet_policy::lost_run_wait`, also if this process ends before it has
  /// stopped them.
  monotonic_time next_lease_end(monotonic_time now) const;
  void schedule_list(std::chrono::milliseconds delay);
  void set_worker_suspected(bool suspected, const std::string& cause);
  /// Lets the table start runs or not, depending on what is known of the worker.
  void update_suspension();
  void flush();
  void send(session& to, fleet_frame frame);
  void send_reports();
  worker_status status_for(const session& to) const;
  static bool has_reportable_change(const worker_status& status, const session& to);
  void add_status(session& to, monotonic_time now);
  session* find_session(owner_id owner);

  asio::io_context& io_;
  fleet_agent_settings settings_;
  worker_port& port_;
  event_log& log_;
  metrics_registry& metrics_;
  asio::steady_timer tick_timer_;
  asio::steady_timer extra_list_timer_;
  asio::steady_timer second_list_timer_;
  asio::steady_timer start_check_timer_;
  /// Schedules one `flush` for the current turn of the event loop, so that frames are batched.
  post_once flush_soon_;
  member_dialer dialer_;
  link_traffic traffic_;
  std::map<std::string, std::unique_ptr<session>> sessions_;
  run_table table_;
  worker_candidates candidates_;
  answer_monitor monitor_;
  zone_evacuations evacuations_;
  /// Newest announcement of the confirmed worker.
  std::optional<worker_announcement> worker_;
  /// When `worker_` was received.
  monotonic_time announced_at_{};
  /// Until when the worker is slow after its start.
  monotonic_time cold_until_{};
  /// When the worker said that it leaves.
  std::optional<monotonic_time> departed_at_;
  /// Incarnation of the worker that the known end numbers belong to; 0 if none is known.
  std::int64_t worker_incarnation_ = 0;
  /// When that incarnation became known.
  monotonic_time undescribed_since_{};
  /// Earlier incarnations of the worker with this id, the latest last. Their answers may arrive
  /// late.
  std::deque<std::int64_t> former_incarnations_;
  owner_id next_owner_ = 1;
  bool listing_ = false;
  bool extra_list_pending_ = false;
  bool extra_list_wanted_ = false;
  /// A list request that the worker answers at the next end has no answer yet.
  bool long_poll_pending_ = false;
  bool start_check_scheduled_ = false;
  /// When the latest list request that was answered was sent.
  monotonic_time answered_request_{};
  bool suspected_ = false;
  /// A request for lists broke off. The worker may have restarted, and nothing is started before a
  /// list tells its incarnation.
  bool awaiting_incarnation_ = false;
  /// The latest request of `list_runs` failed, and no later one was answered.
  bool last_list_failed_ = false;
  monotonic_time list_failed_at_{};
  /// When the first of the latest failed requests for lists failed.
  monotonic_time failing_since_{};
  monotonic_time last_list_at_{};
  /// The latest request for lists failed because the worker refused the connection.
  bool connection_refused_ = false;
  /// Since when all requests for lists have been refused, if the latest one was.
  monotonic_time refused_since_{};
  /// The worker has refused connections for so long that it may have crashed.
  bool crash_suspected_ = false;
  /// Latest end of a lease that the worker was sent.
  monotonic_time lease_end_{};
  monotonic_time last_tick_{};
  monotonic_time last_traffic_report_{};
  monotonic_time last_surplus_check_{};
  /// The lease is not extended, so that superseded ends can be confirmed after its expiry.
  bool awaiting_lease_expiry_ = false;
  bool status_dirty_ = false;
  bool leaving_ = false;
  monotonic_time leave_deadline_{};
  /// Time of the last tick at which runs were active or waiting, or of the call of `leave`.
  monotonic_time last_busy_{};
  std::function<void()> on_left_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace parsleylead

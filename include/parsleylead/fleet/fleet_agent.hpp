#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "parsleylead/base/post_once.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/fleet_frame.hpp"
#include "parsleylead/fleet/link_timing.hpp"
#include "parsleylead/fleet/member_dialer.hpp"
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
  /// Sessions to entries at most. Six keep an agent's frames and an entry's agents bounded on large
  /// sites, and are more than the entries of a small one.
  std::size_t max_sessions = 6;
  /// The longest lease that a worker grants.
  std::chrono::milliseconds worker_lease{1'000};
  /// A list of runs is requested at least this often. If an answer is lost, ends stay unknown and
  /// room unused for about this time; each request costs some 0.2 ms of a small host's processor.
  std::chrono::milliseconds list_interval{60};
  /// Pause before the next request for lists while ends wait for their owners: the worker then
  /// answers at once. An owner stores an end within two of these.
  std::chrono::milliseconds held_list_interval{10};
  /// Partitions of durable jobs; the same at all entries.
  std::uint32_t partitions = 1;
  /// A worker whose lists cannot be had for this long gets no new runs.
  std::chrono::milliseconds suspect_after{200};
};

/// The process beside one worker: keeps sessions to entries, and runs their orders through a
/// `run_table` on the worker. Used on the loop's thread only.
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
  /// An announcement of the worker; one that is older than another is ignored.
  void worker_announced(const worker_announcement& announced);
  /// The worker has left; everything on it has ended.
  void worker_left(const std::string& id);

  /// Takes no new orders; `done` is called when nothing runs or waits, or after `limit`.
  void leave(std::chrono::milliseconds limit, std::function<void()> done);

  std::size_t sessions() const;

private:
  struct session;

  void tick();
  void dial(const std::string& address);
  void link_opened(const std::string& address, std::shared_ptr<frame_link> link);
  void frame_received(session& from, std::string_view bytes);
  void hello_received(session& from, const session_hello& hello);
  void session_closed(session& from, const std::string& cause);
  void check_sessions(monotonic_time now);

  void list_runs();
  /// Asks for the lists at once, beside the request that waits for ends.
  void request_extra_list();
  void apply_lists(const run_lists& lists, monotonic_time requested);
  /// Ends are numbered anew in each life of the worker, whichever message tells of it first.
  void update_worker_incarnation(std::int64_t life);
  void list_failed(const absl::Status& status, monotonic_time now);
  /// Lets the lease of a worker without runs end, if it holds ends that nobody may take note of.
  void expire_lease_if_superseded(monotonic_time now);
  monotonic_time lease_end() const;
  void schedule_list(std::chrono::milliseconds delay);
  void set_worker_suspected(bool suspected, const std::string& cause);
  void flush();
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
  /// Sends what is due, together with whatever else this turn of the loop brings.
  post_once flush_soon_;
  member_dialer dialer_;
  std::map<std::string, std::unique_ptr<session>> sessions_;
  run_table table_;
  std::optional<worker_announcement> worker_;
  /// The newest announcement, also of a worker that has left.
  std::optional<worker_announcement> newest_announcement_;
  /// Life of the worker in which its ends were listed last; 0 before the first list.
  std::int64_t worker_incarnation_ = 0;
  owner_id next_owner_ = 1;
  bool listing_ = false;
  bool extra_list_pending_ = false;
  bool extra_list_wanted_ = false;
  bool suspected_ = false;
  bool last_list_failed_ = false;
  monotonic_time last_list_at_{};
  bool connection_refused_ = false;
  /// The last time for which a request that extends the lease was sent.
  monotonic_time lease_extended_at_{};
  monotonic_time last_tick_{};
  /// Waits until all leases have ended, as nobody may take note of some ends.
  bool awaiting_lease_expiry_ = false;
  bool status_dirty_ = false;
  bool leaving_ = false;
  monotonic_time leave_deadline_{};
  std::function<void()> on_left_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace parsleylead

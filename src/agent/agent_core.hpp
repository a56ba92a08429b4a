#pragma once

#include <kj/async.h>
#include <spdlog/fwd.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent_account.hpp"
#include "announce_schedule.hpp"
#include "generated/parsleylead.capnp.h"
#include "parsleylead/observe/metrics_registry.hpp"
#include "parsleylead/observe/span_writer.hpp"
#include "parsleylead/observe/trace_context.hpp"
#include "parsleylead/session/commit_table.hpp"
#include "parsleylead/settings/agent_settings.hpp"
#include "parsleylead/slot/slot_ledger.hpp"
#include "parsleylead/transport/rpc_loop.hpp"
#include "upstream_announcement.hpp"
#include "upstream_caller.hpp"

namespace parsleylead {

/// The answer to a dispatch or collect call.
struct dispatch_reply {
  std::uint64_t sequence = 0;
  wire::TaskState state = wire::TaskState::UNKNOWN;
  upstream_outcome outcome;
  std::uint32_t credits = 0;
  std::uint64_t newer_revision = 0;
};

/// A decoded dispatch call.
struct received_dispatch {
  std::uint64_t sequence = 0;
  std::uint64_t revision = 0;
  std::chrono::milliseconds budget{0};
  slot_demand demand;
  bool queue_if_busy = false;
  /// `agent_core` sets the ticket, the upstream and the deadline.
  upstream_call call;
};

/// A decoded request to open a session.
struct session_request {
  session_key key;
  std::optional<endpoint> entry_address;
  std::uint64_t previous_agent = 0;
  std::vector<std::uint64_t> outstanding;
  std::vector<std::uint64_t> acknowledged;
};

/// The result of `agent_core::open_session`.
struct session_answer {
  /// 0 if refused.
  session_id session = 0;
  failure refusal;
  std::vector<dispatch_reply> resumed;
  std::uint32_t credits = 0;
};

/// The state machine of the agent: sessions of entries, tasks, slots, the announced upstream and
/// the shutdown. Used on the control thread only.
class agent_core {
public:
  /// `incarnation` identifies this start of the agent; `operations_address` is the bound address.
  /// `on_drained` is called when a requested shutdown is complete.
  agent_core(rpc_loop& loop, const agent_settings& settings, std::uint64_t incarnation,
             endpoint operations_address, std::shared_ptr<spdlog::logger> log,
             std::function<void()> on_drained);
  ~agent_core();
  agent_core(const agent_core&) = delete;
  agent_core& operator=(const agent_core&) = delete;

  /// The RPC address that the agent announces to entries. To be set before the loop runs.
  void set_rpc_address(endpoint address) { rpc_address_ = std::move(address); }

  // Calls from entries.
  session_answer open_session(const session_request& request,
                              wire::SessionReceiver::Client receiver);
  void release_session(session_id session);
  kj::Promise<dispatch_reply> dispatch(session_id session, received_dispatch request);
  kj::Promise<dispatch_reply> collect(session_id session, std::uint64_t sequence);
  void cancel(session_id session, const std::vector<std::uint64_t>& sequences);
  std::uint32_t request_credits(session_id session, slot_demand demand);
  void return_credits(session_id session, std::uint32_t credits);
  void set_revision(const std::string& kind, std::uint64_t revision);
  void acknowledge(session_id session, const std::vector<std::uint64_t>& sequences);
  void probe(session_id session);

  // Calls from the upstream.
  void on_announcement(upstream_announcement announcement);
  void on_upstream_left();

  /// The first call begins a graceful shutdown; a second one aborts the running tasks.
  void stop();
  /// Begins a graceful shutdown unless one is in progress. Called by entries.
  void drain();

  /// Number of tasks that run or wait for a slot.
  std::size_t occupied() const { return slot_ledger_.running() + slot_ledger_.queued(); }
  std::size_t session_count() const { return sessions_.size(); }
  /// Adds an entry that was found in the member log; the agent announces itself to it.
  void add_discovered_entry(const endpoint& address) { announce_schedule_.add(address); }

  bool ready() const { return upstream_.has_value() && !draining_; }
  bool abandoned_tasks() const { return ended_tasks_early_; }
  agent_account account() const;
  /// Metrics in the Prometheus text format, version 0.0.4.
  std::string metrics() const { return to_prometheus(account()) + metrics_.render(); }
  void write_agent_info(wire::AgentInfo::Builder target) const;
  /// JSON documents served at /v1/catalogue and /v1/members.
  std::string revisions_json() const;
  std::string members_json() const;

private:
  using reply_fulfiller = kj::Own<kj::PromiseFulfiller<dispatch_reply>>;
  using task_key = std::pair<entry_key, std::uint64_t>;

  struct open_session_state {
    session_id id = 0;
    session_key key;
    std::optional<endpoint> address;
    wire::SessionReceiver::Client receiver;
    monotonic_time last_received{};
    /// A `leaving` call is unanswered.
    bool leaving_sent = false;
    monotonic_time leaving_sent_at{};
    /// The entry has answered a `leaving` call that was sent after the last refusal.
    bool leaving_acknowledged = false;
    /// Dispatches refused in this session.
    std::uint64_t refusals = 0;
  };

  struct task_state {
    session_key session;
    std::uint64_t sequence = 0;
    upstream_call call;
    trace_context trace;
    std::chrono::system_clock::time_point started_at;
    bool started = false;
    reason abort_cause = reason::none;
    std::list<reply_fulfiller> fulfillers;
  };

  class error_handler;

  open_session_state* find_session(session_id session);
  open_session_state* session_of(const entry_key& entry);
  void close_session(open_session_state& session, const char* cause);
  void reject_waiting_calls(const entry_key& entry);
  void refuse_sealed_tasks(const entry_key& entry, const std::vector<std::uint64_t>& sequences);
  dispatch_reply refuse(session_id session, const received_dispatch& request, reason cause,
                        std::string detail);
  std::optional<dispatch_reply> check_dispatch(session_id session,
                                               const received_dispatch& request);
  dispatch_reply reply_for(const entry_key& entry, std::uint64_t sequence);
  bool start_task(std::uint64_t ticket);
  void end_call(std::uint64_t ticket, upstream_outcome outcome);
  void write_span(const task_state& task, const upstream_outcome& outcome);
  void count_outcome(const upstream_outcome& outcome);
  void refuse_task(std::uint64_t ticket, reason cause, std::string detail,
                   std::uint32_t credits = 0);
  /// `is_refused`: whether waiting tasks of a kind are refused; all by default.
  void refuse_unstarted_tasks(
      reason cause, const std::string& detail,
      const std::function<bool(const std::string& kind)>& is_refused = [](const std::string&) {
        return true;
      });
  /// Precondition: an upstream is announced.
  bool serves(const std::string& kind) const;
  /// Refuses the waiting tasks whose kind the upstream no longer serves since its last
  /// announcement.
  void refuse_unserved_tasks();
  void apply(const slot_actions& actions);
  void send_grant(session_id session, std::uint32_t credits);
  void send_recall(session_id session, std::uint32_t credits);
  void send_leaving();
  void send_leaving_to(open_session_state& session);
  void send_update();
  void set_upstream_absent(const char* cause);
  void announce_due(monotonic_time now);
  kj::Promise<void> announce_to(const endpoint& address);
  kj::Promise<void> tick_forever();
  void tick();
  void detect_pause(monotonic_time now);
  std::chrono::milliseconds pause_length(monotonic_time now) const;
  bool upstream_present(monotonic_time now) const;
  void check_deadlines(monotonic_time now);
  void check_sessions(monotonic_time now);
  void check_drain(monotonic_time now);
  void replace_unresponsive_sessions(monotonic_time now);
  void end_running_tasks();
  std::size_t expected_sessions() const;

  rpc_loop& loop_;
  const agent_settings& settings_;
  std::shared_ptr<spdlog::logger> log_;
  std::uint64_t incarnation_;
  endpoint rpc_address_;
  endpoint operations_address_;
  std::function<void()> on_drained_;
  std::shared_ptr<bool> alive_flag_ = std::make_shared<bool>(true);

  commit_table commit_table_;
  slot_ledger slot_ledger_;
  announce_schedule announce_schedule_;
  agent_account account_;
  std::map<session_id, open_session_state> sessions_;
  std::map<std::uint64_t, task_state> tasks_;
  std::map<task_key, std::uint64_t> tickets_;
  std::map<std::string, std::uint64_t> revisions_;
  std::optional<upstream_announcement> upstream_;
  monotonic_time announced_at_{};
  monotonic_time next_expiry_{};
  monotonic_time last_tick_{};
  /// Length of the control thread's pause before the last tick, 0 if there was none.
  std::chrono::steady_clock::duration last_pause_{0};
  session_id next_session_ = 1;
  std::uint64_t next_ticket_ = 1;
  bool draining_ = false;
  /// Entries that did not answer `leaving` during the drain and have not opened a new session.
  std::set<endpoint> unresponsive_entries_;
  monotonic_time next_reconnect_request_{};
  bool drained_ = false;
  bool ended_tasks_early_ = false;
  monotonic_time drain_started_{};
  monotonic_time drain_end_{};
  monotonic_time next_leaving_{};
  std::unique_ptr<upstream_caller> upstream_caller_;
  metrics_registry metrics_;
  span_writer spans_;
  kj::Own<kj::TaskSet::ErrorHandler> error_handler_;
  kj::Own<kj::TaskSet> background_;
};

} // namespace parsleylead

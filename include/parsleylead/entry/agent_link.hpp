#pragma once

#include <kj/async.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "generated/parsleylead.capnp.h"
#include "parsleylead/entry/dispatcher.hpp"
#include "parsleylead/session/dispatch_ledger.hpp"
#include "parsleylead/transport/rpc_connection.hpp"

namespace parsleylead {

/// Identity and RPC address of one run of an agent.
struct agent_address {
  std::string name;
  std::uint64_t incarnation = 0;
  endpoint address;

  bool operator==(const agent_address&) const = default;
};

/// Dependencies shared by all agent links of an entry. Referenced objects must outlive the links.
struct link_context {
  rpc_loop& loop;
  const session_settings& settings;
  sequence_allocator& sequences;
  dispatcher& job_dispatcher;
  /// Writes this entry's description into the hello of a session.
  std::function<void(wire::EntryInfo::Builder)> describe_entry;
  /// Returns the known kind revisions for the hello of a session.
  std::function<std::vector<std::pair<std::string, std::uint64_t>>()> kind_revisions;
  /// Called when an agent reports a newer revision of a kind than this entry knows.
  std::function<void()> on_stale_revision;
  /// Called after a session was opened or resumed.
  std::function<void(const std::string& agent)> on_session_opened;
};

/// Manages this entry's session with one agent: connection, calls, probing of silent connections
/// and resume (D1, D7). Control thread only.
class agent_link : public std::enable_shared_from_this<agent_link> {
public:
  agent_link(link_context& context, agent_address address);
  ~agent_link();
  agent_link(const agent_link&) = delete;
  agent_link& operator=(const agent_link&) = delete;

  const agent_address& address() const { return address_; }

  /// Handles an announcement: the agent restarted or has no session with this entry.
  void on_announced(const agent_address& address, monotonic_time now);

  /// Sends a probe or reconnects when due. Must not be called from a KJ continuation. Returns false
  /// if the agent is lost; the caller then removes the link.
  bool tick(monotonic_time now);

  bool dispatch(const task_dispatch& request);
  void cancel(const uuid& submission);
  void request_credits(const demand& waiting);
  void return_credits(std::uint32_t credits);
  void push_revisions(const std::vector<std::pair<std::string, std::uint64_t>>& revisions);

  /// Asks the agent to drain.
  void drain();

  bool is_open() const { return ledger_.can_dispatch(); }
  bool is_leaving() const { return leaving_; }
  std::size_t outstanding() const { return ledger_.outstanding(); }

private:
  class receiver;
  struct session_connection;

  /// Records that a message of the current session arrived.
  void on_frame(monotonic_time now);
  void open(monotonic_time now);
  void on_reply(std::uint64_t counter, wire::SessionReply::Reader reply, monotonic_time now);
  void on_result(std::uint64_t sequence, wire::TaskResult::Reader result);
  void on_call_failed(std::uint64_t sequence, const kj::Exception& error);
  void collect_result(std::uint64_t sequence);
  void report_outcome(const outstanding_dispatch& dispatch, dispatch_outcome outcome);
  void watch_call(kj::Promise<void> call);
  void update_agent(wire::AgentInfo::Reader agent);
  bool is_current(std::uint64_t counter) const;

  link_context& context_;
  agent_address address_;
  dispatch_ledger ledger_;
  std::unique_ptr<session_connection> session_;
  std::optional<kj::Promise<void>> opening_;
  std::uint64_t session_counter_ = 0;
  monotonic_time opened_at_;
  bool leaving_ = false;
  bool never_opened_ = true;
};

} // namespace parsleylead

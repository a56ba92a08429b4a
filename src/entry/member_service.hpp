#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "generated/parsleylead.capnp.h"
#include "parsleylead/base/time.hpp"
#include "parsleylead/catalogue/catalogue_snapshot.hpp"
#include "parsleylead/entry/agent_link.hpp"
#include "parsleylead/entry/job_reply.hpp"
#include "parsleylead/settings/entry_settings.hpp"
#include "parsleylead/transport/rpc_connection.hpp"

namespace parsleylead {

/// Description of one run of an entry, as known to other processes.
struct entry_member {
  std::string name;
  std::uint64_t incarnation = 0;
  /// RPC address, "ip:port".
  std::string address;
  std::string operations_address;
  std::string availability_zone;
  bool leaving = false;
  monotonic_time last_seen;
};

entry_member to_member(wire::EntryInfo::Reader info, monotonic_time now);
void fill_entry_info(wire::EntryInfo::Builder info, const entry_member& member);

/// Tracks the other entries: exchanges members and catalogue offsets with them, and requests
/// agents, catalogue snapshots and jobs from them (D7). Control thread only.
class member_service {
public:
  struct callbacks {
    std::function<std::uint64_t()> catalogue_offset;
    std::function<bool()> needs_peer_snapshot;
    std::function<void(const catalogue_snapshot&)> on_snapshot;
    std::function<void(const agent_address&)> on_agent;
    std::function<void()> on_exchange;
  };
  using reply_callback = std::function<void(std::optional<job_reply>)>;

  member_service(rpc_loop& loop, const entry_settings& settings, callbacks handlers);
  ~member_service();
  member_service(const member_service&) = delete;
  member_service& operator=(const member_service&) = delete;

  /// `self`: description of this entry that is sent to other processes.
  void start(const entry_member& self);
  void stop();
  void set_leaving();

  const entry_member& self() const { return self_; }
  /// The other entries that were heard from within the member lifetime.
  std::vector<entry_member> members() const;

  /// Records another entry and its address.
  void record_member(const entry_member& member);
  /// Adds an address at which an entry may be reachable.
  void add_candidate(const endpoint& address);

  /// Starts the exchanges that are due. Must not be called from a KJ continuation.
  void tick(monotonic_time now);
  /// Schedules an immediate exchange with every peer, to learn of a newer catalogue.
  void refresh();

  /// Asks the entry at `address`, or all members if it is empty, for the reply of a submission.
  void fetch_job(const std::string& address, const std::string& submission,
                 std::chrono::milliseconds wait, reply_callback done);
  /// Asks all members to cancel a submission.
  void cancel_job(const std::string& submission, reply_callback done);

private:
  struct peer;
  using job_call = std::function<kj::Promise<std::optional<job_reply>>(wire::EntryPort::Client)>;

  void exchange_with(peer& target);
  void on_exchange(peer& target, wire::EntryPort::ExchangeResults::Reader reply);
  void read_catalogue(peer& target);
  void list_agents(peer& target);
  kj::Promise<std::optional<job_reply>> call_entry(const endpoint& address, job_call call,
                                                   std::chrono::milliseconds limit);
  void call_entries(const std::vector<endpoint>& addresses, const job_call& call,
                    std::chrono::milliseconds limit, reply_callback done);
  std::vector<endpoint> member_addresses() const;

  rpc_loop& loop_;
  const entry_settings& settings_;
  callbacks callbacks_;
  entry_member self_;
  std::map<std::string, entry_member> members_;
  std::map<endpoint, std::unique_ptr<peer>> peers_;
  bool agents_requested_ = false;
  std::unique_ptr<kj::TaskSet> tasks_;
};

} // namespace parsleylead

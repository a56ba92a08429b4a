#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/base/time.hpp"

namespace parsleylead::faults {

struct site_options {
  /// Folder of the binaries.
  std::string binaries;
  /// Existing folder for settings, port files and output.
  std::string folder;
  int entries = 2;
  int agents = 3;
  int slots = 8;
  int snapshot_after_s = 21'600;
};

/// A relay in front of a process. It keeps running when the process restarts, so the address stays
/// the same.
struct relayed_path {
  std::unique_ptr<child_process> process;
  endpoint address;
  endpoint control;

  /// Sends an action of the relay, for example "cut_open".
  void send_action(const std::string& action) const;
  void delay(std::chrono::milliseconds time) const;
  void set_target(const endpoint& target) const;
};

struct entry_node {
  std::string name;
  /// Name in the settings, unique among all sites: a port released by one site may be reused by
  /// another at once.
  std::string identity;
  std::unique_ptr<child_process> process;
  endpoint operations;
  endpoint callers;
  /// Peers and agents reach the entry through `rpc`, callers through `front`, and the entry reaches
  /// the log through `log`.
  relayed_path rpc;
  relayed_path front;
  relayed_path log;
  int starts = 0;
};

struct agent_node {
  std::string name;
  std::string identity;
  std::unique_ptr<child_process> process;
  std::unique_ptr<child_process> upstream;
  endpoint operations;
  endpoint upstream_address;
  /// Entries reach the agent through `rpc`, its upstream through `announce`.
  relayed_path rpc;
  relayed_path announce;
  /// When the upstream deregistered.
  std::optional<wall_time> deregistered_at;
  int starts = 0;
};

/// A test site: a log, entries, agents with their upstreams, and relays between them. Methods are
/// called on the thread that created the site unless marked as thread-safe.
class site {
public:
  explicit site(site_options options);
  site(const site&) = delete;
  site& operator=(const site&) = delete;

  /// Starts all processes and waits until every entry has a session with every agent. Throws
  /// std::runtime_error after a time-out.
  void start();

  entry_node& entry(int number) { return entries_[static_cast<std::size_t>(number - 1)]; }
  agent_node& agent(int number) { return agents_[static_cast<std::size_t>(number - 1)]; }
  const agent_node& agent(int number) const {
    return agents_[static_cast<std::size_t>(number - 1)];
  }
  int entries() const { return static_cast<int>(entries_.size()); }
  int agents() const { return static_cast<int>(agents_.size()); }
  const endpoint& log() const { return log_address_; }
  const site_options& options() const { return options_; }
  /// Name of a kind that is unique to this site.
  std::string kind(const std::string& name) const { return name + tag_; }

  /// Kills the entry with SIGKILL and stops routing callers to it.
  void kill_entry(int number);
  /// Restarts the entry and waits until it is ready.
  void restart_entry(int number);
  /// Stops the entry with SIGTERM and waits for its exit; callers are routed to the other entries
  /// during the drain notice. An exit code other than 0 is a violation.
  void stop_entry(int number);
  /// Sends SIGTERM and routes callers to other entries as soon as /ready reports it.
  void start_entry_stop(int number);
  /// Like `stop_entry`, for an entry that is already stopping.
  void wait_for_entry_exit(int number);

  void kill_agent(int number);
  void restart_agent(int number);
  void stop_agent(int number);
  void wait_for_agent_exit(int number);
  /// Adds an agent with its upstream; does not wait for its sessions.
  int add_agent();

  void kill_upstream(int number);
  void restart_upstream(int number);
  void deregister_upstream(int number);

  void control_log(const std::string& command) const;
  void control_upstream(int number, const std::string& command) const;

  /// An entry to which a caller is routed, and the number of its start.
  struct route {
    int entry = 0;
    int start = 0;
    endpoint address;
  };
  /// Returns a routed entry selected by `number`; nullopt if there is none. Thread-safe.
  std::optional<route> pick_entry(std::uint64_t number) const;
  /// Returns whether callers are still routed to this start of the entry. Thread-safe.
  bool is_routed(const route& checked_route) const;

  bool is_entry_running(int number) const;
  bool is_agent_running(int number) const;
  /// Operations addresses of running entries by name and start number, for example "entry-1/2".
  /// Thread-safe.
  std::map<std::string, endpoint> running_entries() const;

  /// Stops all processes gracefully. Returns the violations, for example unexpected exits.
  std::vector<std::string> finish();

  /// Path of the file in which the upstream of an agent records the tasks that it starts.
  std::string starts_file(int agent) const;

private:
  relayed_path start_relay(const std::string& name, const endpoint& target);
  void start_entry(int number);
  void start_agent(int number);
  void start_upstream(int number);
  void add_entry_node(int number);
  void add_agent_node(int number);
  void publish_catalogue();
  void wait_for_sessions();
  std::vector<int> read_ports(const std::string& name, std::size_t count, child_process& process);
  std::string path(const std::string& file) const { return options_.folder + "/" + file; }
  std::string binary(const std::string& name) const { return options_.binaries + "/" + name; }
  std::unique_ptr<child_process> run(const std::string& name,
                                     const std::vector<std::string>& command);
  void write_file(const std::string& name, const std::string& text) const;
  void set_routed(int number, bool value);
  void stop_routing_when_not_ready(int number);
  void set_flag(std::vector<bool>& list, int number, bool value);
  void check_exit(const std::string& name, child_process& process);
  void collect_aborts();

  void disconnect_relays(const entry_node& node) const;
  void disconnect_relays(const agent_node& node) const;

  site_options options_;
  std::string tag_;
  std::unique_ptr<child_process> log_;
  endpoint log_address_;
  std::vector<entry_node> entries_;
  std::vector<agent_node> agents_;
  std::vector<std::string> seeds_;
  std::vector<std::string> faults_;

  mutable std::mutex mutex_;
  std::vector<bool> routed_;
  std::vector<bool> entry_running_;
  std::vector<bool> agent_running_;
};

} // namespace parsleylead::faults

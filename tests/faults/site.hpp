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
  /// Folder for settings, port files and output; it exists.
  std::string folder;
  int entries = 2;
  int agents = 3;
  int slots = 8;
  int snapshot_after_s = 21'600;
};

/// A relay in front of a process. It survives the process, so the address stays the same.
struct relayed_path {
  std::unique_ptr<child_process> process;
  endpoint address;
  endpoint control;

  /// One of the relay's actions, for example "cut_open".
  void act(const std::string& action) const;
  void delay(std::chrono::milliseconds time) const;
  void aim(const endpoint& target) const;
};

struct entry_node {
  std::string name;
  /// The name in its settings. Differs from that of any other site: a port that one site gives back
  /// may be used by another one at once.
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
  /// When the upstream was told to leave.
  std::optional<wall_time> left;
  int starts = 0;
};

/// One small site: a log, entries, agents with their upstreams, and relays between them. Methods
/// are for the thread that made the site; `pick_entry` is for callers' threads as well.
class site {
public:
  explicit site(site_options options);
  site(const site&) = delete;
  site& operator=(const site&) = delete;

  /// Starts everything and waits until every entry serves with every agent. Throws
  /// std::runtime_error if that takes too long.
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
  /// The site's own name of a kind.
  std::string kind(const std::string& name) const { return name + tag_; }

  /// Ends the entry by SIGKILL; callers are no longer sent to it.
  void kill_entry(int number);
  /// Starts the entry again and waits until it is ready.
  void restart_entry(int number);
  /// A planned stop by SIGTERM: callers are moved to the other entries during the notice. Waits for
  /// the end; an exit code other than 0 is a fault.
  void stop_entry(int number);
  /// SIGTERM, and callers are moved to other entries as soon as /ready says so.
  void begin_entry_leave(int number);
  /// As `stop_entry`, but something else told the entry to leave.
  void await_entry_leave(int number);

  void kill_agent(int number);
  void restart_agent(int number);
  void stop_agent(int number);
  void await_agent_leave(int number);
  /// Adds an agent with its upstream; does not wait for its sessions.
  int add_agent();

  void kill_upstream(int number);
  void restart_upstream(int number);
  void leave_upstream(int number);

  void control_log(const std::string& command) const;
  void control_upstream(int number, const std::string& command) const;

  /// Where a caller is sent: a running entry chosen by the number, and its start count.
  /// Thread-safe.
  struct route {
    int entry = 0;
    int start = 0;
    endpoint address;
  };
  std::optional<route> pick_entry(std::uint64_t number) const;
  /// Whether callers are still sent to that start of the entry. Thread-safe.
  bool is_routed(const route& chosen) const;

  bool entry_runs(int number) const;
  bool agent_runs(int number) const;
  /// Operations addresses of running entries by name and start, for example "entry-1/2".
  std::map<std::string, endpoint> running_entries() const;

  /// Stops everything gracefully. Returns every process that ended in a way it must not.
  std::vector<std::string> finish();

  /// Paths of the files in which the upstreams recorded their starts, by agent number.
  std::string starts_file(int agent) const;

private:
  relayed_path start_relay(const std::string& name, const endpoint& target);
  void start_entry(int number);
  void start_agent(int number);
  void start_upstream(int number);
  void make_entry(int number);
  void make_agent(int number);
  void publish_catalogue();
  void wait_for_sessions();
  std::vector<int> read_ports(const std::string& name, std::size_t count, child_process& process);
  std::string path(const std::string& file) const { return options_.folder + "/" + file; }
  std::string binary(const std::string& name) const { return options_.binaries + "/" + name; }
  std::unique_ptr<child_process> run(const std::string& name,
                                     const std::vector<std::string>& command);
  void write_file(const std::string& name, const std::string& text) const;
  void route_to(int number, bool on);
  void await_notice(int number);
  void set_running(std::vector<bool>& list, int number, bool on);
  void check_exit(const std::string& name, child_process& process);
  void find_aborts();

  void close_paths(const entry_node& node) const;
  void close_paths(const agent_node& node) const;

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

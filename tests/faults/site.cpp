#include "site.hpp"

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "catalogue_operator.hpp"
#include "http_calls.hpp"

namespace parsleylead::faults {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds start_timeout{15'000};
constexpr milliseconds stop_timeout{30'000};
constexpr milliseconds drain_notice{500};
// A reserved port at which nothing listens.
const endpoint unused_address{"127.0.0.1", 1};

std::string next_tag() {
  static std::atomic<int> count{0};
  return "-" + std::to_string(getpid()) + "-" + std::to_string(++count);
}

endpoint local(int port) {
  return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

json entry_document(const entry_node& node, int number, const site_options& options,
                    const std::vector<std::string>& seeds) {
  json others = json::array();
  for (const auto& seed : seeds) {
    if (seed != to_string(node.rpc.address)) {
      others.push_back(seed);
    }
  }
  return {{"name", node.identity},
          {"region", "faults"},
          {"availability_zone", "zone-" + std::to_string(number)},
          {"rpc_address", "127.0.0.1:0"},
          {"advertised_rpc_address", to_string(node.rpc.address)},
          {"operations_address", "127.0.0.1:0"},
          {"entry_slot", number},
          {"entry_slots", options.entries},
          {"seeds", others},
          {"drain_notice_ms", drain_notice.count()},
          {"callers", {{"address", "127.0.0.1:0"}, {"threads", 256}}},
          {"log", {{"address", to_string(node.log.address)}}},
          {"catalogue", {{"snapshot_after_s", options.snapshot_after_s}}}};
}

json agent_document(const agent_node& node, int number, const site_options& options,
                    const std::vector<std::string>& seeds) {
  return {{"name", node.identity},
          {"region", "faults"},
          {"availability_zone", "zone-" + std::to_string(number)},
          {"rpc_address", "127.0.0.1:0"},
          {"advertised_rpc_address", to_string(node.rpc.address)},
          {"operations_address", "127.0.0.1:0"},
          {"seeds", seeds},
          {"upstream",
           {{"announce_address", "127.0.0.1:0"}, {"slots", options.slots}, {"connections", 64}}}};
}

} // namespace

void relayed_path::send_action(const std::string& action) const {
  post_control(control, {{"action", action}});
}

void relayed_path::delay(std::chrono::milliseconds time) const {
  post_control(control, {{"delay_ms", time.count()}});
}

void relayed_path::set_target(const endpoint& target) const {
  post_control(control, {{"target", to_string(target)}});
}

site::site(site_options options) : options_(std::move(options)), tag_(next_tag()) {}

// Points relays to an unused port, because another site's process may be given the released port.
void site::disconnect_relays(const entry_node& node) const {
  node.rpc.set_target(unused_address);
  node.front.set_target(unused_address);
}

void site::disconnect_relays(const agent_node& node) const {
  node.rpc.set_target(unused_address);
  node.announce.set_target(unused_address);
}

// Processes.

std::unique_ptr<child_process> site::run(const std::string& name,
                                         const std::vector<std::string>& command) {
  return std::make_unique<child_process>(command, path(name + ".log"));
}

void site::write_file(const std::string& name, const std::string& text) const {
  std::ofstream file(path(name));
  file << text;
  if (!file.flush()) {
    throw std::runtime_error("cannot write " + path(name));
  }
}

std::vector<int> site::read_ports(const std::string& name, std::size_t count,
                                  child_process& process) {
  std::vector<int> ports;
  const auto read = [&] {
    std::ifstream file(path(name + ".ports"));
    std::stringstream text;
    text << file.rdbuf();
    // The file may be read before the line is complete.
    if (!text.str().ends_with('\n')) {
      return !process.running();
    }
    ports.clear();
    for (int port = 0; text >> port;) {
      ports.push_back(port);
    }
    return ports.size() == count;
  };
  if (!wait_until(read, start_timeout) || ports.size() != count) {
    throw std::runtime_error(name + " did not start; see " + path(name + ".log"));
  }
  return ports;
}

relayed_path site::start_relay(const std::string& name, const endpoint& target) {
  relayed_path result;
  result.process = run(name, {binary("standin-relay"), "--listen", "127.0.0.1:0", "--target",
                              to_string(target), "--port_file", path(name + ".ports")});
  const auto ports = read_ports(name, 2, *result.process);
  result.address = local(ports[0]);
  result.control = local(ports[1]);
  return result;
}

void site::add_entry_node(int number) {
  entry_node node;
  node.name = "entry-" + std::to_string(number);
  node.identity = node.name + tag_;
  node.rpc = start_relay(node.name + "-rpc", unused_address);
  node.front = start_relay(node.name + "-front", unused_address);
  node.log = start_relay(node.name + "-log", log_address_);
  seeds_.push_back(to_string(node.rpc.address));
  entries_.push_back(std::move(node));
  const std::lock_guard lock(mutex_);
  routed_.push_back(false);
  entry_running_.push_back(false);
}

void site::add_agent_node(int number) {
  agent_node node;
  node.name = "agent-" + std::to_string(number);
  node.identity = node.name + tag_;
  node.rpc = start_relay(node.name + "-rpc", unused_address);
  node.announce = start_relay(node.name + "-announce", unused_address);
  agents_.push_back(std::move(node));
  const std::lock_guard lock(mutex_);
  agent_running_.push_back(false);
}

void site::start_entry(int number) {
  auto& node = entry(number);
  write_file(node.name + ".json", entry_document(node, number, options_, seeds_).dump());
  std::filesystem::remove(path(node.name + ".ports"));
  node.process =
      run(node.name, {binary("parsleylead-entry"), "--settings", path(node.name + ".json"),
                      "--port_file", path(node.name + ".ports")});
  const auto ports = read_ports(node.name, 3, *node.process);
  node.callers = local(ports[0]);
  node.operations = local(ports[1]);
  node.rpc.set_target(local(ports[2]));
  node.front.set_target(node.callers);
  const std::lock_guard lock(mutex_);
  ++node.starts;
  entry_running_[static_cast<std::size_t>(number - 1)] = true;
}

void site::start_agent(int number) {
  auto& node = agent(number);
  write_file(node.name + ".json", agent_document(node, number, options_, seeds_).dump());
  std::filesystem::remove(path(node.name + ".ports"));
  node.process =
      run(node.name, {binary("parsleylead-agent"), "--settings", path(node.name + ".json"),
                      "--port_file", path(node.name + ".ports")});
  const auto ports = read_ports(node.name, 3, *node.process);
  node.rpc.set_target(local(ports[0]));
  node.operations = local(ports[1]);
  node.announce.set_target(local(ports[2]));
  ++node.starts;
  set_flag(agent_running_, number, true);
}

void site::start_upstream(int number) {
  const auto name = "upstream-" + std::to_string(number);
  auto& node = agent(number);
  std::filesystem::remove(path(name + ".ports"));
  node.upstream =
      run(name, {binary("standin-upstream"), "--name", name, "--kinds",
                 kind("check") + "," + kind("index") + "," + kind("letter"), "--slots",
                 std::to_string(options_.slots), "--announce", to_string(node.announce.address),
                 "--starts_file", starts_file(number), "--port_file", path(name + ".ports")});
  node.upstream_address = local(read_ports(name, 1, *node.upstream)[0]);
}

std::string site::starts_file(int agent) const {
  return path("upstream-" + std::to_string(agent) + ".starts");
}

void site::start() {
  log_ = run("log", {binary("standin-log"), "--port_file", path("log.ports")});
  log_address_ = local(read_ports("log", 1, *log_)[0]);
  for (int i = 1; i <= options_.entries; ++i) {
    add_entry_node(i);
  }
  publish_catalogue();
  for (int i = 1; i <= options_.entries; ++i) {
    start_entry(i);
  }
  for (int i = 1; i <= options_.agents; ++i) {
    add_agent_node(i);
    start_agent(i);
    start_upstream(i);
  }
  wait_for_sessions();
  for (int i = 1; i <= options_.entries; ++i) {
    set_routed(i, true);
  }
}

void site::publish_catalogue() {
  catalogue_operator publisher(log_address_, "setup");
  publisher.publish_kind(kind("check"), true);
  publisher.publish_kind(kind("index"), true);
  publisher.publish_kind(kind("letter"), false);
}

void site::wait_for_sessions() {
  const auto connected = [this] {
    for (const auto& [name, operations] : running_entries()) {
      const auto page = get_json(operations, "/v1/members");
      if (!page.is_object()) {
        return false;
      }
      int open = 0;
      for (const auto& member : page["agents"]) {
        open +=
            member["open"].get<bool>() && member.contains("slots") && member["slots"] > 0 ? 1 : 0;
      }
      if (open < agents()) {
        return false;
      }
    }
    return true;
  };
  if (!wait_until(connected, start_timeout)) {
    throw std::runtime_error("the entries do not reach every agent; see " + options_.folder);
  }
}

// Routing of callers.

void site::set_routed(int number, bool value) {
  set_flag(routed_, number, value);
}

void site::set_flag(std::vector<bool>& list, int number, bool value) {
  const std::lock_guard lock(mutex_);
  list[static_cast<std::size_t>(number - 1)] = value;
}

std::optional<site::route> site::pick_entry(std::uint64_t number) const {
  const std::lock_guard lock(mutex_);
  for (std::size_t i = 0; i < routed_.size(); ++i) {
    const auto index = (number + i) % routed_.size();
    if (routed_[index]) {
      const auto& node = entries_[index];
      return route{static_cast<int>(index) + 1, node.starts, node.front.address};
    }
  }
  return std::nullopt;
}

bool site::is_routed(const route& checked_route) const {
  const std::lock_guard lock(mutex_);
  const auto index = static_cast<std::size_t>(checked_route.entry - 1);
  return routed_[index] && entries_[index].starts == checked_route.start;
}

bool site::is_entry_running(int number) const {
  const std::lock_guard lock(mutex_);
  return entry_running_[static_cast<std::size_t>(number - 1)];
}

bool site::is_agent_running(int number) const {
  const std::lock_guard lock(mutex_);
  return agent_running_[static_cast<std::size_t>(number - 1)];
}

std::map<std::string, endpoint> site::running_entries() const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, endpoint> result;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entry_running_[i]) {
      result[entries_[i].name + "/" + std::to_string(entries_[i].starts)] = entries_[i].operations;
    }
  }
  return result;
}

// Faults of processes.

void site::kill_entry(int number) {
  set_routed(number, false);
  set_flag(entry_running_, number, false);
  if (entry(number).process->wait(milliseconds(0))) {
    check_exit(entry(number).name, *entry(number).process);
  }
  entry(number).process->kill();
  disconnect_relays(entry(number));
}

void site::restart_entry(int number) {
  start_entry(number);
  const auto ready = [&] {
    const auto page = get_json(entry(number).operations, "/ready");
    return page.is_object() && page.value("ready", false);
  };
  if (!wait_until(ready, start_timeout)) {
    faults_.push_back(entry(number).name + " is not ready after its restart");
  }
  set_routed(number, true);
}

void site::stop_entry(int number) {
  entry(number).process->send(SIGTERM);
  wait_for_entry_exit(number);
}

void site::start_entry_stop(int number) {
  entry(number).process->send(SIGTERM);
  stop_routing_when_not_ready(number);
}

void site::stop_routing_when_not_ready(int number) {
  const auto leaving = [&] {
    const auto page = get_json(entry(number).operations, "/ready");
    return !page.is_object() || !page.value("ready", false);
  };
  if (!wait_until(leaving, stop_timeout)) {
    faults_.push_back(entry(number).name + " still reports ready after it was told to stop");
  }
  set_routed(number, false);
}

void site::wait_for_entry_exit(int number) {
  stop_routing_when_not_ready(number);
  set_flag(entry_running_, number, false);
  if (!entry(number).process->wait(stop_timeout)) {
    faults_.push_back(entry(number).name + " did not stop");
    entry(number).process->kill();
  }
  disconnect_relays(entry(number));
  check_exit(entry(number).name, *entry(number).process);
}

void site::kill_agent(int number) {
  set_flag(agent_running_, number, false);
  if (agent(number).process->wait(milliseconds(0))) {
    check_exit(agent(number).name, *agent(number).process);
  }
  agent(number).process->kill();
  disconnect_relays(agent(number));
}

void site::restart_agent(int number) {
  start_agent(number);
}

void site::stop_agent(int number) {
  agent(number).process->send(SIGTERM);
  wait_for_agent_exit(number);
}

void site::wait_for_agent_exit(int number) {
  set_flag(agent_running_, number, false);
  if (!agent(number).process->wait(stop_timeout)) {
    faults_.push_back(agent(number).name + " did not stop");
    agent(number).process->kill();
  }
  disconnect_relays(agent(number));
  check_exit(agent(number).name, *agent(number).process);
}

int site::add_agent() {
  const int number = agents() + 1;
  add_agent_node(number);
  start_agent(number);
  start_upstream(number);
  return number;
}

void site::kill_upstream(int number) {
  agent(number).upstream->kill();
}

void site::restart_upstream(int number) {
  start_upstream(number);
}

void site::deregister_upstream(int number) {
  control_upstream(number, R"({"leave":true})");
  // The upstream sends the DELETE with its next heartbeat, at most 1 s later.
  std::this_thread::sleep_for(milliseconds(1100));
  agent(number).deregistered_at = wall_now();
}

void site::control_log(const std::string& command) const {
  post_control(log_address_, json::parse(command));
}

void site::control_upstream(int number, const std::string& command) const {
  post_control(agents_[static_cast<std::size_t>(number - 1)].upstream_address,
               json::parse(command));
}

// End.

void site::check_exit(const std::string& name, child_process& process) {
  const auto fault = process.fault();
  if (!fault.empty()) {
    faults_.push_back(name + " ended with " + fault);
  }
}

void site::collect_aborts() {
  for (const auto& file : std::filesystem::directory_iterator(options_.folder)) {
    if (file.path().extension() != ".log") {
      continue;
    }
    std::ifstream text(file.path());
    for (std::string line; std::getline(text, line);) {
      for (const char* mark : {"nvariant violated", "terminate called", "Sanitizer"}) {
        if (line.find(mark) != std::string::npos) {
          faults_.push_back(file.path().filename().string() + ": " + line.substr(0, 200));
        }
      }
    }
  }
}

std::vector<std::string> site::finish() {
  for (int i = 1; i <= entries(); ++i) {
    if (is_entry_running(i)) {
      stop_entry(i);
    }
  }
  for (int i = 1; i <= agents(); ++i) {
    if (is_agent_running(i)) {
      stop_agent(i);
    }
  }
  collect_aborts();
  return faults_;
}

} // namespace parsleylead::faults

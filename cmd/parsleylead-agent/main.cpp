// parsleylead-agent: runs beside one upstream and starts its tasks. See docs/OPERATIONS.md.

#include <gflags/gflags.h>

#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "parsleylead/agent/agent_process.hpp"
#include "parsleylead/base/error.hpp"
#include "parsleylead/settings/parse_agent_settings.hpp"

DEFINE_string(settings, "", "Settings file, JSON with comments.");
DEFINE_bool(check_settings, false, "Check the settings, print every fault and exit.");
DEFINE_string(port_file, "",
              "File that receives the ports in use: RPC, operations, announcements.");

namespace {

constexpr int exit_usage = 2;
constexpr int exit_port_in_use = 3;
constexpr int exit_abandoned_tasks = 4;

// Each signal requests a stop; the second one ends running tasks at once.
void forward_signals(asio::signal_set& signals, parsleylead::agent_process& agent) {
  signals.async_wait([&signals, &agent](const asio::error_code& error, int /*number*/) {
    if (!error) {
      agent.request_stop();
      forward_signals(signals, agent);
    }
  });
}

void write_ports(const parsleylead::agent_process& agent) {
  if (FLAGS_port_file.empty()) {
    return;
  }
  std::ofstream(FLAGS_port_file) << agent.rpc_endpoint().port << ' '
                                 << agent.operations_endpoint().port << ' '
                                 << agent.announce_endpoint().port << '\n';
}

int run() {
  const auto parsed = parsleylead::load_agent_settings(FLAGS_settings);
  if (!parsed.ok()) {
    for (const auto& error : parsed.errors) {
      std::fprintf(stderr, "agent: settings: %s\n", to_string(error).c_str());
    }
    return exit_usage;
  }
  if (FLAGS_check_settings) {
    std::puts("agent: the settings are valid.");
    return 0;
  }
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  parsleylead::agent_process agent(*parsed.settings);
  if (const auto status = agent.start(); !status.ok()) {
    std::fprintf(stderr, "agent: %s\n", parsleylead::describe(status).c_str());
    return exit_port_in_use;
  }
  write_ports(agent);
  asio::signal_set signals(agent.io(), SIGTERM, SIGINT);
  forward_signals(signals, agent);
  const auto exit = agent.run();
  return exit == parsleylead::agent_exit::drained ? 0 : exit_abandoned_tasks;
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs beside one upstream and starts its tasks");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return run();
}

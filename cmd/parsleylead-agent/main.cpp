// parsleylead-agent: runs beside one upstream and starts tasks on it. See docs/OPERATIONS.md.

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>

#include "parsleylead/agent/agent_process.hpp"
#include "parsleylead/base/error.hpp"
#include "parsleylead/settings/parse_agent_settings.hpp"
#include "parsleylead/tool/daemon.hpp"

DEFINE_string(settings, "", "Settings file, JSON with comments.");
DEFINE_bool(check_settings, false, "Check the settings, print all errors and exit.");
DEFINE_string(port_file, "", "File to write the ports in use to: RPC, operations, announcements.");

namespace {

constexpr int exit_abandoned_tasks = 4;

int run() {
  const auto parsed = parsleylead::load_agent_settings(FLAGS_settings);
  if (!parsleylead::report_setting_errors("agent", parsed)) {
    return parsleylead::daemon_exit_bad_settings;
  }
  if (FLAGS_check_settings) {
    std::puts("agent: the settings are valid.");
    return 0;
  }
  // A write to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  parsleylead::agent_process process(*parsed.settings);
  if (const auto status = process.start(); !status.ok()) {
    std::fprintf(stderr, "agent: %s\n", parsleylead::describe(status).c_str());
    return parsleylead::daemon_exit_cannot_listen;
  }
  parsleylead::write_port_file(FLAGS_port_file,
                               {process.rpc_endpoint().port, process.operations_endpoint().port,
                                process.announce_endpoint().port});
  asio::signal_set signals(process.io(), SIGTERM, SIGINT);
  parsleylead::forward_stop_signals(signals, process);
  const auto result = process.run();
  return result == parsleylead::agent_exit::drained ? 0 : exit_abandoned_tasks;
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs beside one upstream and starts tasks on it");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return run();
}

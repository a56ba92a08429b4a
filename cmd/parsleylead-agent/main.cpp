// parsleylead-agent: runs beside one upstream and starts its tasks.
#include <gflags/gflags.h>
#include <spdlog/logger.h>

#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "parsleylead/agent/agent_process.hpp"
#include "parsleylead/base/error.hpp"
#include "parsleylead/observe/make_logger.hpp"
#include "parsleylead/settings/parse_agent_settings.hpp"

DEFINE_string(settings, "", "path of the settings file (JSON with comments)");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

using namespace parsleylead;
constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_listen = 3;
constexpr int exit_abandoned_tasks = 4;

// Each signal requests a stop; the second one ends running tasks at once.
void wait_for_signal(asio::signal_set& signals, agent_process& agent) {
  signals.async_wait([&signals, &agent](const asio::error_code& error, int /*number*/) {
    if (!error) {
      agent.request_stop();
      wait_for_signal(signals, agent);
    }
  });
}

int run(const agent_settings& settings) {
  const auto log = make_logger("agent", settings.logging);
  agent_process agent(settings);
  if (const auto status = agent.start(); !status.ok()) {
    log->error("{}", describe(status));
    return exit_cannot_listen;
  }
  log->info("{} serves entries at {}, announcements at {}, operations at {}", settings.name,
            to_string(agent.rpc_endpoint()), to_string(agent.announce_endpoint()),
            to_string(agent.operations_endpoint()));
  asio::signal_set signals(agent.io(), SIGTERM, SIGINT);
  wait_for_signal(signals, agent);
  const auto exit = agent.run();
  log->info("stopped");
  return exit == agent_exit::drained ? 0 : exit_abandoned_tasks;
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--settings FILE [--check_settings]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto loaded = load_agent_settings(FLAGS_settings);
  if (!loaded.ok()) {
    for (const auto& error : loaded.errors) {
      std::cerr << "agent: bad settings: " << to_string(error) << '\n';
    }
    return exit_bad_settings;
  }
  if (FLAGS_check_settings) {
    return 0;
  }
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return run(*loaded.settings);
}

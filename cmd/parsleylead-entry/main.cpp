// parsleylead-entry: serves callers and dispatches their jobs. See docs/OPERATIONS.md.

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

#include "parsleylead/base/error.hpp"
#include "parsleylead/entry/entry_process.hpp"
#include "parsleylead/platform_log/http_log_service.hpp"
#include "parsleylead/settings/parse_entry_settings.hpp"

DEFINE_string(settings, "", "Settings file, JSON with comments.");
DEFINE_bool(check_settings, false, "Check the settings, print every fault and exit.");
DEFINE_string(port_file, "", "File that receives the ports in use: callers, operations, RPC.");

namespace {

constexpr int exit_usage = 2;
constexpr int exit_port_in_use = 3;

sigset_t stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Waits for signals on a thread of its own; SIGUSR1 from `run` ends it.
void forward_signals(parsleylead::entry_process& process) {
  auto signals = stop_signals();
  sigaddset(&signals, SIGUSR1);
  int received = 0;
  while (sigwait(&signals, &received) == 0 && received != SIGUSR1) {
    process.request_stop();
  }
}

void write_ports(const parsleylead::entry_process& process) {
  if (FLAGS_port_file.empty()) {
    return;
  }
  std::ofstream(FLAGS_port_file) << process.caller_endpoint().port << ' '
                                 << process.operations_endpoint().port << ' '
                                 << process.rpc_endpoint().port << '\n';
}

int run() {
  const auto parsed = parsleylead::load_entry_settings(FLAGS_settings);
  if (!parsed.ok()) {
    for (const auto& error : parsed.errors) {
      std::fprintf(stderr, "entry: settings: %s\n", to_string(error).c_str());
    }
    return exit_usage;
  }
  if (FLAGS_check_settings) {
    std::puts("entry: the settings are valid.");
    return 0;
  }
  auto blocked = stop_signals();
  sigaddset(&blocked, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  parsleylead::http_log_service log(parsed.settings->log);
  parsleylead::entry_process process(*parsed.settings, log);
  if (const auto status = process.start(); !status.ok()) {
    std::fprintf(stderr, "entry: %s\n", parsleylead::describe(status).c_str());
    return exit_port_in_use;
  }
  write_ports(process);
  std::thread signals([&process] { forward_signals(process); });
  process.run();
  pthread_kill(signals.native_handle(), SIGUSR1);
  signals.join();
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("serves callers and dispatches their jobs");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return run();
}

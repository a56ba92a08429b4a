// parsleylead-entry: serves callers and dispatches their jobs. See docs/OPERATIONS.md.

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>

#include "parsleylead/base/error.hpp"
#include "parsleylead/entry/entry_process.hpp"
#include "parsleylead/platform_log/http_log_service.hpp"
#include "parsleylead/settings/parse_entry_settings.hpp"
#include "parsleylead/tool/daemon.hpp"

DEFINE_string(settings, "", "Settings file, JSON with comments.");
DEFINE_bool(check_settings, false, "Check the settings, print all errors and exit.");
DEFINE_string(port_file, "", "File to write the ports in use to: callers, operations, RPC.");

namespace {

int run() {
  const auto parsed = parsleylead::load_entry_settings(FLAGS_settings);
  if (!parsleylead::report_setting_errors("entry", parsed)) {
    return parsleylead::daemon_exit_bad_settings;
  }
  if (FLAGS_check_settings) {
    std::puts("entry: the settings are valid.");
    return 0;
  }
  // A write to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  parsleylead::http_log_service log(parsed.settings->log);
  parsleylead::entry_process process(*parsed.settings, log);
  if (const auto status = process.start(); !status.ok()) {
    std::fprintf(stderr, "entry: %s\n", parsleylead::describe(status).c_str());
    return parsleylead::daemon_exit_cannot_listen;
  }
  parsleylead::write_port_file(FLAGS_port_file,
                               {process.caller_endpoint().port, process.operations_endpoint().port,
                                process.rpc_endpoint().port});
  asio::signal_set signals(process.io(), SIGTERM, SIGINT);
  parsleylead::forward_stop_signals(signals, process);
  process.run();
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("serves callers and dispatches their jobs");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return run();
}

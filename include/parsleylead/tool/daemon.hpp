#pragma once

#include <asio/signal_set.hpp>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <initializer_list>
#include <string>

#include "parsleylead/settings/setting_error.hpp"

namespace parsleylead {

/// Exit codes of the daemons.
inline constexpr int daemon_exit_bad_settings = 2;
inline constexpr int daemon_exit_cannot_listen = 3;

/// Prints all errors of a settings file to standard error. Returns whether there are none.
template <class Settings>
bool report_setting_errors(const char* component, const settings_result<Settings>& parsed) {
  for (const auto& error : parsed.errors) {
    std::fprintf(stderr, "%s: settings: %s\n", component, to_string(error).c_str());
  }
  return parsed.ok();
}

/// Writes the bound ports to a file, separated by spaces; does nothing if `path` is empty.
inline void write_port_file(const std::string& path, std::initializer_list<std::uint16_t> ports) {
  if (path.empty()) {
    return;
  }
  std::ofstream file(path);
  for (const auto port : ports) {
    file << port << ' ';
  }
  file << '\n';
}

/// Calls `process.request_stop()` for each signal of the set: the first call starts a graceful
/// shutdown, the second one stops at once. Both arguments must outlive the run of the io_context.
template <class Process>
void forward_stop_signals(asio::signal_set& signals, Process& process) {
  signals.async_wait([&signals, &process](const asio::error_code& error, int /*number*/) {
    if (!error) {
      process.request_stop();
      forward_stop_signals(signals, process);
    }
  });
}

} // namespace parsleylead

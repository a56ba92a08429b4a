#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace parsleylead::faults {

/// A child process whose output goes to a file. The kernel kills the process when the thread that
/// started it ends, so use the object on that thread.
class child_process {
public:
  /// Throws std::runtime_error if the process cannot be started.
  child_process(const std::vector<std::string>& command, const std::string& output_path);
  /// Kills the process if it still runs, and reaps it.
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  pid_t id() const { return id_; }
  void send(int signal) const;
  /// Sends SIGKILL and waits for the exit.
  void kill();
  /// Waits for the exit. Returns false if the process still runs after `limit`.
  bool wait(std::chrono::milliseconds limit);
  bool running() { return !wait(std::chrono::milliseconds(0)); }

  /// Returns an empty string for exit code 0, otherwise for example "exit code 3" or "signal 6".
  /// Precondition: the process has exited.
  std::string fault() const;

private:
  pid_t id_ = -1;
  std::optional<int> status_;
};

} // namespace parsleylead::faults

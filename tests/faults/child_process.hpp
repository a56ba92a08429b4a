#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace parsleylead::faults {

/// A process that the tool started. Its output goes to a file. Use it from the thread that started
/// it: the kernel ends the process when that thread ends.
class child_process {
public:
  /// Throws std::runtime_error if the process cannot be started.
  child_process(const std::vector<std::string>& command, const std::string& output_path);
  /// Kills the process if it still runs, and reaps it.
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void send(int signal) const;
  /// SIGKILL, then waits for the end.
  void kill();
  /// Waits for the end; false if the process still runs after the time.
  bool wait(std::chrono::milliseconds limit);
  bool running() { return !wait(std::chrono::milliseconds(0)); }

  /// Empty for exit code 0; for example "exit code 3" or "signal 6". Precondition: it has ended.
  std::string fault() const;

private:
  pid_t id_ = -1;
  std::optional<int> status_;
};

} // namespace parsleylead::faults

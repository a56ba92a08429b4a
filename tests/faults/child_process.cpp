#include "child_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace parsleylead::faults {
namespace {

constexpr std::chrono::milliseconds poll_interval{5};
constexpr int exec_failed = 127;
constexpr unsigned int first_inherited_descriptor = 3;

// Runs between fork and exec, so only async-signal-safe calls are allowed.
[[noreturn]] void exec_child(char* const* arguments, int output) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // Starts a new session: in the tool's session, the kernel would send SIGHUP to a stopped process
  // when the shell that started the tool exits.
  setsid();
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  std::signal(SIGPIPE, SIG_DFL);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  // A child that holds copies of the parent's sockets keeps their connections open after the parent
  // has closed them: an entry then does not see that a caller has disconnected.
  close_range(first_inherited_descriptor, ~0U, CLOSE_RANGE_CLOEXEC);
  execv(arguments[0], arguments);
  _exit(exec_failed);
}

} // namespace

child_process::child_process(const std::vector<std::string>& command,
                             const std::string& output_path) {
  const int output =
      open(output_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
  if (output < 0) {
    throw std::runtime_error("cannot write " + output_path);
  }
  std::vector<std::string> copies = command;
  std::vector<char*> arguments;
  arguments.reserve(copies.size() + 1);
  for (auto& text : copies) {
    arguments.push_back(text.data());
  }
  arguments.push_back(nullptr);
  // The program's start closes the child's copy of the writing end. Until then the child also holds
  // copies of the parent's listening sockets: their ports could not be bound again.
  std::array<int, 2> until_exec{};
  if (pipe2(until_exec.data(), O_CLOEXEC) != 0) {
    close(output);
    throw std::runtime_error("cannot create a pipe");
  }
  id_ = fork();
  if (id_ == 0) {
    exec_child(arguments.data(), output);
  }
  close(output);
  close(until_exec[1]);
  char none = 0;
  while (read(until_exec[0], &none, 1) < 0 && errno == EINTR) {
  }
  close(until_exec[0]);
  if (id_ < 0) {
    throw std::runtime_error("cannot start " + command.front());
  }
}

child_process::~child_process() {
  kill();
}

void child_process::send(int signal) const {
  if (!status_) {
    ::kill(id_, signal);
  }
}

void child_process::kill() {
  if (status_) {
    return;
  }
  send(SIGKILL);
  int status = 0;
  if (waitpid(id_, &status, 0) == id_) {
    status_ = status;
  }
}

bool child_process::wait(std::chrono::milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!status_) {
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) == id_) {
      status_ = status;
      break;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  return true;
}

std::string child_process::fault() const {
  const int status = status_.value_or(0);
  if (WIFSIGNALED(status)) {
    return "signal " + std::to_string(WTERMSIG(status));
  }
  const int code = WEXITSTATUS(status);
  return code == 0 ? "" : "exit code " + std::to_string(code);
}

} // namespace parsleylead::faults

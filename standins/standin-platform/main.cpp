// A stand-in of the users' platform for running parsleylead-platform by hand: the store with one
// configuration, and workers, each of which announces itself to an agent.
//
//   standin-platform --store 127.0.0.1:9100 --configuration routes.json
//       --workers 127.2.0.1:9101/127.2.0.1:9102,127.2.0.2:9101/127.2.0.2:9102

#include <gflags/gflags.h>

#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>

#include "parsleylead/base/error.hpp"
#include "parsleylead/tool/command_line.hpp"
#include "store_service.hpp"
#include "worker_service.hpp"

DEFINE_string(store, "127.0.0.1:9100", "Address of the store, ip:port.");
DEFINE_string(configuration, "",
              "File with the configuration that operators publish in the store.");
DEFINE_string(workers, "", "Pairs of a worker's and its agent's address, separated by commas.");
DEFINE_uint64(seed, 1, "Seed of the workers' random decisions.");

namespace parsleylead::standin {
namespace {

constexpr int exit_usage = 2;

/// Prints the events of the workers.
class printing_observer : public worker_observer {
public:
  void run_started(const std::string& worker, const std::string& task, std::uint64_t run,
                   const std::string& /*payload*/) override {
    std::printf("%s started %s run %llu\n", worker.c_str(), task.c_str(),
                static_cast<unsigned long long>(run));
  }
  void run_ended(const std::string& worker, const std::string& task, std::uint64_t /*run*/,
                 const std::string& outcome) override {
    std::printf("%s ended %s: %s\n", worker.c_str(), task.c_str(), outcome.c_str());
  }
  void completion_acknowledged(const std::string& task, std::uint64_t /*run*/) override {
    std::printf("completion of %s is acknowledged\n", task.c_str());
  }
  void overloaded(const std::string& worker) override {
    std::printf("%s is overloaded\n", worker.c_str());
  }
};

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

int run() {
  const auto store_address = parse_endpoint(FLAGS_store);
  if (!store_address.ok()) {
    std::fprintf(stderr, "standin-platform: --store: %s\n",
                 describe(store_address.status()).c_str());
    return exit_usage;
  }
  asio::io_context io;
  store_service store(io);
  if (const auto status = store.listen(*store_address); !status.ok()) {
    std::fprintf(stderr, "standin-platform: %s\n", describe(status).c_str());
    return exit_usage;
  }
  if (!FLAGS_configuration.empty()) {
    store.put("keyed.op", "config", read_file(FLAGS_configuration));
  }
  printing_observer observer;
  std::vector<std::unique_ptr<worker_service>> workers;
  for (const auto& pair : split_list(FLAGS_workers)) {
    const auto slash = std::min(pair.find('/'), pair.size() - 1);
    const auto address = parse_endpoint(pair.substr(0, slash));
    const auto agent = parse_endpoint(pair.substr(slash + 1));
    if (!address.ok() || !agent.ok()) {
      std::fprintf(stderr, "standin-platform: --workers: not a pair of addresses: %s\n",
                   pair.c_str());
      return exit_usage;
    }
    workers.push_back(
        std::make_unique<worker_service>(io, "worker-" + std::to_string(workers.size()), *address,
                                         *agent, FLAGS_seed + workers.size(), observer));
    if (const auto status = workers.back()->listen(); !status.ok()) {
      std::fprintf(stderr, "standin-platform: %s\n", describe(status).c_str());
      return exit_usage;
    }
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const asio::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}

} // namespace
} // namespace parsleylead::standin

int main(int argc, char** argv) {
  gflags::SetUsageMessage("stands in for the users' platform");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return parsleylead::standin::run();
}

// parsleylead-agent: runs beside one upstream and starts its tasks.
#include <gflags/gflags.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "parsleylead/agent/agent_process.hpp"
#include "parsleylead/base/error.hpp"

DEFINE_string(settings, "", "path of the settings file (JSON with comments)");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

using namespace parsleylead;
using json = nlohmann::json;

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_listen = 3;
constexpr int exit_abandoned_tasks = 4;

endpoint read_endpoint(const json& value, const char* path) {
  const auto parsed = parse_endpoint(value.get<std::string>());
  if (!parsed.ok()) {
    throw std::runtime_error(std::string(path) + ": \"ip:port\" is required");
  }
  return *parsed;
}

template <class Target>
void read_optional(const json& document, const char* name, Target& target) {
  if (const auto position = document.find(name); position != document.end()) {
    target = position->get<Target>();
  }
}

template <class Duration>
void read_duration(const json& document, const char* name, Duration& target) {
  if (const auto position = document.find(name); position != document.end()) {
    target = Duration(position->get<std::uint64_t>());
  }
}

void read_upstream(const json& document, upstream_settings& target) {
  target.announce_address =
      read_endpoint(document.at("announce_address"), "upstream.announce_address");
  read_optional(document, "slots", target.slots);
  read_optional(document, "connections", target.connections);
  read_optional(document, "cores", target.cores);
  read_optional(document, "memory_mb", target.memory_mb);
  read_duration(document, "lease_ms", target.lease);
  read_duration(document, "connect_timeout_ms", target.connect_timeout);
  read_optional(document, "max_answer_bytes", target.max_answer_bytes);
}

// Reads the same members as parse_agent_settings of the settings module, which replaces it.
agent_settings read_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot open " + path);
  }
  const auto document = json::parse(file, nullptr, true, true);
  agent_settings settings;
  settings.name = document.at("name").get<std::string>();
  read_optional(document, "region", settings.region);
  read_optional(document, "availability_zone", settings.availability_zone);
  settings.rpc_address = read_endpoint(document.at("rpc_address"), "rpc_address");
  settings.operations_address =
      read_endpoint(document.at("operations_address"), "operations_address");
  for (const auto& seed : document.at("seeds")) {
    settings.seeds.push_back(read_endpoint(seed, "seeds"));
  }
  read_duration(document, "announce_interval_ms", settings.announce_interval);
  read_duration(document, "max_announce_interval_ms", settings.max_announce_interval);
  read_duration(document, "state_retention_s", settings.state_retention);
  read_duration(document, "drain_limit_ms", settings.drain_limit);
  read_upstream(document.at("upstream"), settings.upstream);
  if (const auto logging = document.find("logging"); logging != document.end()) {
    read_optional(*logging, "level", settings.logging.level);
  }
  return settings;
}

void set_up_logging(const std::string& level) {
  auto logger = spdlog::stderr_logger_mt("parsleylead");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  logger->set_level(spdlog::level::from_str(level));
  spdlog::set_default_logger(logger);
}

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
  agent_process agent(settings);
  if (const auto status = agent.start(); !status.ok()) {
    spdlog::error("agent: {}", describe(status));
    return exit_cannot_listen;
  }
  spdlog::info("agent: {} serves entries at {}, announcements at {}, operations at {}",
               settings.name, to_string(agent.rpc_endpoint()), to_string(agent.announce_endpoint()),
               to_string(agent.operations_endpoint()));
  asio::signal_set signals(agent.io(), SIGTERM, SIGINT);
  wait_for_signal(signals, agent);
  const auto exit = agent.run();
  spdlog::info("agent: stopped");
  return exit == agent_exit::drained ? 0 : exit_abandoned_tasks;
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--settings FILE [--check_settings]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  agent_settings settings;
  try {
    settings = read_settings(FLAGS_settings);
  } catch (const std::exception& error) {
    std::cerr << "agent: bad settings: " << error.what() << '\n';
    return exit_bad_settings;
  }
  if (FLAGS_check_settings) {
    return 0;
  }
  set_up_logging(settings.logging.level);
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return run(settings);
}

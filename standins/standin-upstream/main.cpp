// standin-upstream: an upstream for tests. Runs tasks by sleeping, announces itself to an agent,
// counts every start and injects faults on request.
#include <gflags/gflags.h>
#include <httplib.h>
#include <sys/socket.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "parsleylead/base/endpoint.hpp"
#include "upstream_service.hpp"

DEFINE_string(address, "127.0.0.1:0", "ip:port to listen on; port 0 picks a free one");
DEFINE_string(port_file, "", "file to write the port in use to");
DEFINE_string(announce, "", "ip:port of the agent's announce address; empty for none");
DEFINE_string(name, "upstream", "name of this upstream");
DEFINE_string(kinds, "work", "kinds served, separated by commas");
DEFINE_uint32(slots, 8, "maximum number of concurrent tasks");
DEFINE_uint32(connections, 64, "maximum number of open connections");
DEFINE_double(speed, 1.0, "run times are divided by this");
DEFINE_string(starts_file, "", "file to append a line to for each start; empty for none");
DEFINE_uint32(default_ms, 50, "run time of tasks without sleep_ms");

namespace {

using std::chrono::milliseconds;

constexpr milliseconds announce_interval{1000};
// Time within which calls arrive that the agent started before it answered the DELETE.
constexpr milliseconds settle_time{100};
constexpr std::size_t control_threads = 4;
// Effectively unlimited.
constexpr std::size_t max_requests_per_connection = 1'000'000;

void reuse_address(socket_t socket) {
  const int enabled = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

void serve_tasks(httplib::Server& server, upstream_service& service) {
  server.Post(R"(/v1/tasks/([^/]+))", [&service](const httplib::Request& request,
                                                 httplib::Response& response) {
    const auto reply = service.run({request.matches[1], request.get_header_value("x-submission"),
                                    request.get_header_value("x-task"),
                                    request.get_header_value("x-request-key"), request.body});
    response.status = reply.status;
    if (reply.drop) {
      response.set_content_provider(reply.body.size(), "application/json",
                                    [](std::size_t /*offset*/, std::size_t /*length*/,
                                       httplib::DataSink& /*sink*/) { return false; });
      return;
    }
    response.set_content(reply.body, "application/json");
  });
}

void serve_control(httplib::Server& server, upstream_service& service) {
  server.Get("/control/starts", [&service](const auto& /*request*/, auto& response) {
    response.set_content(service.starts(), "application/json");
  });
  server.Post("/control", [&service](const auto& request, auto& response) {
    response.status = service.control(request.body) ? 200 : 400;
    response.set_content("{}", "application/json");
  });
}

std::string make_announcement(const std::string& address) {
  auto kinds = nlohmann::json::array();
  std::istringstream list(FLAGS_kinds);
  for (std::string kind; std::getline(list, kind, ',');) {
    kinds.push_back(kind);
  }
  return nlohmann::json{{"name", FLAGS_name},
                        {"address", address},
                        {"kinds", kinds},
                        {"slots", FLAGS_slots},
                        {"connections", FLAGS_connections}}
      .dump();
}

// Waits up to `time` for SIGTERM or SIGINT, which are blocked in all threads. Returns whether one
// arrived.
bool stop_requested(const sigset_t& signals, milliseconds time) {
  const timespec limit{time.count() / 1000, (time.count() % 1000) * 1'000'000};
  return sigtimedwait(&signals, nullptr, &limit) > 0;
}

void announce_until_stopped(const sigset_t& signals, const std::string& body,
                            const upstream_service& service) {
  const auto agent = parsleylead::parse_endpoint(FLAGS_announce);
  if (!agent.ok()) {
    while (!stop_requested(signals, announce_interval)) {
    }
    return;
  }
  httplib::Client client(agent->ip, agent->port);
  client.set_connection_timeout(std::chrono::milliseconds(500));
  client.set_read_timeout(std::chrono::milliseconds(2500));
  bool withdrawn = false;
  do {
    if (service.leaving()) {
      if (!withdrawn) {
        withdrawn = static_cast<bool>(client.Delete("/v1/announce"));
      }
      continue;
    }
    const auto result = client.Post("/v1/announce", body, "application/json");
    if (result && result->status != 200) {
      std::cerr << "upstream: announcement refused: " << result->body << '\n';
    }
  } while (!stop_requested(signals, announce_interval));
  if (!withdrawn) {
    client.Delete("/v1/announce");
  }
}

bool write_port_file(int port) {
  if (FLAGS_port_file.empty()) {
    return true;
  }
  const auto temporary = FLAGS_port_file + ".tmp";
  {
    std::ofstream file(temporary);
    file << port << '\n';
    if (!file.flush()) {
      return false;
    }
  }
  return std::rename(temporary.c_str(), FLAGS_port_file.c_str()) == 0;
}

} // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto address = parsleylead::parse_endpoint(FLAGS_address);
  const bool bad_agent =
      !FLAGS_announce.empty() && !parsleylead::parse_endpoint(FLAGS_announce).ok();
  if (!address.ok() || bad_agent || FLAGS_speed <= 0) {
    std::cerr << "upstream: --address and --announce must be ip:port, --speed positive\n";
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  upstream_service service(FLAGS_name, FLAGS_speed, milliseconds(FLAGS_default_ms));
  if (!FLAGS_starts_file.empty() && !service.record_starts(FLAGS_starts_file)) {
    std::cerr << "upstream: cannot write " << FLAGS_starts_file << '\n';
    return 3;
  }
  httplib::Server server;
  // Each running task and each idle connection occupies a thread.
  server.new_task_queue = [] {
    return new httplib::ThreadPool(FLAGS_slots + FLAGS_connections + control_threads);
  };
  server.set_socket_options(reuse_address);
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(max_requests_per_connection);
  serve_tasks(server, service);
  serve_control(server, service);
  const int port = address->port == 0 ? server.bind_to_any_port(address->ip) : address->port;
  if (port <= 0 || (address->port != 0 && !server.bind_to_port(address->ip, port))) {
    std::cerr << "upstream: cannot listen on " << FLAGS_address << '\n';
    return 3;
  }
  std::thread listener([&server] { server.listen_after_bind(); });
  const parsleylead::endpoint local{address->ip, static_cast<std::uint16_t>(port)};
  if (!write_port_file(port)) {
    std::cerr << "upstream: cannot write " << FLAGS_port_file << '\n';
    return 3;
  }
  std::cerr << "upstream: " << FLAGS_name << " serves at " << to_string(local) << '\n';

  announce_until_stopped(signals, make_announcement(to_string(local)), service);
  std::this_thread::sleep_for(settle_time);
  service.wait_idle();
  // Waits until the responses of the last tasks are written. The listener is not joined, because
  // idle connections still occupy threads of the pool.
  std::this_thread::sleep_for(settle_time);
  std::quick_exit(0);
}

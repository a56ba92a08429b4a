// standin-relay: a TCP relay that injects faults for tests.
//   standin-relay --listen ip:port --target ip:port
// POST /control with {"action": "silence_open"|"silence_all"|"cut_open"|"reset_open"|
// "refuse_all"|"refuse_connections"|"heal"} and {"delay_ms": n} and {"target": "ip:port"} (for new
// connections); GET /control/stats.

#include <gflags/gflags.h>
#include <httplib.h>

#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <cstdio>
#include <fstream>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "relay.hpp"

DEFINE_string(listen, "127.0.0.1:0", "Address to listen on, ip:port.");
DEFINE_string(target, "", "Address to connect to, ip:port.");
DEFINE_string(control, "127.0.0.1:0", "Address of the HTTP control interface, ip:port.");
DEFINE_string(port_file, "", "File to write the two ports in use to: relay and control.");

namespace parsleylead::standin {
namespace {

using nlohmann::json;

// Runs `action` on the relay's thread, blocks until it has ended and returns its result.
template <class Action>
auto run_on(asio::io_context& io, Action action) {
  std::packaged_task<decltype(action())()> task(std::move(action));
  auto result = task.get_future();
  asio::post(io, [&task] { task(); });
  return result.get();
}

bool apply(relay& proxy, const json& command) {
  static const std::map<std::string, void (relay::*)()> actions = {
      {"silence_open", &relay::silence_open},
      {"silence_all", &relay::silence_all},
      {"cut_open", &relay::cut_open},
      {"reset_open", &relay::reset_open},
      {"refuse_all", &relay::refuse_all},
      {"refuse_connections", &relay::refuse_connections},
      {"heal", &relay::heal},
  };
  if (command.contains("delay_ms")) {
    proxy.set_delay(std::chrono::milliseconds(command["delay_ms"].get<int>()));
  }
  if (command.contains("target")) {
    const auto target = parse_endpoint(command["target"].get<std::string>());
    if (!target.ok()) {
      return false;
    }
    proxy.set_target(*target);
  }
  if (!command.contains("action")) {
    return true;
  }
  const auto found = actions.find(command["action"].get<std::string>());
  if (found == actions.end()) {
    return false;
  }
  (proxy.*found->second)();
  return true;
}

void serve_control(httplib::Server& server, asio::io_context& io, relay& proxy) {
  server.Post("/control", [&](const httplib::Request& request, httplib::Response& response) {
    const auto command = json::parse(request.body, nullptr, false);
    const bool accepted = command.is_object() && run_on(io, [&] { return apply(proxy, command); });
    response.status = accepted ? 200 : 400;
  });
  server.Get("/control/stats", [&](const httplib::Request&, httplib::Response& response) {
    const auto stats = run_on(io, [&] { return proxy.stats(); });
    const json body = {{"accepted", stats.accepted},
                       {"open", stats.open},
                       {"silenced", stats.silenced},
                       {"bytes_forwarded", stats.bytes_forwarded},
                       {"bytes_swallowed", stats.bytes_swallowed}};
    response.set_content(body.dump(), "application/json");
  });
}

int run() {
  const auto listen = parse_endpoint(FLAGS_listen);
  const auto target = parse_endpoint(FLAGS_target);
  const auto control = parse_endpoint(FLAGS_control);
  if (!listen.ok() || !target.ok() || !control.ok()) {
    std::fputs("standin-relay: --listen, --target and --control need ip:port\n", stderr);
    return 2;
  }
  asio::io_context io;
  relay proxy(io, *listen, *target);
  httplib::Server server;
  serve_control(server, io, proxy);
  const int control_port = control->port == 0 ? server.bind_to_any_port(control->ip)
                           : server.bind_to_port(control->ip, control->port) ? control->port
                                                                             : -1;
  if (control_port < 0) {
    std::fputs("standin-relay: cannot listen on the control address\n", stderr);
    return 3;
  }
  std::thread control_thread([&] { server.listen_after_bind(); });
  if (!FLAGS_port_file.empty()) {
    std::ofstream(FLAGS_port_file) << proxy.local_endpoint().port << ' ' << control_port << '\n';
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code&, int) { io.stop(); });
  io.run();
  server.stop();
  // A control request may still be waiting for this thread.
  io.restart();
  io.run_for(std::chrono::milliseconds(100));
  control_thread.join();
  return 0;
}

} // namespace
} // namespace parsleylead::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return parsleylead::standin::run();
}

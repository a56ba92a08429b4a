// standin-log: a test double of the platform's append-only log that injects faults on request.

#include <gflags/gflags.h>
#include <httplib.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <limits>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/platform_log/memory_log_service.hpp"

DEFINE_string(address, "127.0.0.1:0", "IP address and port to listen on; port 0 picks a free one");
DEFINE_string(port_file, "", "file to write the port in use to");
DEFINE_uint64(retention_seconds, 0, "drop records older than this; 0 keeps them");
DEFINE_uint64(retention_records, 0, "drop records beyond this number in a stream; 0 keeps them");
DEFINE_uint64(max_appends_per_second, 0,
              "refuse appends beyond this rate with 429; 0 for no limit");

namespace parsleylead {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

// Each connection occupies a thread, even while it is idle.
constexpr std::size_t server_threads = 192;
// Further reads return without waiting, so that threads remain for appends.
constexpr int max_long_polls = 96;
constexpr int listen_backlog = 1024;
constexpr milliseconds max_poll_wait{30'000};
constexpr std::size_t max_read_records = 10'000;

/// Limits the appends in each window of one second. Thread-safe.
class append_rate_limiter {
public:
  explicit append_rate_limiter(std::uint64_t per_second) : per_second_(per_second) {}

  bool admit() {
    if (per_second_ == 0) {
      return true;
    }
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    if (now - window_start_ >= std::chrono::seconds(1)) {
      window_start_ = now;
      appends_in_window_ = 0;
    }
    return ++appends_in_window_ <= per_second_;
  }

private:
  std::uint64_t per_second_;
  std::mutex mutex_;
  std::chrono::steady_clock::time_point window_start_{};
  std::uint64_t appends_in_window_ = 0;
};

std::optional<std::uint64_t> number_parameter(const httplib::Request& request, const char* name,
                                              std::uint64_t fallback) {
  if (!request.has_param(name)) {
    return fallback;
  }
  const std::string text = request.get_param_value(name);
  constexpr std::size_t max_digits = 18;
  const bool is_number = !text.empty() && text.size() <= max_digits &&
                         text.find_first_not_of("0123456789") == std::string::npos;
  return is_number ? std::optional<std::uint64_t>(std::stoull(text)) : std::nullopt;
}

void respond(httplib::Response& response, int status, const json& body) {
  response.status = status;
  response.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace),
                       "application/json");
}

// Sets a content length but sends no body, which makes the server close the connection.
void drop_connection(httplib::Response& response) {
  response.set_content_provider(1, "application/json",
                                [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

json to_json(const log_read_result& read) {
  json records = json::array();
  for (const log_record& record : read.records) {
    records.push_back({{"offset", record.offset},
                       {"time_ms", record.append_time.time_since_epoch().count()},
                       {"payload", record.payload}});
  }
  return {{"earliest", read.earliest}, {"next", read.next}, {"records", std::move(records)}};
}

/// Serves a `memory_log_service` over HTTP.
class log_server {
public:
  log_server(memory_log_service& log, std::uint64_t max_appends_per_second)
      : log_(log), rate_limiter_(max_appends_per_second) {
    server_.new_task_queue = [] { return new httplib::ThreadPool(server_threads); };
    server_.set_tcp_nodelay(true);
    // stop() waits for idle connections to time out.
    server_.set_keep_alive_timeout(1);
    server_.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    constexpr const char* records = "/v1/streams/([A-Za-z0-9._-]+)/records";
    server_.Post(records, [this](const httplib::Request& request, httplib::Response& response) {
      append(request, response);
    });
    server_.Get(records, [this](const httplib::Request& request, httplib::Response& response) {
      read(request, response);
    });
    server_.Post("/control", [this](const httplib::Request& request, httplib::Response& response) {
      control(request, response);
    });
    server_.Get("/control/stats", [this](const httplib::Request&, httplib::Response& response) {
      const auto counters = log_.statistics();
      respond(response, 200,
              {{"appends", counters.appends},
               {"reads", counters.reads},
               {"refused", counters.refused},
               {"rate_limited", rate_limited_.load()}});
    });
  }

  /// Returns the port, or nullopt if the server cannot listen on the address.
  std::optional<int> bind(const endpoint& address) {
    int listener = -1;
    server_.set_socket_options([&listener](socket_t socket) {
      listener = socket;
      const int enabled = 1;
      setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
    int port = address.port;
    if (port == 0) {
      port = server_.bind_to_any_port(address.ip);
    } else if (!server_.bind_to_port(address.ip, port)) {
      port = -1;
    }
    // cpp-httplib 0.11 uses a backlog of 5, which overflows in a burst of connections.
    if (port <= 0 || ::listen(listener, listen_backlog) != 0) {
      return std::nullopt;
    }
    return port;
  }

  void serve() { server_.listen_after_bind(); }

  /// Ends `serve`. Precondition: another thread has called `serve`.
  void stop() {
    log_.close();
    // The server ignores stop() until it listens.
    while (!server_.is_running()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    server_.stop();
  }

private:
  void append(const httplib::Request& request, httplib::Response& response) {
    if (!rate_limiter_.admit()) {
      ++rate_limited_;
      return respond(response, 429, {{"error", "too many appends"}});
    }
    const auto offset = log_.append(std::string(request.matches[1]), request.body);
    if (offset.ok()) {
      return respond(response, 200, {{"offset", *offset}});
    }
    if (offset.status().code() == absl::StatusCode::kDeadlineExceeded) {
      return drop_connection(response);
    }
    respond(response, 503, {{"error", std::string(offset.status().message())}});
  }

  void read(const httplib::Request& request, httplib::Response& response) {
    const auto from = number_parameter(request, "from", 1);
    const auto max = number_parameter(request, "max", max_read_records);
    const auto wait = number_parameter(request, "wait_ms", 0);
    if (!from || !max || !wait) {
      return respond(response, 400, {{"error", "from, max and wait_ms are whole numbers"}});
    }
    const bool may_wait = ++long_polls_ <= max_long_polls;
    const auto wait_time =
        may_wait ? std::min(milliseconds(*wait), max_poll_wait) : milliseconds(0);
    const auto result = log_.read(std::string(request.matches[1]), *from,
                                  std::min<std::uint64_t>(*max, max_read_records), wait_time);
    --long_polls_;
    if (!result.ok()) {
      return respond(response, 503, {{"error", std::string(result.status().message())}});
    }
    respond(response, 200, to_json(*result));
  }

  void control(const httplib::Request& request, httplib::Response& response) {
    const json command = json::parse(request.body, nullptr, false);
    const std::string error = check_command(command);
    if (!error.empty()) {
      return respond(response, 400, {{"error", error}});
    }
    if (command.contains("delay_ms")) {
      log_.set_delay(milliseconds(command["delay_ms"].get<std::int64_t>()));
    }
    if (command.contains("lose_replies")) {
      log_.lose_replies(command["lose_replies"].get<std::uint64_t>());
    }
    if (command.contains("forget_below")) {
      for (const auto& [stream, offset] : command["forget_below"].items()) {
        log_.forget_below(stream, offset.get<std::uint64_t>());
      }
    }
    if (command.contains("down")) {
      log_.set_down(command["down"].get<bool>());
    }
    respond(response, 200, json::object());
  }

  // Returns an error message, or an empty string. A command is checked as a whole before any part
  // of it takes effect.
  static std::string check_command(const json& command) {
    if (!command.is_object()) {
      return "a JSON object is expected";
    }
    for (const auto& [name, value] : command.items()) {
      if (name == "down" && value.is_boolean()) {
        continue;
      }
      if ((name == "delay_ms" || name == "lose_replies") && value.is_number_unsigned()) {
        continue;
      }
      if (name == "forget_below" && value.is_object() &&
          std::all_of(value.begin(), value.end(),
                      [](const json& offset) { return offset.is_number_unsigned(); })) {
        continue;
      }
      return "unknown or malformed member: " + name;
    }
    return {};
  }

  memory_log_service& log_;
  append_rate_limiter rate_limiter_;
  httplib::Server server_;
  std::atomic<int> long_polls_{0};
  std::atomic<std::uint64_t> rate_limited_{0};
};

void block_stop_signals(sigset_t& signals) {
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Renames a complete file into place, so that a reader never sees a partial number.
bool write_port_file(const std::string& path, int port) {
  const std::string temporary_path = path + ".partial";
  {
    std::ofstream file(temporary_path);
    file << port << '\n';
    if (!file.flush()) {
      return false;
    }
  }
  return std::rename(temporary_path.c_str(), path.c_str()) == 0;
}

int serve_log() {
  const auto address = parse_endpoint(FLAGS_address);
  if (!address.ok()) {
    std::cerr << "log: " << address.status().message() << '\n';
    return 2;
  }
  sigset_t signals{};
  block_stop_signals(signals);
  memory_log_service log;
  log.set_retention(std::chrono::seconds(FLAGS_retention_seconds), FLAGS_retention_records);
  log_server server(log, FLAGS_max_appends_per_second);
  const auto port = server.bind(*address);
  if (!port) {
    std::cerr << "log: cannot listen on " << FLAGS_address << ".\n";
    return 1;
  }
  if (!FLAGS_port_file.empty() && !write_port_file(FLAGS_port_file, *port)) {
    std::cerr << "log: cannot write " << FLAGS_port_file << ".\n";
    return 1;
  }
  std::cerr << "log: listening on " << address->ip << ':' << *port << ".\n";
  std::thread server_thread([&server] { server.serve(); });
  int received = 0;
  sigwait(&signals, &received);
  server.stop();
  server_thread.join();
  std::cerr << "log: stopped.\n";
  return 0;
}

} // namespace
} // namespace parsleylead

int main(int argc, char** argv) {
  gflags::SetUsageMessage("A stand-in for the platform's append-only log.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return parsleylead::serve_log();
}

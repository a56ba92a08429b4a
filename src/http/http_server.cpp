#include "parsleylead/http/http_server.hpp"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <limits>
#include <thread>

#include "elastic_thread_pool.hpp"
#include "parsleylead/base/error.hpp"

namespace parsleylead {
namespace {

http_request to_request(const httplib::Request& source) {
  http_request request;
  request.method = source.method;
  request.path = source.path;
  request.body = source.body;
  request.peer =
      to_string(endpoint{source.remote_addr, static_cast<std::uint16_t>(source.remote_port)});
  for (std::size_t i = 1; i < source.matches.size(); ++i) {
    request.captures.push_back(source.matches[i].str());
  }
  request.query.insert(source.params.begin(), source.params.end());
  request.traceparent = source.get_header_value("traceparent");
  return request;
}

// cpp-httplib listens with a backlog of 5; further connections of a burst are refused or delayed.
constexpr int listen_backlog = 1024;

// The default of cpp-httplib is SO_REUSEPORT, which lets a second process share a port unnoticed.
void set_reuse_address(socket_t socket) {
  const int enabled = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

} // namespace

class http_server::state {
public:
  httplib::Server server;
  std::thread listener;
  socket_t listening_socket = INVALID_SOCKET;
  std::atomic<bool> closing{false};
  std::atomic<bool> started{false};
};

http_server::http_server(const http_server_options& options) : state_(std::make_unique<state>()) {
  auto& server = state_->server;
  server.new_task_queue = [threads = options.max_threads] {
    return new elastic_thread_pool(threads);
  };
  server.set_payload_max_length(options.max_body_bytes);
  const auto keep_alive = std::chrono::ceil<std::chrono::seconds>(options.keep_alive);
  server.set_keep_alive_timeout(keep_alive.count());
  server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
  server.set_tcp_nodelay(true);
  server.set_socket_options([this](socket_t socket) {
    set_reuse_address(socket);
    state_->listening_socket = socket;
  });
  server.set_error_handler([](const httplib::Request&, httplib::Response& response) {
    if (!response.body.empty()) {
      return;
    }
    const bool too_large = response.status == 413;
    const std::string detail = too_large ? "body too large" : "no such resource or method";
    response.set_content(R"({"state":"refused","run":"not_run","reason":"malformed_request",)"
                         R"("step":"receive","detail":")" +
                             detail + "\"}",
                         "application/json");
  });
}

http_server::~http_server() {
  stop();
}

void http_server::route(const std::string& method, const std::string& pattern, handler handle) {
  auto adapter = [this, handle = std::move(handle)](const httplib::Request& source,
                                                    httplib::Response& target) {
    const auto response = handle(to_request(source));
    target.status = response.status;
    target.set_content(response.body, response.content_type);
    for (const auto& [name, value] : response.headers) {
      target.set_header(name, value);
    }
    if (state_->closing.load()) {
      target.set_header("Connection", "close");
    }
  };
  auto& server = state_->server;
  if (method == "GET") {
    server.Get(pattern, adapter);
  } else if (method == "POST") {
    server.Post(pattern, adapter);
  } else if (method == "DELETE") {
    server.Delete(pattern, adapter);
  }
}

absl::Status http_server::start(const endpoint& address) {
  auto& server = state_->server;
  local_ = address;
  bool bound = false;
  if (address.port == 0) {
    const int port = server.bind_to_any_port(address.ip);
    bound = port > 0;
    local_.port = static_cast<std::uint16_t>(std::max(port, 0));
  } else {
    bound = server.bind_to_port(address.ip, address.port);
  }
  if (!bound || ::listen(state_->listening_socket, listen_backlog) != 0) {
    return make_error(absl::StatusCode::kUnavailable, step::connect, to_string(address),
                      "cannot listen; the port may be in use");
  }
  state_->listener = std::thread([this] { state_->server.listen_after_bind(); });
  state_->started = true;
  return absl::OkStatus();
}

void http_server::set_closing(bool closing) {
  state_->closing = closing;
}

void http_server::stop() {
  if (!state_->started.exchange(false)) {
    return;
  }
  // httplib's stop() has no effect until the listener thread runs its loop.
  while (!state_->server.is_running()) {
    std::this_thread::yield();
  }
  state_->server.stop();
  state_->listener.join();
}

} // namespace parsleylead

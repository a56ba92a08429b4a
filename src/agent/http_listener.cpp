#include "http_listener.hpp"

#include <httplib.h>
#include <sys/socket.h>

#include <thread>
#include <utility>

#include "parsleylead/base/error.hpp"

namespace parsleylead {
namespace {

constexpr time_t read_timeout_s = 2;
constexpr std::chrono::milliseconds start_poll{1};

// The library's default also sets SO_REUSEPORT, which hides that a port is in use.
void reuse_address(socket_t socket) {
  const int yes = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

} // namespace

class http_listener::impl {
public:
  impl(std::size_t threads, std::size_t max_body_bytes, handler handle)
      : handle_(std::move(handle)) {
    server_.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server_.set_socket_options(reuse_address);
    server_.set_payload_max_length(max_body_bytes);
    server_.set_read_timeout(read_timeout_s);
    // An idle connection would hold a thread of the pool.
    server_.set_keep_alive_max_count(1);
    server_.set_tcp_nodelay(true);
    server_.set_pre_routing_handler(
        [this](const auto& request, auto& response) { return before_body(request, response); });
    const auto route = [this](const httplib::Request& request, httplib::Response& response) {
      if (request.method == "POST" &&
          request.get_header_value("Content-Length") != std::to_string(request.body.size())) {
        response.status = 400;
        response.set_content(R"({"error":"incomplete body"})", "application/json");
        return;
      }
      answer(request, response);
    };
    server_.Get(".*", route);
    server_.Post(".*", route);
  }

  ~impl() { stop(); }

  absl::Status listen(const endpoint& address) {
    int port = address.port;
    bool bound = false;
    if (port == 0) {
      port = server_.bind_to_any_port(address.ip);
      bound = port > 0;
    } else {
      bound = server_.bind_to_port(address.ip, port);
    }
    if (!bound) {
      return make_error(absl::StatusCode::kUnavailable, step::connect, to_string(address),
                        "cannot listen: the address is in use or not available");
    }
    local_ = {address.ip, static_cast<std::uint16_t>(port)};
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    // The library ignores a stop that comes before the server runs.
    while (!server_.is_running()) {
      std::this_thread::sleep_for(start_poll);
    }
    return absl::OkStatus();
  }

  endpoint local() const { return local_; }

  void stop() {
    if (thread_.joinable()) {
      server_.stop();
      thread_.join();
    }
  }

private:
  // Runs before the body is read. The library would wait for the end of the connection if no length
  // is given.
  httplib::Server::HandlerResponse before_body(const httplib::Request& request,
                                               httplib::Response& response) {
    const bool has_length = request.has_header("Content-Length");
    if (request.method == "DELETE") {
      answer(request, response);
      return httplib::Server::HandlerResponse::Handled;
    }
    if (request.method == "POST" && !has_length) {
      response.status = 411;
      response.set_content(R"({"error":"a Content-Length is required"})", "application/json");
      return httplib::Server::HandlerResponse::Handled;
    }
    return httplib::Server::HandlerResponse::Unhandled;
  }

  void answer(const httplib::Request& request, httplib::Response& response) {
    const auto reply = handle_({request.method, request.path, request.body});
    response.status = reply.status;
    response.set_content(reply.body, reply.content_type);
  }

  handler handle_;
  httplib::Server server_;
  endpoint local_;
  std::thread thread_;
};

http_listener::http_listener(std::size_t threads, std::size_t max_body_bytes, handler handle)
    : impl_(std::make_unique<impl>(threads, max_body_bytes, std::move(handle))) {}

http_listener::~http_listener() = default;

absl::Status http_listener::listen(const endpoint& address) {
  return impl_->listen(address);
}

endpoint http_listener::local_endpoint() const {
  return impl_->local();
}

void http_listener::stop() {
  impl_->stop();
}

} // namespace parsleylead

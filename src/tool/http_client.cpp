#include "parsleylead/tool/http_client.hpp"

#include <httplib.h>

#include "parsleylead/base/error.hpp"

namespace parsleylead {

class http_client::state {
public:
  state(const endpoint& server, http_timeouts timeouts)
      : client(server.ip, server.port), peer(to_string(server)) {
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(timeouts.connect);
    client.set_read_timeout(timeouts.read);
    client.set_write_timeout(timeouts.read);
  }

  httplib::Client client;
  std::string peer;
};

http_client::http_client(const endpoint& server, http_timeouts timeouts)
    : state_(std::make_unique<state>(server, timeouts)) {}
http_client::~http_client() = default;
http_client::http_client(http_client&&) noexcept = default;
http_client& http_client::operator=(http_client&&) noexcept = default;

absl::StatusOr<http_response> http_client::send(const http_request& request) {
  httplib::Request message;
  message.method = request.method;
  message.path = request.path;
  message.body = request.body;
  for (const auto& [name, value] : request.headers) {
    message.headers.emplace(name, value);
  }
  if (!request.body.empty()) {
    message.headers.emplace("Content-Type", "application/json");
  }
  const auto result = state_->client.send(message);
  if (result) {
    return http_response{result->status, result->body};
  }
  const auto text = httplib::to_string(result.error());
  const bool not_sent = result.error() == httplib::Error::Connection ||
                        result.error() == httplib::Error::ConnectionTimeout;
  if (not_sent) {
    return make_error(absl::StatusCode::kUnavailable, step::connect, state_->peer, text);
  }
  return make_error(absl::StatusCode::kAborted, step::answer, state_->peer, "no reply: " + text);
}

} // namespace parsleylead

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
  httplib::Request http_message;
  http_message.method = request.method;
  http_message.path = request.path;
  http_message.body = request.body;
  for (const auto& [name, value] : request.headers) {
    http_message.headers.emplace(name, value);
  }
  if (!request.body.empty()) {
    http_message.headers.emplace("Content-Type", "application/json");
  }
  const auto result = state_->client.send(http_message);
  if (result) {
    return http_response{result->status, result->body};
  }
  const auto error_text = httplib::to_string(result.error());
  const bool not_sent = result.error() == httplib::Error::Connection ||
                        result.error() == httplib::Error::ConnectionTimeout;
  if (not_sent) {
    return make_error(absl::StatusCode::kUnavailable, step::connect, state_->peer, error_text);
  }
  return make_error(absl::StatusCode::kAborted, step::answer, state_->peer,
                    "no reply: " + error_text);
}

} // namespace parsleylead

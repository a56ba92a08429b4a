#include <doctest/doctest.h>
#include <httplib.h>

#include <vector>

#include "parsleylead/base/error.hpp"
#include "parsleylead/http/http_server.hpp"

namespace parsleylead {
namespace {

http_response echo(const http_request& request) {
  return {200, request.body, "text/plain", {}};
}

TEST_CASE("listening at a port in use fails with the address as peer") {
  // Guards against two processes that share a port without an error.
  http_server first({});
  REQUIRE(first.start({"127.0.0.1", 0}).ok());
  http_server second({});
  const auto status = second.start(first.local_endpoint());
  CHECK_FALSE(status.ok());
  CHECK(error_peer(status) == to_string(first.local_endpoint()));
}

TEST_CASE("idle connections do not block new requests") {
  // Guards against persistent connections that occupy all threads of the pool; a fixed pool usually
  // has fewer than 100 threads.
  http_server server(
      {.max_threads = 200, .max_body_bytes = 1024, .keep_alive = std::chrono::seconds(5)});
  server.route("POST", "/echo", echo);
  REQUIRE(server.start({"127.0.0.1", 0}).ok());
  std::vector<std::unique_ptr<httplib::Client>> clients;
  for (int i = 0; i < 100; ++i) {
    auto client = std::make_unique<httplib::Client>("127.0.0.1", server.local_endpoint().port);
    client->set_keep_alive(true);
    const auto answer = client->Post("/echo", "hello", "text/plain");
    REQUIRE(answer);
    CHECK(answer->body == "hello");
    clients.push_back(std::move(client));
  }
}

TEST_CASE("oversized bodies and unknown paths get a JSON error response") {
  http_server server(
      {.max_threads = 4, .max_body_bytes = 10, .keep_alive = std::chrono::seconds(1)});
  server.route("POST", "/echo", echo);
  REQUIRE(server.start({"127.0.0.1", 0}).ok());
  httplib::Client client("127.0.0.1", server.local_endpoint().port);
  const auto large = client.Post("/echo", std::string(1000, 'x'), "text/plain");
  REQUIRE(large);
  CHECK(large->status == 413);
  CHECK(large->body.find("\"not_run\"") != std::string::npos);
  const auto unknown = client.Get("/nothing");
  REQUIRE(unknown);
  CHECK(unknown->status == 404);
}

} // namespace
} // namespace parsleylead

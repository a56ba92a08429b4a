#include <doctest/doctest.h>

#include <array>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <functional>
#include <list>

#include "parsleylead/web/web_client.hpp"
#include "parsleylead/web/web_server.hpp"

namespace parsleylead {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::chrono::seconds test_limit{5};

endpoint free_address(asio::io_context& io) {
  tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", probe.local_endpoint().port()};
}

TEST_CASE("requests on one connection are answered in order") {
  asio::io_context io;
  const auto address = free_address(io);
  web_server server(io, {}, [](const std::shared_ptr<web_exchange>& exchange) {
    exchange->respond(
        {200,
         {},
         exchange->request().method + exchange->request().target + exchange->request().body});
  });
  REQUIRE(server.listen(address).ok());
  web_client client(io, address, 1);
  std::vector<std::string> bodies;
  for (const char* body : {"one", "two", "three"}) {
    client.call({"POST", "/path", {}, body}, milliseconds(2'000),
                [&](absl::StatusOr<web_response> response) {
                  REQUIRE(response.ok());
                  bodies.push_back(response->body);
                  if (bodies.size() == 3) {
                    io.stop();
                  }
                });
  }
  io.run_for(test_limit);
  CHECK(bodies == std::vector<std::string>{"POST/pathone", "POST/pathtwo", "POST/paththree"});
  CHECK(server.connections() == 1);
}

TEST_CASE("a call without a response times out and the client remains usable") {
  asio::io_context io;
  const auto address = free_address(io);
  std::vector<std::shared_ptr<web_exchange>> pending_exchanges;
  web_server server(io, {}, [&](const std::shared_ptr<web_exchange>& exchange) {
    if (exchange->request().target == "/hold") {
      pending_exchanges.push_back(exchange);
    } else {
      exchange->respond({204, {}, ""});
    }
  });
  REQUIRE(server.listen(address).ok());
  web_client client(io, address, 1);
  absl::StatusCode first = absl::StatusCode::kOk;
  int second = 0;
  client.call({"GET", "/hold", {}, ""}, milliseconds(50),
              [&](const absl::StatusOr<web_response>& result) {
                first = result.status().code();
                client.call({"GET", "/", {}, ""}, milliseconds(2'000),
                            [&](absl::StatusOr<web_response> next) {
                              REQUIRE(next.ok());
                              second = next->status;
                              io.stop();
                            });
              });
  io.run_for(test_limit);
  CHECK(first == absl::StatusCode::kDeadlineExceeded);
  CHECK(second == 204);
}

TEST_CASE("a refused connection is reported as a request that was not sent") {
  // Guards against confusing a request that was not sent with one that may have been processed.
  asio::io_context io;
  const auto address = free_address(io);
  web_client client(io, address, 1);
  absl::StatusCode code = absl::StatusCode::kOk;
  client.call({"GET", "/", {}, ""}, milliseconds(2'000),
              [&](const absl::StatusOr<web_response>& result) {
                code = result.status().code();
                io.stop();
              });
  io.run_for(test_limit);
  CHECK(code == absl::StatusCode::kUnavailable);
}

/// Accepts connections and calls `on_accept` with each.
class raw_server {
public:
  raw_server(asio::io_context& io, std::function<void(tcp::socket&)> on_accept)
      : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}), on_accept_(std::move(on_accept)) {
    accept();
  }

  endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

private:
  void accept() {
    acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
      if (!error) {
        sockets_.push_back(std::move(socket));
        on_accept_(sockets_.back());
        accept();
      }
    });
  }

  tcp::acceptor acceptor_;
  std::function<void(tcp::socket&)> on_accept_;
  std::list<tcp::socket> sockets_;
};

absl::StatusCode code_of_call(asio::io_context& io, const endpoint& server, std::string body) {
  web_client client(io, server, 1);
  absl::StatusCode code = absl::StatusCode::kOk;
  client.call({"POST", "/", {}, std::move(body)}, milliseconds(2'000),
              [&](const absl::StatusOr<web_response>& result) {
                code = result.status().code();
                io.stop();
              });
  io.run_for(test_limit);
  return code;
}

TEST_CASE(
    "a connection that ends after the request was written is told from one that ends before") {
  // Guards against a search for lost requests that counts those that were never sent whole.
  asio::io_context io;
  std::array<char, 16> first_bytes{};
  raw_server server(io, [&](tcp::socket& socket) {
    socket.async_read_some(asio::buffer(first_bytes),
                           [&socket](const asio::error_code&, std::size_t) { socket.close(); });
  });
  CHECK(code_of_call(io, server.address(), "short") == absl::StatusCode::kUnknown);
  io.restart();
  // More than the buffers of both sockets hold.
  const std::string long_body(std::size_t{64} * 1'024 * 1'024, 'x');
  CHECK(code_of_call(io, server.address(), long_body) == absl::StatusCode::kAborted);
}

TEST_CASE("a connection that the server has closed is not used again") {
  // Guards against calls that fail because the loop has not reported yet that the server closed the
  // idle connection.
  asio::io_context io;
  int connections = 0;
  std::string received(4'096, '\0');
  tcp::socket* first_socket = nullptr;
  const std::string response = "HTTP/1.1 204 No Content\r\n\r\n";
  raw_server server(io, [&](tcp::socket& socket) {
    first_socket = ++connections == 1 ? &socket : first_socket;
    socket.async_read_some(asio::buffer(received), [&](const asio::error_code&, std::size_t) {
      asio::write(socket, asio::buffer(response));
    });
  });
  web_client client(io, server.address(), 1);
  int answered = 0;
  const auto call = [&](const std::function<void()>& done) {
    client.call({"GET", "/", {}, ""}, milliseconds(2'000),
                [&answered, done](const absl::StatusOr<web_response>& result) {
                  answered += result.ok() && result->status == 204 ? 1 : 0;
                  done();
                });
  };
  call([&] {
    asio::post(io, [&] {
      first_socket->close();
      call([&] { io.stop(); });
    });
  });
  io.run_for(test_limit);
  CHECK(answered == 2);
  CHECK(connections == 2);
}

std::string send_raw(asio::io_context& io, const endpoint& address, const std::string& bytes) {
  tcp::socket socket(io);
  socket.connect({asio::ip::make_address(address.ip), address.port});
  asio::write(socket, asio::buffer(bytes));
  std::string received(4'096, '\0');
  std::size_t count = 0;
  socket.async_read_some(asio::buffer(received),
                         [&](const asio::error_code&, std::size_t bytes_read) {
                           count = bytes_read;
                           io.stop();
                         });
  io.run_for(test_limit);
  io.restart();
  received.resize(count);
  return received;
}

TEST_CASE("malformed requests get status 400, oversized ones 413") {
  asio::io_context io;
  const auto address = free_address(io);
  web_server server(io, {1'024, 2'048, 10}, [](const std::shared_ptr<web_exchange>& exchange) {
    exchange->respond({200, {}, ""});
  });
  REQUIRE(server.listen(address).ok());
  CHECK(send_raw(io, address, "NONSENSE\r\n\r\n").find("400") != std::string::npos);
  CHECK(send_raw(io, address,
                 "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4000\r\n\r\n" +
                     std::string(4'000, 'x'))
            .find("413") != std::string::npos);
  CHECK(send_raw(io, address, "GET / HTTP/1.1\r\nx: " + std::string(3'000, 'y') + "\r\n\r\n")
            .find("413") != std::string::npos);
}

TEST_CASE("a request with very many header fields gets status 431") {
  // Guards against fields that cost far more memory than their bytes.
  asio::io_context io;
  const auto address = free_address(io);
  web_server server(io, {}, [](const std::shared_ptr<web_exchange>& exchange) {
    exchange->respond({200, {}, ""});
  });
  REQUIRE(server.listen(address).ok());
  const auto request_with = [](int fields) {
    std::string text = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < fields; ++i) {
      text += "a:\r\n";
    }
    return text + "\r\n";
  };
  CHECK(send_raw(io, address, request_with(100)).find("200") != std::string::npos);
  CHECK(send_raw(io, address, request_with(101)).find("431") != std::string::npos);
}

TEST_CASE("an incomplete request is shed, and one whose job was accepted is answered") {
  asio::io_context io;
  const auto address = free_address(io);
  std::shared_ptr<web_exchange> accepted;
  web_server server(
      io, {},
      [&](const std::shared_ptr<web_exchange>& exchange) {
        accepted = exchange;
        exchange->accept(100'000);
        CHECK(exchange->request().body.empty());
        io.stop();
      },
      std::make_shared<memory_budget>(50'000));
  REQUIRE(server.listen(address).ok());
  tcp::socket caller(io);
  caller.connect({asio::ip::make_address(address.ip), address.port});
  asio::write(caller, asio::buffer(std::string("POST / HTTP/1.1\r\nhost: a\r\n"
                                               "content-length: 4\r\n\r\nbody")));
  io.run_for(test_limit);
  io.restart();
  REQUIRE(accepted);
  const auto refused =
      send_raw(io, address, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nb");
  CHECK(refused.find("503") != std::string::npos);
  CHECK(refused.find("retry-after: 1") != std::string::npos);
  accepted->respond({200, {}, "ran"});
  std::string received(1'024, '\0');
  caller.async_read_some(asio::buffer(received),
                         [&](const asio::error_code&, std::size_t) { io.stop(); });
  io.run_for(test_limit);
  CHECK(received.find("ran") != std::string::npos);
}

TEST_CASE("a client that disconnects before the response is reported") {
  // Guards against work for disconnected clients.
  asio::io_context io;
  const auto address = free_address(io);
  bool abandoned = false;
  std::shared_ptr<web_exchange> pending_exchange;
  auto socket = std::make_unique<tcp::socket>(io);
  web_server server(io, {}, [&](const std::shared_ptr<web_exchange>& exchange) {
    pending_exchange = exchange;
    exchange->on_abandoned([&] {
      abandoned = true;
      io.stop();
    });
    socket.reset();
  });
  REQUIRE(server.listen(address).ok());
  socket->connect({asio::ip::make_address(address.ip), address.port});
  asio::write(*socket, asio::buffer(std::string("GET / HTTP/1.1\r\nhost: a\r\n\r\n")));
  io.run_for(test_limit);
  CHECK(abandoned);
  pending_exchange->respond({200, {}, ""}); // Must have no effect.
}

TEST_CASE("a closing server still responds, with connection: close") {
  asio::io_context io;
  const auto address = free_address(io);
  std::shared_ptr<web_exchange> pending_exchange;
  web_server server(io, {}, [&](const std::shared_ptr<web_exchange>& exchange) {
    pending_exchange = exchange;
    server.close_after_response();
    pending_exchange->respond({200, {}, "whole"});
  });
  REQUIRE(server.listen(address).ok());
  const auto response = send_raw(io, address, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  CHECK(response.find("connection: close") != std::string::npos);
  CHECK(response.ends_with("whole"));
}

/// A client's end of a connection that stays open between requests.
struct kept_connection {
  kept_connection(asio::io_context& loop, const endpoint& address) : io(loop), socket(loop) {
    socket.connect({asio::ip::make_address(address.ip), address.port});
  }

  /// Sends a request and returns what is received until its response has arrived or the connection
  /// ends.
  std::string call(const std::string& target) {
    send(target);
    return receive();
  }

  void send(const std::string& target) {
    asio::write(socket, asio::buffer("GET " + target + " HTTP/1.1\r\nhost: a\r\n\r\n"));
  }

  std::string receive() {
    std::string received(4'096, '\0');
    bool ended = false;
    std::size_t count = 0;
    socket.async_read_some(asio::buffer(received),
                           [&](const asio::error_code&, std::size_t bytes_read) {
                             count = bytes_read;
                             ended = true;
                           });
    const auto limit = std::chrono::steady_clock::now() + test_limit;
    while (!ended && std::chrono::steady_clock::now() < limit) {
      io.run_one_for(milliseconds(20));
    }
    received.resize(count);
    return received;
  }

  asio::io_context& io;
  tcp::socket socket;
};

TEST_CASE("a closing server answers a request that was sent on an idle connection") {
  // Guards against requests that end without an answer because they arrive as the server closes
  // idle connections.
  asio::io_context io;
  const auto address = free_address(io);
  web_server server(io, {}, [](const std::shared_ptr<web_exchange>& exchange) {
    exchange->respond({200, {}, "whole"});
  });
  REQUIRE(server.listen(address).ok());
  kept_connection client(io, address);
  REQUIRE(client.call("/").ends_with("whole"));
  client.send("/"); // Received by the kernel, but not read yet.
  server.close_after_response();
  server.stop_listening();
  const auto response = client.receive();
  CHECK(response.find("connection: close") != std::string::npos);
  CHECK(response.ends_with("whole"));
}

TEST_CASE("a server that stops listening answers the connections that wait to be accepted") {
  // Guards against resetting connections that clients have opened already.
  asio::io_context io;
  const auto address = free_address(io);
  web_server server(io, {}, [](const std::shared_ptr<web_exchange>& exchange) {
    exchange->respond({200, {}, "whole"});
  });
  REQUIRE(server.listen(address).ok());
  kept_connection first(io, address);
  kept_connection second(io, address);
  first.send("/");
  second.send("/");
  server.stop_listening();
  CHECK(first.receive().ends_with("whole"));
  CHECK(second.receive().ends_with("whole"));
  tcp::socket late(io);
  asio::error_code refused;
  late.connect({asio::ip::make_address(address.ip), address.port}, refused);
  CHECK(refused == asio::error::connection_refused);
}

TEST_CASE("a connection that is being accepted while the server stops listening is answered") {
  // Guards against dropping the connection of an accept whose completion handler has not run yet.
  asio::io_context io;
  const auto address = free_address(io);
  web_server server(io, {}, [](const std::shared_ptr<web_exchange>& exchange) {
    exchange->respond({200, {}, "whole"});
  });
  REQUIRE(server.listen(address).ok());
  kept_connection first(io, address);
  kept_connection second(io, address);
  first.send("/");
  second.send("/");
  while (server.connections() == 0) {
    io.run_one_for(milliseconds(20));
  }
  server.stop_listening();
  CHECK(first.receive().ends_with("whole"));
  CHECK(second.receive().ends_with("whole"));
}

TEST_CASE("a request that has arrived but was not read counts as an open request") {
  // Guards against a process that exits with such a request because its connection looks idle.
  asio::io_context io;
  const auto address = free_address(io);
  web_server server(io, {}, [](const std::shared_ptr<web_exchange>& exchange) {
    exchange->respond({200, {}, "whole"});
  });
  REQUIRE(server.listen(address).ok());
  kept_connection client(io, address);
  REQUIRE(client.call("/").ends_with("whole"));
  CHECK(server.open_requests() == 0);
  client.send("/");
  CHECK(server.open_requests() == 1);
  CHECK(client.receive().ends_with("whole"));
  CHECK(server.open_requests() == 0);
}

TEST_CASE("closing idle connections spares one on which a request has arrived") {
  // Guards against a request that arrives as the process exits.
  asio::io_context io;
  const auto address = free_address(io);
  web_server server(io, {}, [](const std::shared_ptr<web_exchange>& exchange) {
    exchange->respond({200, {}, "whole"});
  });
  REQUIRE(server.listen(address).ok());
  kept_connection used(io, address);
  kept_connection unused(io, address);
  REQUIRE(used.call("/").ends_with("whole"));
  REQUIRE(unused.call("/").ends_with("whole"));
  used.send("/");
  CHECK_FALSE(server.close_idle_connections());
  CHECK(server.connections() == 1);
  CHECK(used.receive().ends_with("whole"));
  CHECK(unused.receive().empty());
  CHECK(server.close_idle_connections());
}

TEST_CASE("rejected requests get the response, and the work that they caused ends") {
  asio::io_context io;
  const auto address = free_address(io);
  std::vector<std::shared_ptr<web_exchange>> pending_exchanges;
  int abandoned = 0;
  web_server server(io, {}, [&](const std::shared_ptr<web_exchange>& exchange) {
    exchange->on_abandoned([&] { ++abandoned; });
    pending_exchanges.push_back(exchange);
  });
  REQUIRE(server.listen(address).ok());
  kept_connection client(io, address);
  client.send("/");
  while (pending_exchanges.empty()) {
    io.run_one_for(milliseconds(20));
  }
  CHECK(server.open_requests() == 1);
  server.reject_open_requests({504, {}, "unknown"});
  CHECK(abandoned == 1);
  pending_exchanges[0]->respond({200, {}, "late"}); // Must have no effect.
  CHECK(client.receive().ends_with("unknown"));
}

TEST_CASE("the connection of a rejected request serves no other one") {
  // Guards against a late response of the failed handler that would be sent as that of the next
  // request.
  asio::io_context io;
  const auto address = free_address(io);
  std::shared_ptr<web_exchange> rejected;
  web_server server(io, {}, [&](const std::shared_ptr<web_exchange>& exchange) {
    rejected = exchange;
    exchange->reject({502, {}, "failed"});
  });
  REQUIRE(server.listen(address).ok());
  kept_connection client(io, address);
  const auto response = client.call("/");
  CHECK(response.find("connection: close") != std::string::npos);
  CHECK(response.ends_with("failed"));
  while (server.connections() > 0 && io.run_one_for(milliseconds(100)) > 0) {
  }
  CHECK(server.connections() == 0);
  rejected->respond({200, {}, "late"}); // Must have no effect.
}

TEST_CASE("a response that is not written yet counts as an open request") {
  // Guards against a process that exits before its last responses are sent.
  asio::io_context io;
  const auto address = free_address(io);
  const std::string body(std::size_t{8} * 1'024 * 1'024, 'x');
  web_server server(io, {}, [&](const std::shared_ptr<web_exchange>& exchange) {
    exchange->respond({200, {}, body});
  });
  REQUIRE(server.listen(address).ok());
  kept_connection client(io, address);
  CHECK(server.open_requests() == 0);
  std::size_t received = client.call("/").size();
  CHECK(server.open_requests() == 1);
  while (received < body.size()) {
    const auto more = client.receive().size();
    REQUIRE(more > 0);
    received += more;
  }
  while (server.open_requests() > 0 && io.run_one_for(test_limit) > 0) {
  }
  CHECK(server.open_requests() == 0);
}

} // namespace
} // namespace parsleylead

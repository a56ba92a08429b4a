#include "standin-relay/relay.hpp"

#include <doctest/doctest.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "../faults/child_process.hpp"

namespace parsleylead::standin {
namespace {

using asio::ip::tcp;

/// A relay before a server that accepts connections and keeps them.
class relay_fixture {
public:
  relay_fixture() { accept_next(); }

  /// Connects and returns the result.
  asio::error_code connect(tcp::socket& socket) {
    asio::error_code result;
    bool done = false;
    const auto address = proxy.local_endpoint();
    socket.async_connect({asio::ip::make_address(address.ip), address.port},
                         [&](const asio::error_code& error) {
                           result = error;
                           done = true;
                         });
    run_until([&] { return done; });
    REQUIRE(done);
    run();
    return result;
  }

  /// Returns how a read from the connection ends, or nothing if it does not end.
  std::optional<asio::error_code> read(tcp::socket& socket) {
    std::optional<asio::error_code> result;
    std::array<char, 1> buffer{};
    socket.async_read_some(asio::buffer(buffer),
                           [&](const asio::error_code& error, std::size_t) { result = error; });
    run_until([&] { return result.has_value(); });
    if (!result) {
      socket.cancel();
      run();
      return std::nullopt;
    }
    return result;
  }

  void run() {
    run_until([] { return false; });
  }

  template <class Condition>
  void run_until(Condition done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.run_one_for(std::chrono::milliseconds(5));
    }
  }

  void accept_next() {
    server.async_accept([this](const asio::error_code& error, tcp::socket socket) {
      if (!error) {
        accepted.push_back(std::move(socket));
        accept_next();
      }
    });
  }

  asio::io_context io;
  tcp::acceptor server{io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::vector<tcp::socket> accepted;
  /// Kept open by a test.
  std::vector<tcp::socket> sockets;
  relay proxy{io, {"127.0.0.1", 0}, {"127.0.0.1", server.local_endpoint().port()}};
};

} // namespace

// A fault that closes accepted connections instead of refusing them would not be the fault of
// issue 32.
TEST_CASE_FIXTURE(relay_fixture, "a relay refuses connections until it is healed") {
  tcp::socket open(io);
  REQUIRE(!connect(open));
  for (int round = 0; round < 3; ++round) {
    proxy.refuse_connections();
    tcp::socket refused(io);
    CHECK(connect(refused) == asio::error::connection_refused);
    CHECK(proxy.stats().open == 1 + static_cast<std::size_t>(round));
    proxy.heal();
    tcp::socket next(io);
    CHECK(!connect(next));
    sockets.push_back(std::move(next));
  }
  CHECK(accepted.size() == 4);
  CHECK_FALSE(read(open).has_value());
}

// The soak ended with "bind: Address already in use" when a relay stopped listening after a process
// had been forked that had not yet started its program, and so still held the listening socket.
TEST_CASE_FIXTURE(relay_fixture, "a relay refuses connections right after a process was started") {
  for (int round = 0; round < 10; ++round) {
    faults::child_process started({"/bin/sleep", "60"}, "/dev/null");
    CHECK_NOTHROW(proxy.refuse_connections());
    tcp::socket refused(io);
    CHECK(connect(refused) == asio::error::connection_refused);
    CHECK_NOTHROW(proxy.heal());
    tcp::socket next(io);
    CHECK(!connect(next));
  }
}

TEST_CASE_FIXTURE(relay_fixture, "a relay that accepts without an answer closes connections") {
  proxy.refuse_all();
  tcp::socket closed(io);
  REQUIRE(!connect(closed));
  CHECK(read(closed) == asio::error::eof);
  CHECK(accepted.empty());
}

TEST_CASE_FIXTURE(relay_fixture, "a relay resets open connections") {
  tcp::socket open(io);
  REQUIRE(!connect(open));
  REQUIRE(accepted.size() == 1);
  proxy.reset_open();
  CHECK(read(open) == asio::error::connection_reset);
  CHECK(read(accepted.front()) == asio::error::connection_reset);
}

TEST_CASE_FIXTURE(relay_fixture, "a relay closes silenced connections that one side has closed") {
  tcp::socket open(io);
  REQUIRE(!connect(open));
  REQUIRE(accepted.size() == 1);
  proxy.silence_all();
  open.close();
  CHECK_FALSE(read(accepted.front()).has_value());
  proxy.heal();
  proxy.close_abandoned();
  CHECK(read(accepted.front()) == asio::error::eof);
}

} // namespace parsleylead::standin

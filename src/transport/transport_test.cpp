#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include "generated/parsleylead.capnp.h"
#include "parsleylead/transport/rpc_connection.hpp"
#include "parsleylead/transport/rpc_server.hpp"

namespace parsleylead {
namespace {

using namespace std::chrono_literals;

class echo_session : public wire::Session::Server {
protected:
  kj::Promise<void> dispatch(DispatchContext context) override {
    auto result = context.getResults().initResult();
    result.setAnswer(context.getParams().getTask().getPayload());
    return kj::READY_NOW;
  }
  kj::Promise<void> probe(ProbeContext /*context*/) override { return kj::NEVER_DONE; }
};

struct fixture {
  rpc_loop loop;
  rpc_server server{loop, kj::heap<echo_session>()};

  wire::Session::Client dial(kj::Own<rpc_connection>& connection) {
    REQUIRE(server.listen({"127.0.0.1", 0}).ok());
    connection = loop.wait(connect(loop, server.local_endpoint(), 5s));
    return connection->bootstrap().castAs<wire::Session>();
  }
};

TEST_CASE("a call crosses the loopback with a payload larger than the socket buffers") {
  // Guards against partial writes and reads being treated as complete.
  fixture fix;
  kj::Own<rpc_connection> connection;
  auto session = fix.dial(connection);
  const std::size_t size = 3UL * 1024UL * 1024UL;
  auto request = session.dispatchRequest();
  auto payload = request.initTask().initPayload(size);
  payload[size - 1] = 7;
  auto response = fix.loop.wait(request.send());
  CHECK(response.getResult().getAnswer().size() == size);
  CHECK(response.getResult().getAnswer()[size - 1] == 7);
}

TEST_CASE("a call without an answer ends at its time-out") {
  // Guards against a silent connection that blocks a request for ever.
  fixture fix;
  kj::Own<rpc_connection> connection;
  auto session = fix.dial(connection);
  auto call = session.probeRequest().send().ignoreResult();
  CHECK_THROWS(fix.loop.wait(fix.loop.with_timeout(kj::mv(call), 20ms)));
}

TEST_CASE("the server drops a closed connection and survives foreign bytes") {
  // Guards against one bad client ending the process or leaking connections.
  fixture fix;
  kj::Own<rpc_connection> connection;
  auto session = fix.dial(connection);
  {
    asio::io_context io;
    asio::ip::tcp::socket foreign(io);
    const auto peer = fix.server.local_endpoint();
    foreign.connect({asio::ip::make_address(peer.ip), peer.port});
    asio::write(foreign, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    for (int i = 0; i < 200 && fix.server.connection_count() != 2; ++i) {
      fix.loop.wait(fix.loop.sleep_for(5ms));
    }
  }
  for (int i = 0; i < 200 && fix.server.connection_count() != 1; ++i) {
    fix.loop.wait(fix.loop.sleep_for(5ms));
  }
  CHECK(fix.server.connection_count() == 1);
  auto request = session.dispatchRequest();
  request.initTask().initPayload(1);
  CHECK(fix.loop.wait(request.send()).getResult().getAnswer().size() == 1);
}

TEST_CASE("a call on an ended connection fails and does not end the process") {
  // Guards against an entry that aborted when it contacted a peer that had just stopped.
  rpc_loop loop;
  kj::Own<rpc_connection> connection;
  {
    rpc_server server(loop, kj::heap<echo_session>());
    REQUIRE(server.listen({"127.0.0.1", 0}).ok());
    connection = loop.wait(connect(loop, server.local_endpoint(), 5s));
    auto session = connection->bootstrap().castAs<wire::Session>();
    loop.wait(session.dispatchRequest().send().ignoreResult());
  }
  loop.wait(connection->on_disconnect());
  auto session = connection->bootstrap().castAs<wire::Session>();
  CHECK_THROWS(loop.wait(session.dispatchRequest().send().ignoreResult()));
}

TEST_CASE("connecting to a closed port names the peer") {
  rpc_loop loop;
  try {
    loop.wait(connect(loop, {"127.0.0.1", 1}, 1s));
    FAIL("connected to a closed port");
  } catch (const kj::Exception& error) {
    CHECK(std::string(error.getDescription().cStr()).find("127.0.0.1:1") != std::string::npos);
  }
}

} // namespace
} // namespace parsleylead

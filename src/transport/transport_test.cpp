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

  wire::Session::Client connect_client(kj::Own<rpc_connection>& connection) {
    REQUIRE(server.listen({"127.0.0.1", 0}).ok());
    connection = loop.wait(connect(loop, server.local_endpoint(), 5s));
    return connection->bootstrap().castAs<wire::Session>();
  }
};

TEST_CASE("a call transfers a payload larger than the socket buffers") {
  // Guards against treating partial reads and writes as complete.
  fixture server_fixture;
  kj::Own<rpc_connection> connection;
  auto session = server_fixture.connect_client(connection);
  const std::size_t size = 3UL * 1024UL * 1024UL;
  auto request = session.dispatchRequest();
  auto payload = request.initTask().initPayload(size);
  payload[size - 1] = 7;
  auto response = server_fixture.loop.wait(request.send());
  CHECK(response.getResult().getAnswer().size() == size);
  CHECK(response.getResult().getAnswer()[size - 1] == 7);
}

TEST_CASE("a call without a reply times out") {
  // Guards against a silent connection that blocks a request forever.
  fixture server_fixture;
  kj::Own<rpc_connection> connection;
  auto session = server_fixture.connect_client(connection);
  auto call = session.probeRequest().send().ignoreResult();
  CHECK_THROWS(server_fixture.loop.wait(server_fixture.loop.with_timeout(kj::mv(call), 20ms)));
}

TEST_CASE("the server removes closed connections and tolerates bytes of another protocol") {
  // Guards against a client of another protocol that ends the process or leaks its connection.
  fixture server_fixture;
  kj::Own<rpc_connection> connection;
  auto session = server_fixture.connect_client(connection);
  {
    asio::io_context io;
    asio::ip::tcp::socket other_client(io);
    const auto peer = server_fixture.server.local_endpoint();
    other_client.connect({asio::ip::make_address(peer.ip), peer.port});
    asio::write(other_client, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    for (int i = 0; i < 200 && server_fixture.server.connection_count() != 2; ++i) {
      server_fixture.loop.wait(server_fixture.loop.sleep_for(5ms));
    }
  }
  for (int i = 0; i < 200 && server_fixture.server.connection_count() != 1; ++i) {
    server_fixture.loop.wait(server_fixture.loop.sleep_for(5ms));
  }
  CHECK(server_fixture.server.connection_count() == 1);
  auto request = session.dispatchRequest();
  request.initTask().initPayload(1);
  CHECK(server_fixture.loop.wait(request.send()).getResult().getAnswer().size() == 1);
}

TEST_CASE("a call on a closed connection fails without ending the process") {
  // Guards against an abort when the connection to a peer that has just stopped is used: a
  // second bootstrap request on a closed stream throws from a destructor.
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

TEST_CASE("the error of connecting to a closed port names the peer") {
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

#include <doctest/doctest.h>
#include <httplib.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include "../agent/upstream_caller.hpp"
#include "generated/parsleylead.capnp.h"
#include "mutate.hpp"
#include "parsleylead/agent/agent_process.hpp"
#include "parsleylead/base/error.hpp"
#include "parsleylead/entry/entry_process.hpp"
#include "parsleylead/http/http_server.hpp"
#include "parsleylead/platform_log/http_log_service.hpp"
#include "parsleylead/platform_log/memory_log_service.hpp"
#include "parsleylead/transport/rpc_connection.hpp"

namespace parsleylead {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

tcp::endpoint to_tcp(const endpoint& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

// Sends `bytes` on a new connection and closes it. Ignores write errors: the server may close
// first.
void send_bytes(const endpoint& address, const std::string& bytes) {
  asio::io_context io;
  tcp::socket socket(io);
  asio::error_code ignored;
  socket.connect(to_tcp(address));
  asio::write(socket, asio::buffer(bytes), ignored);
}

std::string random_bytes(std::mt19937_64& random, std::size_t size) {
  std::string bytes(size, '\0');
  for (auto& byte : bytes) {
    byte = static_cast<char>(random());
  }
  return bytes;
}

// Replies to the first request on each connection with the configured bytes, valid HTTP or not, and
// closes the connection.
class raw_response_server {
public:
  raw_response_server() : acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    thread_ = std::thread([this] { serve(); });
  }
  ~raw_response_server() {
    stopping_ = true;
    send_bytes(address(), "x");
    thread_.join();
  }
  raw_response_server(const raw_response_server&) = delete;
  raw_response_server& operator=(const raw_response_server&) = delete;

  endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  void set_response(std::string bytes) {
    const std::lock_guard lock(mutex_);
    response_ = std::move(bytes);
  }

private:
  void serve() {
    while (true) {
      tcp::socket socket(io_);
      acceptor_.accept(socket);
      if (stopping_) {
        return;
      }
      asio::error_code ignored;
      asio::streambuf request;
      asio::read_until(socket, request, "\r\n\r\n", ignored);
      const std::lock_guard lock(mutex_);
      asio::write(socket, asio::buffer(response_), ignored);
      socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::string response_;
  std::thread thread_;
};

std::string http_ok_response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

TEST_CASE("an HTTP server survives malformed requests") {
  // Guards against one faulty client that crashes the process or blocks other clients.
  http_server server({.max_threads = 32, .max_body_bytes = 1024, .keep_alive = 200ms});
  server.route("POST", "/echo", [](const http_request& request) {
    return http_response{200, request.body, "text/plain", {}};
  });
  REQUIRE(server.start({"127.0.0.1", 0}).ok());
  const auto address = server.local_endpoint();
  const std::string valid = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
  std::mt19937_64 random(1);
  for (int i = 0; i < 500; ++i) {
    send_bytes(address, mutate(valid, random));
  }
  const std::string chunked =
      "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* body : {"ffffffffffffffff\r\nx", "-1\r\nx\r\n0\r\n\r\n", "zz\r\n", "5\r\nhel"}) {
    send_bytes(address, chunked + body);
  }
  send_bytes(address, "POST /echo HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\nx");
  send_bytes(address, "GET /" + std::string(100'000, 'a') + " HTTP/1.1\r\n\r\n");
  send_bytes(address, "GET / HTTP/1.1\r\nA: " + std::string(100'000, 'a') + "\r\n\r\n");
  // A request whose body stays incomplete blocks only its own thread.
  asio::io_context io;
  std::vector<tcp::socket> incomplete_requests;
  for (int i = 0; i < 8; ++i) {
    incomplete_requests.emplace_back(io).connect(to_tcp(address));
    asio::write(incomplete_requests.back(), asio::buffer(valid.substr(0, valid.size() - 2)));
  }
  httplib::Client client("127.0.0.1", address.port);
  const auto large = client.Post("/echo", std::string(2000, 'a'), "text/plain");
  CHECK((!large || large->status == 413));
  const auto answer = client.Post("/echo", "hello", "text/plain");
  REQUIRE(answer);
  CHECK(answer->body == "hello");
}

TEST_CASE("responses of a faulty log service are consistent or reported as errors") {
  // Guards against a corrupt response that makes a replica skip, repeat or reorder records.
  raw_response_server server;
  log_service_settings settings;
  settings.address = server.address();
  http_log_service log(settings);
  const std::string body =
      R"({"earliest":1,"next":4,"records":[{"offset":1,"time_ms":5,"payload":"a"},)"
      R"({"offset":2,"time_ms":6,"payload":"b"},{"offset":3,"time_ms":7,"payload":"c"}]})";
  server.set_response(http_ok_response(body));
  REQUIRE(log.read("s", 1, 10, 0ms).ok());
  std::mt19937_64 random(2);
  int errors = 0;
  for (int i = 0; i < 1000; ++i) {
    const bool mutate_headers = i % 4 == 0;
    server.set_response(mutate_headers ? mutate(http_ok_response(body), random)
                                       : http_ok_response(mutate(body, random)));
    const auto result = log.read("s", 1, 10, 0ms);
    if (!result.ok()) {
      ++errors;
      CHECK(error_step(result.status()) == step::log_read);
      continue;
    }
    std::uint64_t expected = result->records.empty() ? 0 : result->records.front().offset;
    for (const auto& record : result->records) {
      CHECK(record.offset == expected++);
      CHECK(record.append_time.time_since_epoch().count() >= 0);
    }
    CHECK((result->records.empty() || result->next == expected));
  }
  CHECK(errors > 500);
  for (const char* invalid_body :
       {R"({"earliest":1,"next":9,"records":[]})",
        R"({"earliest":1,"next":3,"records":[{"offset":2,"time_ms":1,"payload":""},)"
        R"({"offset":1,"time_ms":1,"payload":""}]})",
        R"({"earliest":1,"next":2,"records":[{"offset":1,"time_ms":9223372036854775807,)"
        R"("payload":""}]})",
        R"({"earliest":1,"next":0,"records":[{"offset":18446744073709551615,"time_ms":1,)"
        R"("payload":""}]})"}) {
    server.set_response(http_ok_response(invalid_body));
    CHECK_FALSE(log.read("s", 1, 10, 0ms).ok());
  }
  for (const char* invalid_body : {"{}", "[]", R"({"offset":0})", R"({"offset":-1})", "", "{"}) {
    server.set_response(http_ok_response(invalid_body));
    CHECK_FALSE(log.append("s", "x").ok());
  }
}

TEST_CASE("each call ends exactly once after a corrupt upstream response") {
  // Guards against a call that never ends, and against a truncated response accepted as complete.
  raw_response_server server;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::uint64_t, std::vector<upstream_outcome>> outcomes;
  upstream_caller caller({250ms, 1000}, [&](std::uint64_t ticket, upstream_outcome outcome) {
    const std::lock_guard lock(mutex);
    outcomes[ticket].push_back(std::move(outcome));
    changed.notify_all();
  });
  std::mt19937_64 random(3);
  for (std::uint64_t ticket = 1; ticket <= 300; ++ticket) {
    const bool is_large = ticket % 50 == 0;
    const auto valid = http_ok_response(is_large ? std::string(5000, 'a') : "answer");
    const bool is_truncated = ticket % 3 == 0;
    server.set_response(is_truncated ? valid.substr(0, random() % valid.size())
                                     : mutate(valid, random));
    caller.submit({ticket, server.address(), "kind", "submission", 0, "", "payload",
                   std::chrono::steady_clock::now() + 2s});
    std::unique_lock lock(mutex);
    REQUIRE(changed.wait_for(lock, 20s, [&] { return outcomes.contains(ticket); }));
    const auto& outcome = outcomes[ticket].front();
    CHECK(outcome.end != task_end::not_run);
    CHECK((outcome.end == task_end::finished) == (outcome.error.cause == reason::none));
    CHECK((!is_truncated || outcome.end == task_end::failed));
    CHECK(outcome.answer.size() <= 1000);
  }
  const std::lock_guard lock(mutex);
  CHECK(outcomes.size() == 300);
  CHECK(std::all_of(outcomes.begin(), outcomes.end(),
                    [](const auto& outcome) { return outcome.second.size() == 1; }));
}

// Runs an entry process on a thread of its own. `rpc` and `http` are the addresses it listens on.
class entry_thread {
public:
  entry_thread() {
    std::promise<void> started;
    thread_ = std::thread([this, &started] {
      entry_settings settings;
      settings.name = "entry";
      settings.rpc_address = settings.operations_address = {"127.0.0.1", 0};
      settings.callers.address = {"127.0.0.1", 0};
      settings.drain_notice = 1ms;
      settings.logging.level = "error";
      entry_process process(settings, log_);
      REQUIRE(process.start().ok());
      process_ = &process;
      rpc = process.rpc_endpoint();
      http = process.caller_endpoint();
      started.set_value();
      process.run();
    });
    started.get_future().wait();
  }
  ~entry_thread() {
    process_->request_stop();
    thread_.join();
  }
  entry_thread(const entry_thread&) = delete;
  entry_thread& operator=(const entry_thread&) = delete;

  endpoint rpc;
  endpoint http;

private:
  memory_log_service log_;
  entry_process* process_ = nullptr;
  std::thread thread_;
};

// Runs an agent process on a thread of its own. `http` is where it takes announcements.
class agent_thread {
public:
  agent_thread() {
    std::promise<void> started;
    thread_ = std::thread([this, &started] {
      agent_settings settings;
      settings.name = "agent";
      settings.rpc_address = settings.operations_address = {"127.0.0.1", 0};
      settings.upstream.announce_address = {"127.0.0.1", 0};
      settings.logging.level = "error";
      agent_process process(settings);
      REQUIRE(process.start().ok());
      process_ = &process;
      rpc = process.rpc_endpoint();
      http = process.announce_endpoint();
      started.set_value();
      process.run();
    });
    started.get_future().wait();
  }
  ~agent_thread() {
    process_->request_stop();
    thread_.join();
  }
  agent_thread(const agent_thread&) = delete;
  agent_thread& operator=(const agent_thread&) = delete;

  endpoint rpc;
  endpoint http;

private:
  agent_process* process_ = nullptr;
  std::thread thread_;
};

// A Cap'n Proto message whose header declares one segment of `words` words, followed by the bytes
// `segment`, which may be shorter than declared.
std::string rpc_frame(std::uint32_t words, const std::string& segment) {
  std::string bytes(8, '\0');
  for (unsigned i = 0; i < 4; ++i) {
    bytes[4 + i] = static_cast<char>(words >> (8 * i));
  }
  return bytes + segment;
}

void send_malformed_frames(const endpoint& address, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  for (int i = 0; i < 200; ++i) {
    send_bytes(address, random_bytes(random, random() % 300));
    const auto words = static_cast<std::uint32_t>(1 + random() % 30);
    const auto whole = rpc_frame(words, random_bytes(random, 8UL * words));
    send_bytes(address, whole);
    send_bytes(address, whole.substr(0, random() % whole.size()));
  }
  send_bytes(address, rpc_frame(2U << 20, std::string(100'000, '\0')));
  send_bytes(address, rpc_frame(0xffffffff, "x"));
  send_bytes(address, "\xff\xff\xff\xff" + std::string(1000, '\x7f'));
}

template <typename Call>
std::string call_error(rpc_loop& loop, Call&& call) {
  try {
    loop.wait(loop.with_timeout(call(), 5s));
    return "";
  } catch (const kj::Exception& error) {
    return error.getDescription().cStr();
  }
}

TEST_CASE("an entry survives malformed frames and refuses another protocol version") {
  // Guards against an entry that crashes on a peer of another version or on a client of another
  // protocol.
  entry_thread entry;
  send_malformed_frames(entry.rpc, 4);
  rpc_loop loop;
  const auto announce = [&](std::uint32_t version, const char* address) {
    auto connection = loop.wait(connect(loop, entry.rpc, 5s));
    auto request = connection->bootstrap().castAs<wire::EntryPort>().announceRequest();
    request.setProtocolVersion(version);
    request.initAgent().setAddress(address);
    return call_error(loop, [&] { return request.send().ignoreResult(); });
  };
  CHECK(announce(wire::PROTOCOL_VERSION + 1, "127.0.0.1:1").find("version") != std::string::npos);
  CHECK(announce(wire::PROTOCOL_VERSION, "nowhere").find("address") != std::string::npos);
  CHECK(announce(wire::PROTOCOL_VERSION, "127.0.0.1:1").empty());
  auto connection = loop.wait(connect(loop, entry.rpc, 5s));
  auto large = connection->bootstrap().castAs<wire::EntryPort>().fetchJobRequest();
  large.initSubmission(static_cast<unsigned>(max_message_bytes) + 1000);
  CHECK_FALSE(call_error(loop, [&] { return large.send().ignoreResult(); }).empty());
  CHECK(announce(wire::PROTOCOL_VERSION, "127.0.0.1:1").empty());

  std::mt19937_64 random(5);
  httplib::Client client("127.0.0.1", entry.http.port);
  for (int i = 0; i < 300; ++i) {
    const auto answer = client.Post(
        "/v1/jobs", mutate(R"({"kind":"a","tasks":["x"],"budget_ms":5})", random), "text/plain");
    REQUIRE(answer);
    CHECK(answer->status >= 400);
    CHECK(answer->body.find("\"run\":\"not_run\"") != std::string::npos);
  }
}

TEST_CASE("an agent survives malformed frames and refuses another protocol version") {
  // Guards against an agent that crashes on a peer of another version or on a client of another
  // protocol.
  agent_thread agent;
  send_malformed_frames(agent.rpc, 6);
  rpc_loop loop;
  const auto accepted = [&](std::uint32_t version) {
    auto connection = loop.wait(connect(loop, agent.rpc, 5s));
    auto request = connection->bootstrap().castAs<wire::AgentPort>().openSessionRequest();
    auto hello = request.initHello();
    hello.setProtocolVersion(version);
    hello.setCounter(1);
    hello.initEntry().initId().setName("entry");
    try {
      auto answer =
          loop.wait(loop.with_timeout(kj::Promise<bool>(request.send().then([](auto&& response) {
                                        return response.getReply().getAccepted();
                                      })),
                                      5s));
      return answer;
    } catch (const kj::Exception&) {
      return false;
    }
  };
  CHECK_FALSE(accepted(wire::PROTOCOL_VERSION + 1));
  CHECK(accepted(wire::PROTOCOL_VERSION));

  std::mt19937_64 random(7);
  httplib::Client client("127.0.0.1", agent.http.port);
  const std::string text = R"({"name":"u","address":"127.0.0.1:9","kinds":["a"],"slots":4})";
  for (int i = 0; i < 300; ++i) {
    const auto answer = client.Post("/v1/announce", mutate(text, random), "application/json");
    REQUIRE(answer);
    CHECK((answer->status == 200 || answer->status == 400));
  }
}

} // namespace
} // namespace parsleylead

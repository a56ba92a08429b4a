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

// Sends bytes and closes; a server may close first.
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

// Gives each connection one answer, byte for byte, and closes it.
class lying_server {
public:
  lying_server() : acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    thread_ = std::thread([this] { serve(); });
  }
  ~lying_server() {
    stopping_ = true;
    send_bytes(address(), "x");
    thread_.join();
  }
  lying_server(const lying_server&) = delete;
  lying_server& operator=(const lying_server&) = delete;

  endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  void answer_with(std::string bytes) {
    const std::lock_guard lock(mutex_);
    answer_ = std::move(bytes);
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
      asio::write(socket, asio::buffer(answer_), ignored);
      socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::string answer_;
  std::thread thread_;
};

std::string http_answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

TEST_CASE("an HTTP server survives malformed requests") {
  // Guards against one bad client that ends the process or blocks the others.
  http_server server({.max_threads = 32, .max_body_bytes = 1024, .keep_alive = 200ms});
  server.route("POST", "/echo", [](const http_request& request) {
    return http_response{200, request.body, "text/plain", {}};
  });
  REQUIRE(server.start({"127.0.0.1", 0}).ok());
  const auto address = server.local_endpoint();
  const std::string good = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
  std::mt19937_64 random(1);
  for (int i = 0; i < 500; ++i) {
    send_bytes(address, mutate(good, random));
  }
  const std::string chunked =
      "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* body : {"ffffffffffffffff\r\nx", "-1\r\nx\r\n0\r\n\r\n", "zz\r\n", "5\r\nhel"}) {
    send_bytes(address, chunked + body);
  }
  send_bytes(address, "POST /echo HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\nx");
  send_bytes(address, "GET /" + std::string(100'000, 'a') + " HTTP/1.1\r\n\r\n");
  send_bytes(address, "GET / HTTP/1.1\r\nA: " + std::string(100'000, 'a') + "\r\n\r\n");
  // A body that stays incomplete holds its own thread only.
  asio::io_context io;
  std::vector<tcp::socket> slow;
  for (int i = 0; i < 8; ++i) {
    slow.emplace_back(io).connect(to_tcp(address));
    asio::write(slow.back(), asio::buffer(good.substr(0, good.size() - 2)));
  }
  httplib::Client client("127.0.0.1", address.port);
  const auto large = client.Post("/echo", std::string(2000, 'a'), "text/plain");
  CHECK((!large || large->status == 413));
  const auto answer = client.Post("/echo", "hello", "text/plain");
  REQUIRE(answer);
  CHECK(answer->body == "hello");
}

TEST_CASE("answers of a lying log are consistent or an error") {
  // Guards against a damaged answer that makes a replica skip, repeat or reorder records.
  lying_server server;
  log_service_settings settings;
  settings.address = server.address();
  http_log_service log(settings);
  const std::string body =
      R"({"earliest":1,"next":4,"records":[{"offset":1,"time_ms":5,"payload":"a"},)"
      R"({"offset":2,"time_ms":6,"payload":"b"},{"offset":3,"time_ms":7,"payload":"c"}]})";
  server.answer_with(http_answer(body));
  REQUIRE(log.read("s", 1, 10, 0ms).ok());
  std::mt19937_64 random(2);
  int errors = 0;
  for (int i = 0; i < 1000; ++i) {
    const bool whole_answer = i % 4 == 0;
    server.answer_with(whole_answer ? mutate(http_answer(body), random)
                                    : http_answer(mutate(body, random)));
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
  for (const char* wrong :
       {R"({"earliest":1,"next":9,"records":[]})",
        R"({"earliest":1,"next":3,"records":[{"offset":2,"time_ms":1,"payload":""},)"
        R"({"offset":1,"time_ms":1,"payload":""}]})",
        R"({"earliest":1,"next":2,"records":[{"offset":1,"time_ms":9223372036854775807,)"
        R"("payload":""}]})",
        R"({"earliest":1,"next":0,"records":[{"offset":18446744073709551615,"time_ms":1,)"
        R"("payload":""}]})"}) {
    server.answer_with(http_answer(wrong));
    CHECK_FALSE(log.read("s", 1, 10, 0ms).ok());
  }
  for (const char* wrong : {"{}", "[]", R"({"offset":0})", R"({"offset":-1})", "", "{"}) {
    server.answer_with(http_answer(wrong));
    CHECK_FALSE(log.append("s", "x").ok());
  }
}

TEST_CASE("damaged replies of an upstream end each call once") {
  // Guards against a call without an end, and against half an answer that passes as a whole one.
  lying_server server;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::uint64_t, std::vector<upstream_outcome>> ends;
  upstream_caller caller({250ms, 1000}, [&](std::uint64_t ticket, upstream_outcome outcome) {
    const std::lock_guard lock(mutex);
    ends[ticket].push_back(std::move(outcome));
    changed.notify_all();
  });
  std::mt19937_64 random(3);
  for (std::uint64_t ticket = 1; ticket <= 300; ++ticket) {
    const bool is_large = ticket % 50 == 0;
    const auto good = http_answer(is_large ? std::string(5000, 'a') : "answer");
    const bool is_cut = ticket % 3 == 0;
    server.answer_with(is_cut ? good.substr(0, random() % good.size()) : mutate(good, random));
    caller.submit({ticket, server.address(), "kind", "submission", 0, "", "payload",
                   std::chrono::steady_clock::now() + 2s});
    std::unique_lock lock(mutex);
    REQUIRE(changed.wait_for(lock, 20s, [&] { return ends.contains(ticket); }));
    const auto& outcome = ends[ticket].front();
    CHECK(outcome.end != task_end::not_run);
    CHECK((outcome.end == task_end::finished) == (outcome.error.cause == reason::none));
    CHECK((!is_cut || outcome.end == task_end::failed));
    CHECK(outcome.answer.size() <= 1000);
  }
  const std::lock_guard lock(mutex);
  CHECK(ends.size() == 300);
  CHECK(std::all_of(ends.begin(), ends.end(),
                    [](const auto& each) { return each.second.size() == 1; }));
}

// A process on a thread of its own; `rpc` and `http` are its addresses.
class running_entry {
public:
  running_entry() {
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
  ~running_entry() {
    process_->request_stop();
    thread_.join();
  }
  running_entry(const running_entry&) = delete;
  running_entry& operator=(const running_entry&) = delete;

  endpoint rpc;
  endpoint http;

private:
  memory_log_service log_;
  entry_process* process_ = nullptr;
  std::thread thread_;
};

class running_agent {
public:
  running_agent() {
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
  ~running_agent() {
    process_->request_stop();
    thread_.join();
  }
  running_agent(const running_agent&) = delete;
  running_agent& operator=(const running_agent&) = delete;

  endpoint rpc;
  endpoint http;

private:
  agent_process* process_ = nullptr;
  std::thread thread_;
};

// A Cap'n Proto message with one segment of `words`, of which only `sent` bytes follow.
std::string frame(std::uint32_t words, const std::string& sent) {
  std::string bytes(8, '\0');
  for (unsigned i = 0; i < 4; ++i) {
    bytes[4 + i] = static_cast<char>(words >> (8 * i));
  }
  return bytes + sent;
}

void send_damaged_frames(const endpoint& address, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  for (int i = 0; i < 200; ++i) {
    send_bytes(address, random_bytes(random, random() % 300));
    const auto words = static_cast<std::uint32_t>(1 + random() % 30);
    const auto whole = frame(words, random_bytes(random, 8UL * words));
    send_bytes(address, whole);
    send_bytes(address, whole.substr(0, random() % whole.size()));
  }
  send_bytes(address, frame(2U << 20, std::string(100'000, '\0')));
  send_bytes(address, frame(0xffffffff, "x"));
  send_bytes(address, "\xff\xff\xff\xff" + std::string(1000, '\x7f'));
}

template <typename Call>
std::string error_of(rpc_loop& loop, Call&& call) {
  try {
    loop.wait(loop.with_timeout(call(), 5s));
    return "";
  } catch (const kj::Exception& error) {
    return error.getDescription().cStr();
  }
}

TEST_CASE("an entry survives damaged frames and refuses another protocol version") {
  // Guards against a peer of another version, or a foreign client, that ends an entry.
  running_entry entry;
  send_damaged_frames(entry.rpc, 4);
  rpc_loop loop;
  const auto announce = [&](std::uint32_t version, const char* address) {
    auto connection = loop.wait(connect(loop, entry.rpc, 5s));
    auto request = connection->bootstrap().castAs<wire::EntryPort>().announceRequest();
    request.setProtocolVersion(version);
    request.initAgent().setAddress(address);
    return error_of(loop, [&] { return request.send().ignoreResult(); });
  };
  CHECK(announce(wire::PROTOCOL_VERSION + 1, "127.0.0.1:1").find("version") != std::string::npos);
  CHECK(announce(wire::PROTOCOL_VERSION, "nowhere").find("address") != std::string::npos);
  CHECK(announce(wire::PROTOCOL_VERSION, "127.0.0.1:1").empty());
  auto connection = loop.wait(connect(loop, entry.rpc, 5s));
  auto large = connection->bootstrap().castAs<wire::EntryPort>().fetchJobRequest();
  large.initSubmission(static_cast<unsigned>(max_message_bytes) + 1000);
  CHECK_FALSE(error_of(loop, [&] { return large.send().ignoreResult(); }).empty());
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

TEST_CASE("an agent survives damaged frames and refuses another protocol version") {
  // Guards against a peer of another version, or a foreign client, that ends an agent.
  running_agent agent;
  send_damaged_frames(agent.rpc, 6);
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

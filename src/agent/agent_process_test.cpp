#include "parsleylead/agent/agent_process.hpp"

#include <doctest/doctest.h>
#include <httplib.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include "generated/parsleylead.capnp.h"
#include "parsleylead/base/reason.hpp"
#include "parsleylead/transport/rpc_connection.hpp"

namespace parsleylead {
namespace {

using namespace std::chrono_literals;

// An upstream that counts started tasks. A task with the body "hold" ends when `release` is called.
class test_upstream {
public:
  test_upstream() {
    server_.new_task_queue = [] { return new httplib::ThreadPool(8); };
    server_.Post("/v1/tasks/work", [this](const httplib::Request& request, auto& response) {
      ++starts;
      if (request.body == "hold") {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, 20s, [this] { return released_; });
      }
      if (request.body == "fail") {
        response.status = 500;
      }
      response.set_content("answer to " + request.body, "text/plain");
    });
    port_ = static_cast<std::uint16_t>(server_.bind_to_any_port("127.0.0.1"));
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::sleep_for(1ms);
    }
  }
  ~test_upstream() {
    release();
    server_.stop();
    thread_.join();
  }
  test_upstream(const test_upstream&) = delete;
  test_upstream& operator=(const test_upstream&) = delete;

  void release() {
    const std::lock_guard lock(mutex_);
    released_ = true;
    changed_.notify_all();
  }
  endpoint address() const { return {"127.0.0.1", port_}; }

  std::atomic<int> starts = 0;

private:
  httplib::Server server_;
  std::uint16_t port_ = 0;
  std::thread thread_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool released_ = false;
};

class agent_thread {
public:
  agent_thread() {
    std::promise<void> started;
    auto ready = started.get_future();
    thread_ = std::thread([this, &started] {
      agent_settings settings;
      settings.name = "agent-1";
      settings.rpc_address = {"127.0.0.1", 0};
      settings.operations_address = {"127.0.0.1", 0};
      settings.upstream.announce_address = {"127.0.0.1", 0};
      settings.upstream.lease = 60s;
      settings.logging.level = "error";
      agent_process agent(settings);
      if (!agent.start().ok()) {
        std::abort();
      }
      agent_ = &agent;
      rpc = agent.rpc_endpoint();
      operations = agent.operations_endpoint();
      announce = agent.announce_endpoint();
      started.set_value();
      exit = agent.run();
      const std::lock_guard lock(mutex_);
      agent_ = nullptr;
    });
    ready.wait();
  }
  ~agent_thread() {
    stop();
    stop();
    join();
  }
  agent_thread(const agent_thread&) = delete;
  agent_thread& operator=(const agent_thread&) = delete;

  void stop() {
    const std::lock_guard lock(mutex_);
    if (agent_ != nullptr) {
      agent_->request_stop();
    }
  }
  // Blocks the control thread for `time`; returns once it is blocked.
  void pause(std::chrono::milliseconds time) {
    std::promise<void> paused;
    asio::post(agent_->io(), [time, &paused] {
      paused.set_value();
      std::this_thread::sleep_for(time);
    });
    paused.get_future().wait();
  }
  void join() {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  endpoint rpc;
  endpoint operations;
  endpoint announce;
  std::atomic<agent_exit> exit = agent_exit::abandoned_tasks;

private:
  std::thread thread_;
  std::mutex mutex_;
  agent_process* agent_ = nullptr;
};

int announce(const agent_thread& agent, const endpoint& upstream,
             const std::string& kind = "work") {
  httplib::Client client(agent.announce.ip, agent.announce.port);
  const auto body = R"({"name":"u","kinds":[")" + kind + R"("],"slots":2,"address":")" +
                    to_string(upstream) + R"("})";
  const auto result = client.Post("/v1/announce", body, "application/json");
  return result ? result->status : 0;
}

std::string get(const agent_thread& agent, const char* path) {
  httplib::Client client(agent.operations.ip, agent.operations.port);
  const auto result = client.Get(path);
  return result ? result->body : "";
}

struct received_messages {
  int grants = 0;
  int leaving = 0;
  bool agent_leaving = false;
};

class test_receiver : public wire::SessionReceiver::Server {
public:
  explicit test_receiver(std::shared_ptr<received_messages> messages)
      : messages_(std::move(messages)) {}

protected:
  kj::Promise<void> grant(GrantContext context) override {
    messages_->grants += static_cast<int>(context.getParams().getCredits());
    return kj::READY_NOW;
  }
  kj::Promise<void> recall(RecallContext context) override {
    context.getResults().setReturned(context.getParams().getCredits());
    return kj::READY_NOW;
  }
  kj::Promise<void> leaving(LeavingContext context) override {
    ++messages_->leaving;
    messages_->agent_leaving = context.getParams().getAgent().getLeaving();
    return kj::READY_NOW;
  }
  kj::Promise<void> update(UpdateContext /*context*/) override { return kj::READY_NOW; }

private:
  std::shared_ptr<received_messages> messages_;
};

struct task_result {
  wire::TaskState state = wire::TaskState::UNKNOWN;
  std::string answer;
  reason cause = reason::none;
  std::uint32_t credits = 0;
};

task_result read(wire::TaskResult::Reader result) {
  const auto answer = result.getAnswer();
  return {result.getState(), std::string(answer.begin(), answer.end()),
          reason_from_wire(result.getFailure().getReason()), result.getCredits()};
}

// A session of an entry on its own connection.
class test_session {
public:
  test_session(rpc_loop& loop, const agent_thread& agent, std::uint64_t counter,
               std::uint64_t previous_agent = 0, std::vector<std::uint64_t> outstanding = {})
      : loop_(loop), connection_(loop.wait(connect(loop, agent.rpc, 5s))) {
    auto request = connection_->bootstrap().castAs<wire::AgentPort>().openSessionRequest();
    auto hello = request.initHello();
    hello.setProtocolVersion(wire::PROTOCOL_VERSION);
    hello.initEntry().initId().setName("entry-1");
    hello.getEntry().getId().setIncarnation(9);
    hello.setCounter(counter);
    hello.setAgentIncarnation(previous_agent);
    auto list = hello.initOutstanding(static_cast<unsigned>(outstanding.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      list.set(i, outstanding[i]);
    }
    request.setReceiver(kj::heap<test_receiver>(messages));
    auto response = loop.wait(request.send());
    accepted = response.getReply().getAccepted();
    incarnation = response.getReply().getAgent().getId().getIncarnation();
    credits = response.getReply().getCredits();
    for (const auto task : response.getReply().getResumed()) {
      resumed.push_back(read(task));
    }
    session_ = response.getSession();
  }

  kj::Promise<task_result> send(std::uint64_t sequence, const std::string& body,
                                std::uint32_t budget_ms = 20'000, bool queue_if_busy = false) {
    auto request = session_.dispatchRequest();
    auto task = request.initTask();
    task.setSequence(sequence);
    task.setSubmission("job");
    task.setKind("work");
    task.setBudgetMs(budget_ms);
    task.setQueueIfBusy(queue_if_busy);
    task.setPayload(kj::arrayPtr(reinterpret_cast<const kj::byte*>(body.data()), body.size()));
    return request.send().then([](auto&& response) { return read(response.getResult()); });
  }
  task_result run(std::uint64_t sequence, const std::string& body,
                  std::uint32_t budget_ms = 20'000) {
    return loop_.wait(send(sequence, body, budget_ms));
  }
  task_result collect(std::uint64_t sequence) {
    auto request = session_.collectRequest();
    request.setSequence(sequence);
    auto response = loop_.wait(request.send());
    return read(response.getResult());
  }
  void cancel(std::uint64_t sequence) {
    auto request = session_.cancelRequest();
    request.initSequences(1).set(0, sequence);
    loop_.wait(request.send().ignoreResult());
  }

  std::shared_ptr<received_messages> messages = std::make_shared<received_messages>();
  bool accepted = false;
  std::uint64_t incarnation = 0;
  std::uint32_t credits = 0;
  std::vector<task_result> resumed;

private:
  rpc_loop& loop_;
  kj::Own<rpc_connection> connection_;
  wire::Session::Client session_ = nullptr;
};

// Runs the loop until `condition` holds, for at most 5 s.
template <class Condition>
bool wait_until(rpc_loop& loop, Condition condition) {
  for (int i = 0; i < 1000 && !condition(); ++i) {
    loop.wait(loop.sleep_for(5ms));
  }
  return condition();
}

struct fixture {
  test_upstream upstream;
  agent_thread agent;
  rpc_loop loop;
  fixture() { REQUIRE(announce(agent, upstream.address()) == 200); }
};

TEST_CASE("a dispatch runs at the upstream and its result carries the answer and a credit") {
  fixture test;
  test_session session(test.loop, test.agent, 1);
  CHECK(session.credits == 2);
  const auto end = session.run(1, "a");
  CHECK(end.state == wire::TaskState::FINISHED);
  CHECK(end.answer == "answer to a");
  CHECK(end.credits == 1);
  CHECK(session.run(1, "a").cause == reason::sealed);
  const auto failed = session.run(2, "fail");
  CHECK(failed.state == wire::TaskState::FAILED);
  CHECK(failed.cause == reason::task_failed);
  CHECK(test.upstream.starts == 2);
  CHECK(get(test.agent, "/v1/account").find(R"("starts":2,"finished":1)") != std::string::npos);
  CHECK(get(test.agent, "/metrics").find("parsleylead_agent_starts_total 2") != std::string::npos);
}

TEST_CASE("a task whose connection attempt failed is reported as not run") {
  // Guards P4: nothing was sent, so the task can safely be retried at another agent.
  fixture test;
  REQUIRE(announce(test.agent, {"127.0.0.1", 1}) == 200);
  test_session session(test.loop, test.agent, 1);
  const auto end = session.run(1, "a");
  CHECK(end.state == wire::TaskState::NOT_RUN);
  CHECK(end.cause == reason::connect_failed);
}

TEST_CASE("a resumed session receives the results of a dropped connection") {
  // Guards against a lost result, a second start, and accepted frames of the earlier session.
  fixture test;
  auto first = std::make_unique<test_session>(test.loop, test.agent, 1);
  auto lost = first->send(1, "hold");
  CHECK(first->run(2, "b").answer == "answer to b");
  REQUIRE(wait_until(test.loop, [&] { return test.upstream.starts == 2; }));
  test_session second(test.loop, test.agent, 2, first->incarnation, {1, 2, 3});
  REQUIRE(second.accepted);
  CHECK(second.resumed[0].state == wire::TaskState::RUNNING);
  CHECK(second.resumed[1].answer == "answer to b");
  CHECK(second.resumed[2].cause == reason::sealed);
  CHECK(first->run(3, "late").cause == reason::stale_session);
  CHECK_THROWS(test.loop.wait(kj::mv(lost)));
  first.reset();
  test.upstream.release();
  CHECK(second.collect(1).answer == "answer to hold");
  CHECK(test.upstream.starts == 2);
  CHECK_FALSE(test_session(test.loop, test.agent, 2).accepted);
}

TEST_CASE("a task continues after its connection breaks") {
  fixture test;
  std::uint64_t incarnation = 0;
  {
    test_session first(test.loop, test.agent, 1);
    incarnation = first.incarnation;
    auto lost = first.send(1, "hold");
    REQUIRE(wait_until(test.loop, [&] { return test.upstream.starts == 1; }));
  }
  REQUIRE(wait_until(test.loop, [&] {
    return get(test.agent, "/v1/account").find(R"("sessions":0)") != std::string::npos;
  }));
  test.upstream.release();
  test_session second(test.loop, test.agent, 2, incarnation, {1});
  CHECK(second.collect(1).answer == "answer to hold");
}

TEST_CASE("an agent reports dispatches of another incarnation as unknown") {
  fixture test;
  test_session session(test.loop, test.agent, 7, 12345, {4});
  CHECK(session.resumed[0].state == wire::TaskState::UNKNOWN);
}

TEST_CASE("cancellation and the deadline end a running call") {
  // Guards against slots that an unresponsive upstream occupies indefinitely.
  fixture test;
  test_session session(test.loop, test.agent, 1);
  auto cancelled = session.send(1, "hold");
  REQUIRE(wait_until(test.loop, [&] { return test.upstream.starts == 1; }));
  session.cancel(1);
  CHECK(test.loop.wait(kj::mv(cancelled)).cause == reason::cancelled);
  const auto late = session.run(2, "hold", 100);
  CHECK(late.state == wire::TaskState::FAILED);
  CHECK(late.cause == reason::deadline_exceeded);
}

TEST_CASE("a graceful stop finishes running work and refuses new work") {
  // Guards P7: a planned shutdown loses no task.
  fixture test;
  test_session session(test.loop, test.agent, 1);
  auto running = session.send(1, "hold");
  REQUIRE(wait_until(test.loop, [&] { return test.upstream.starts == 1; }));
  test.agent.stop();
  REQUIRE(wait_until(test.loop, [&] { return session.messages->agent_leaving; }));
  CHECK(session.run(2, "b").cause == reason::agent_leaving);
  test.upstream.release();
  CHECK(test.loop.wait(kj::mv(running)).answer == "answer to hold");
  // The agent exits only after this session has answered its last message, so the loop must run.
  auto ended = std::async(std::launch::async, [&] { test.agent.join(); });
  CHECK(wait_until(test.loop, [&] { return ended.wait_for(0ms) == std::future_status::ready; }));
  CHECK(test.agent.exit == agent_exit::drained);
}

TEST_CASE("a second stop request ends running tasks and reports them") {
  fixture test;
  test_session session(test.loop, test.agent, 1);
  auto running = session.send(1, "hold");
  REQUIRE(wait_until(test.loop, [&] { return test.upstream.starts == 1; }));
  test.agent.stop();
  test.agent.stop();
  const auto end = test.loop.wait(kj::mv(running));
  CHECK(end.state == wire::TaskState::FAILED);
  CHECK(end.cause == reason::agent_leaving);
  test.agent.join();
  CHECK(test.agent.exit == agent_exit::abandoned_tasks);
}

TEST_CASE("nothing starts after the upstream has left") {
  // Guards P6: an upstream that has left gets no new work.
  fixture test;
  test_session session(test.loop, test.agent, 1);
  httplib::Client client(test.agent.announce.ip, test.agent.announce.port);
  const auto result = client.Delete("/v1/announce");
  REQUIRE(result);
  CHECK(result->status == 200);
  const auto end = session.run(1, "a");
  CHECK(end.state == wire::TaskState::NOT_RUN);
  CHECK(end.cause == reason::upstream_absent);
  CHECK(session.messages->leaving == 1);
  CHECK(test.upstream.starts == 0);
  REQUIRE(announce(test.agent, test.upstream.address()) == 200);
  CHECK(wait_until(test.loop, [&] { return session.messages->grants == 2; }));
}

TEST_CASE("waiting tasks of a kind that a restarted upstream no longer serves do not start") {
  // Guards against tasks that start by what the earlier life of the upstream announced (review/13).
  fixture test;
  test_session session(test.loop, test.agent, 1);
  auto first = session.send(1, "hold");
  auto second = session.send(2, "hold");
  REQUIRE(wait_until(test.loop, [&] { return test.upstream.starts == 2; }));
  auto third = session.send(3, "a", 20'000, true);
  test.loop.wait(test.loop.sleep_for(50ms));
  REQUIRE(announce(test.agent, test.upstream.address(), "other") == 200);
  const auto end = test.loop.wait(kj::mv(third));
  CHECK(end.state == wire::TaskState::NOT_RUN);
  CHECK(end.cause == reason::kind_not_served);
  test.upstream.release();
  CHECK(test.loop.wait(kj::mv(first)).answer == "answer to hold");
  CHECK(test.loop.wait(kj::mv(second)).answer == "answer to hold");
  CHECK(test.upstream.starts == 2);
}

// Sends the given bytes in response to one request and closes the connection.
class scripted_upstream {
public:
  explicit scripted_upstream(std::string answer)
      : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this, answer = std::move(answer)] {
          auto socket = acceptor_.accept();
          std::array<char, 4096> buffer{};
          socket.read_some(asio::buffer(buffer));
          asio::write(socket, asio::buffer(answer));
        }) {}
  ~scripted_upstream() { thread_.join(); }
  scripted_upstream(const scripted_upstream&) = delete;
  scripted_upstream& operator=(const scripted_upstream&) = delete;
  endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

private:
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

TEST_CASE("a truncated answer is a failure") {
  // Guards P3: the caller receives the complete answer or none.
  fixture test;
  test_session session(test.loop, test.agent, 1);
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> answers{
      "",
      head + "Content-Length: 9\r\n\r\nabc",
      head + "\r\nabc",
      chunked + "3\r\nabc",
      chunked + "3\r\nabc\r",
      chunked + "3\r\nabc\r\n",
      chunked + "3\r\nabc\r\n0",
      chunked + "3\r\nabc\r\n0\r\n",
  };
  std::uint64_t sequence = 0;
  for (const auto& answer : answers) {
    CAPTURE(answer);
    scripted_upstream upstream(answer);
    REQUIRE(announce(test.agent, upstream.address()) == 200);
    const auto end = session.run(++sequence, "a");
    CHECK(end.state == wire::TaskState::FAILED);
    CHECK(end.cause == reason::upstream_disconnected);
  }
  scripted_upstream upstream(head + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    "3\r\nabc\r\n0\r\n\r\n");
  REQUIRE(announce(test.agent, upstream.address()) == 200);
  CHECK(session.run(++sequence, "a").answer == "abc");
}

TEST_CASE("a dispatch that waited in the socket while the agent was paused does not start late") {
  // Guards against a late start after a pause of the process: the budget runs from the time of
  // sending, so time spent in the socket counts.
  fixture test;
  test_session session(test.loop, test.agent, 1);
  test.agent.pause(800ms);
  const auto end = session.run(1, "a", 300);
  CHECK(end.state == wire::TaskState::NOT_RUN);
  CHECK(end.cause == reason::budget_exhausted);
  CHECK(test.upstream.starts == 0);
}

TEST_CASE("an incomplete announcement is refused") {
  // Guards against a truncated body being applied with wrong kinds or slots.
  fixture test;
  httplib::Client client(test.agent.announce.ip, test.agent.announce.port);
  const auto result = client.Post("/v1/announce", R"({"name":"u")", "application/json");
  REQUIRE(result);
  CHECK(result->status == 400);
}

} // namespace
} // namespace parsleylead

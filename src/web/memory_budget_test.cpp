#include "parsleylead/web/memory_budget.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace parsleylead {
namespace {

using std::chrono::seconds;

constexpr monotonic_time start{seconds(1'000)};

/// A budget whose connections release everything when they are shed.
struct budget_fixture {
  explicit budget_fixture(std::size_t max_bytes) : budget(max_bytes) {}

  connection_id admit(memory_budget::server_id server, int second) {
    const auto place = std::make_shared<connection_id>(0);
    const auto id = budget.admit(
        server,
        [this, place](shed_reason reason) {
          shed.push_back(*place);
          reasons.emplace_back(to_string(reason));
          budget.remove(*place);
        },
        start + seconds(second));
    REQUIRE(id);
    *place = *id;
    return *id;
  }

  memory_budget budget;
  std::vector<connection_id> shed;
  std::vector<std::string> reasons;
};

TEST_CASE("incomplete requests are shed first, the oldest first, over all servers") {
  // Guards against clients that hold the memory with requests that they never end.
  budget_fixture fixture(100);
  const auto callers = fixture.budget.add_server(10);
  const auto readiness = fixture.budget.add_server(10);
  const auto complete = fixture.admit(callers, 0);
  const auto young = fixture.admit(callers, 1);
  const auto old = fixture.admit(readiness, 2);
  fixture.budget.update(complete, request_phase::complete, 30, start + seconds(3));
  fixture.budget.update(old, request_phase::incomplete, 30, start + seconds(4));
  fixture.budget.update(young, request_phase::incomplete, 40, start + seconds(5));
  CHECK(fixture.shed.empty());
  // More bytes of the same request do not make it younger.
  fixture.budget.update(old, request_phase::incomplete, 31, start + seconds(6));
  CHECK(fixture.shed == std::vector{old});
  fixture.budget.update(complete, request_phase::complete, 61, start + seconds(7));
  CHECK(fixture.shed == std::vector{old, young});
  fixture.budget.update(complete, request_phase::complete, 101, start + seconds(8));
  CHECK(fixture.shed == std::vector{old, young, complete});
  CHECK(fixture.reasons == std::vector<std::string>{"incomplete", "incomplete", "not_accepted"});
  CHECK(fixture.budget.bytes() == 0);
}

TEST_CASE("a request with an accepted job is never shed, and a new one is refused instead") {
  budget_fixture fixture(100);
  const auto server = fixture.budget.add_server(2);
  const auto accepted = fixture.admit(server, 0);
  fixture.budget.update(accepted, request_phase::accepted, 150, start);
  CHECK(fixture.shed.empty());
  const auto newcomer = fixture.admit(server, 1);
  fixture.budget.update(newcomer, request_phase::incomplete, 10, start + seconds(2));
  CHECK(fixture.shed == std::vector{newcomer});
  // Neither does it make room for another connection.
  const auto second = fixture.admit(server, 3);
  fixture.budget.update(second, request_phase::accepted, 1, start + seconds(3));
  CHECK(!fixture.budget.admit(
      server, [](shed_reason) {}, start + seconds(4)));
  CHECK(fixture.shed.size() == 1);
}

TEST_CASE("the connection that makes no progress the longest makes room for another") {
  // Guards against silent clients that use up the descriptors.
  budget_fixture fixture(100);
  const auto server = fixture.budget.add_server(3);
  const auto other_server = fixture.budget.add_server(1);
  fixture.admit(other_server, 0);
  const auto first = fixture.admit(server, 1);
  const auto second = fixture.admit(server, 2);
  const auto third = fixture.admit(server, 3);
  fixture.budget.update(first, request_phase::complete, 1, start + seconds(4));
  fixture.budget.update(first, request_phase::idle, 1, start + seconds(5));
  fixture.budget.update(third, request_phase::incomplete, 1, start + seconds(6));
  fixture.admit(server, 7);
  fixture.admit(server, 8);
  CHECK(fixture.shed == std::vector{second, first});
  CHECK(fixture.reasons == std::vector<std::string>(2, "connection_limit"));
  CHECK(fixture.budget.counts().at(static_cast<std::size_t>(shed_reason::connection_limit)) == 2);
}

TEST_CASE("the memory of a closed connection counts until it is released") {
  // Guards against clients that disconnect while their requests are still worked on.
  budget_fixture fixture(100);
  const auto server = fixture.budget.add_server(1);
  const auto closed = fixture.admit(server, 0);
  fixture.budget.update(closed, request_phase::accepted, 90, start);
  fixture.budget.close(closed);
  CHECK(fixture.budget.bytes() == 90);
  CHECK(fixture.budget.under_pressure());
  const auto next = fixture.admit(server, 1);
  fixture.budget.update(next, request_phase::incomplete, 20, start + seconds(1));
  CHECK(fixture.shed == std::vector{next});
  fixture.budget.remove(closed);
  CHECK(fixture.budget.bytes() == 0);
}

} // namespace
} // namespace parsleylead

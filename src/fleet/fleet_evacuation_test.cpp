// Tests that entries and agents over TCP connections start nothing in an evacuated zone.

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <vector>

#include "fake_worker.hpp"
#include "parsleylead/fleet/fleet_agent.hpp"
#include "parsleylead/fleet/fleet_entry.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds test_limit{10};

fleet_job make_job(std::uint64_t id) {
  fleet_job job;
  job.id = id;
  job.terms = {"queue", "desk", milliseconds(500), 2.0, 3};
  job.answer_timeout = milliseconds(30'000);
  job.steps.push_back({});
  job.steps[0].count = 1;
  job.steps[0].needs = {1'000, 64, 0};
  job.steps[0].estimate = milliseconds(20);
  return job;
}

/// An agent of zone "a" with its worker, and entries that know no evacuations at first.
struct evacuable_fleet {
  fleet_entry& add_entry(const std::string& name) {
    fleet_entry_settings settings;
    settings.name = name;
    settings.incarnation = 100 + entries.size();
    settings.availability_zone = "b";
    settings.listen = free_address(io);
    addresses.push_back(to_string(settings.listen));
    entries.push_back(
        std::make_unique<fleet_entry>(io, settings, log, metrics, [](const route_update&) {}));
    REQUIRE(entries.back()->start().ok());
    return *entries.back();
  }

  /// Starts the agent with sessions to these entries.
  void start_agent(const std::vector<std::size_t>& linked) {
    fleet_agent_settings settings;
    settings.name = "agent";
    settings.incarnation = 5;
    settings.availability_zone = "a";
    agent.emplace(io, settings, worker, log, metrics);
    for (const auto entry : linked) {
      agent->add_members({{"", 0, addresses[entry], ""}});
    }
    agent->start();
    worker_announcement announced;
    announced.id = "w-1";
    announced.incarnation = 1;
    announced.service = "desk";
    announced.capacity = {32'000, 65'536, 0};
    agent->worker_announced(announced, [](const absl::Status&) {});
  }

  template <class Condition>
  bool run_until(Condition done, milliseconds within = test_limit) {
    const auto limit = std::chrono::steady_clock::now() + within;
    while (!done() && std::chrono::steady_clock::now() < limit) {
      io.run_one_for(milliseconds(20));
    }
    return done();
  }
  void run_for(milliseconds time) {
    run_until([] { return false; }, time);
  }
  bool logged(const std::string& text) { return log.buffered().find(text) != std::string::npos; }

  asio::io_context io;
  event_log log{"test"};
  metrics_registry metrics;
  fake_worker worker{io};
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<fleet_entry>> entries;
  std::optional<fleet_agent> agent;
};

TEST_CASE("an entry that does not know the evacuations places nothing") {
  // Guards against tasks of stored jobs that an entry restores and starts before its first read of
  // the evacuations: only callers were held until then.
  evacuable_fleet fleet;
  auto& entry = fleet.add_entry("entry");
  fleet.start_agent({0});
  REQUIRE(fleet.run_until([&] { return entry.has_worker(); }));
  std::optional<job_result> result;
  entry.submit(make_job(1), [&](const job_result& got) { result = got; });
  fleet.run_for(milliseconds(300));
  CHECK(fleet.worker.starts == 0);
  entry.evacuations_read(3, true, {});
  REQUIRE(fleet.run_until([&] { return result.has_value(); }));
  CHECK(result->verdict == job_verdict::completed);
}

TEST_CASE("an entry without the store learns from a peer that no zone is evacuated") {
  // Guards against an entry that never serves: its peer told it of changes only, so not of a first
  // state without any zone.
  evacuable_fleet fleet;
  auto& with_store = fleet.add_entry("entry-0");
  auto& without = fleet.add_entry("entry-1");
  without.add_members({{"", 0, fleet.addresses[0], ""}});
  fleet.run_for(milliseconds(300)); // The links are open before either knows anything.
  with_store.evacuations_read(3, true, {});
  // Without the message, the peers' periodic lists come every five seconds.
  CHECK(fleet.run_until([&] { return without.knows_evacuations(); }, milliseconds(2'000)));
}

TEST_CASE("an entry learns an evacuation and its end from a peer") {
  // Guards against starts by an entry that the store rejects while it serves others.
  evacuable_fleet fleet;
  auto& with_store = fleet.add_entry("entry-0");
  auto& without = fleet.add_entry("entry-1");
  without.add_members({{"", 0, fleet.addresses[0], ""}});
  fleet.start_agent({1});
  with_store.evacuations_read(3, true, {});
  REQUIRE(fleet.run_until([&] { return without.has_worker(); }));
  with_store.evacuations_read(4, false, {{"a", true}});
  REQUIRE(fleet.run_until([&] { return !without.has_worker(); }, milliseconds(1'000)));
  CHECK(fleet.metrics.value("parsleylead_evacuated_zones", {}) == 1);
  with_store.evacuations_read(5, false, {{"a", false}});
  CHECK(fleet.run_until([&] { return without.has_worker(); }, milliseconds(1'000)));
  CHECK(fleet.metrics.value("parsleylead_evacuated_zones", {}) == 0);
}

TEST_CASE("an agent returns the orders of an entry that does not know of the evacuation") {
  // Guards against starts that an entry orders that missed the operators' record.
  evacuable_fleet fleet;
  auto& outdated = fleet.add_entry("entry-0");
  auto& informed = fleet.add_entry("entry-1");
  outdated.evacuations_read(3, true, {});
  informed.evacuations_read(3, true, {});
  fleet.start_agent({0, 1});
  REQUIRE(fleet.run_until([&] { return outdated.has_worker() && informed.has_worker(); }));
  informed.evacuations_read(4, false, {{"a", true}});
  REQUIRE(fleet.run_until([&] { return fleet.logged("source=entry-1"); }));
  // The outdated entry has not heard of the agent's new state yet.
  REQUIRE(outdated.has_worker());
  std::optional<job_result> result;
  outdated.submit(make_job(1), [&](const job_result& got) { result = got; });
  REQUIRE(fleet.run_until([&] { return fleet.logged("outcome=not_started"); }));
  fleet.run_for(milliseconds(300));
  CHECK(fleet.worker.starts == 0);
  CHECK_FALSE(outdated.has_worker());
  informed.evacuations_read(5, false, {{"a", false}});
  REQUIRE(fleet.run_until([&] { return result.has_value(); }));
  CHECK(result->verdict == job_verdict::completed);
}

TEST_CASE("an entry learns an evacuation from the hello of an agent") {
  // Guards against starts by an entry that has just started and reaches agents only.
  evacuable_fleet fleet;
  auto& informed = fleet.add_entry("entry-0");
  informed.evacuations_read(3, true, {{"a", true}});
  fleet.start_agent({0});
  REQUIRE(fleet.run_until([&] { return fleet.logged("source=entry-0"); }));
  auto& started = fleet.add_entry("entry-1");
  fleet.agent->add_members({{"", 0, fleet.addresses[1], ""}});
  CHECK(fleet.run_until([&] { return fleet.logged("zone=a offset=3 source=agent"); }));
  std::optional<job_result> result;
  started.submit(make_job(1), [&](const job_result& got) { result = got; });
  fleet.run_for(milliseconds(300));
  CHECK(fleet.worker.starts == 0);
}

TEST_CASE("the state of an agent does not let an entry place tasks") {
  // Guards against starts on the word of an agent that had no session when the zone was evacuated:
  // all entries restart, and the store does not answer the first one.
  evacuable_fleet fleet;
  fleet.add_entry("entry-0").evacuations_read(3, true, {});
  fleet.start_agent({0});
  REQUIRE(fleet.run_until([&] { return fleet.entries[0]->has_worker(); }));
  fleet.entries[0].reset();
  auto& started = fleet.add_entry("entry-1");
  auto& peer = fleet.add_entry("entry-2");
  peer.add_members({{"", 0, fleet.addresses[1], ""}});
  fleet.agent->add_members({{"", 0, fleet.addresses[1], ""}});
  REQUIRE(fleet.run_until([&] { return started.has_worker(); }));
  std::optional<job_result> result;
  started.submit(make_job(1), [&](const job_result& got) { result = got; });
  fleet.run_for(milliseconds(300));
  CHECK_FALSE(peer.knows_evacuations());
  CHECK(fleet.worker.starts == 0);
  peer.evacuations_read(9, true, {{"a", true}});
  REQUIRE(fleet.run_until([&] { return started.knows_evacuations(); }));
  fleet.run_for(milliseconds(300));
  CHECK(fleet.worker.starts == 0);
}

} // namespace
} // namespace parsleylead

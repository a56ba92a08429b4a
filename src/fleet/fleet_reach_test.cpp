// Tests on sites with more entries than an agent has sessions, over TCP connections in one process.

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fake_worker.hpp"
#include "parsleylead/fleet/fleet_agent.hpp"
#include "parsleylead/fleet/fleet_entry.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds test_limit{10};

/// An agent with its worker, which keeps announcing itself.
struct host {
  host(asio::io_context& io, int number, worker_announcement announced, event_log& log,
       metrics_registry& metrics)
      : worker(io), announcement(std::move(announced)) {
    announcement.id = "w-" + std::to_string(number);
    announcement.incarnation = 1;
    announcement.capacity = {32'000, 65'536, 0};
    announcement.service = "desk";
    worker.id = announcement.id;
    settings.name = "agent-" + std::to_string(number);
    settings.incarnation = 100 + static_cast<std::uint64_t>(number);
    agent = std::make_unique<fleet_agent>(io, settings, worker, log, metrics);
  }

  void announce() {
    ++announcement.sequence;
    agent->worker_announced(announcement, [](const absl::Status&) {});
  }

  fake_worker worker;
  worker_announcement announcement;
  fleet_agent_settings settings;
  std::unique_ptr<fleet_agent> agent;
};

struct site {
  /// The first `special` workers have the label "b".
  site(int entry_count, int worker_count, int special) {
    for (int i = 0; i < entry_count; ++i) {
      const auto number = std::to_string(i);
      members.push_back({"entry-" + number, 1, to_string(addresses.emplace_back(free_address(io))),
                         "zone-" + std::to_string(i % 4)});
      entries.emplace_back();
      start_entry(static_cast<std::size_t>(i));
    }
    for (int i = 0; i < worker_count; ++i) {
      worker_announcement announced;
      if (i < special) {
        announced.labels = {"b"};
      }
      add_host(announced);
    }
  }

  /// Starts an entry, or a new process in the place of the present one.
  void start_entry(std::size_t number) {
    auto& entry = entries[number];
    entry.reset();
    fleet_entry_settings settings;
    settings.name = members[number].name;
    settings.incarnation = ++last_incarnation;
    settings.availability_zone = members[number].availability_zone;
    settings.listen = addresses[number];
    entry = std::make_unique<fleet_entry>(io, settings, log, metrics, [](const route_update&) {});
    REQUIRE(entry->start().ok());
    entry->evacuations_read(1, true, {});
    for (const auto& each : entries) {
      each->add_members(members);
    }
  }

  host& add_host(const worker_announcement& announced) {
    hosts.push_back(
        std::make_unique<host>(io, static_cast<int>(hosts.size()), announced, log, metrics));
    start_agent(*hosts.back());
    return *hosts.back();
  }

  void start_agent(host& started) {
    started.agent->add_members(members);
    started.agent->start();
    started.announce();
  }

  /// Replaces an agent by a new process.
  void restart_agent(host& restarted) {
    restarted.agent.reset();
    restarted.settings.incarnation = ++last_incarnation;
    restarted.agent =
        std::make_unique<fleet_agent>(io, restarted.settings, restarted.worker, log, metrics);
    start_agent(restarted);
  }

  void run_for(milliseconds time) {
    run_until([] { return false; }, time);
  }

  template <class Condition>
  bool run_until(Condition done, milliseconds within = test_limit) {
    const auto limit = std::chrono::steady_clock::now() + within;
    while (!done() && std::chrono::steady_clock::now() < limit) {
      io.run_one_for(milliseconds(20));
    }
    return done();
  }

  bool wait_for_sessions() {
    return run_until([&] {
      return std::all_of(hosts.begin(), hosts.end(), [&](const auto& each) {
        return each->agent->sessions() >= std::min<std::size_t>(6, entries.size());
      });
    });
  }

  bool is_ready() {
    return run_until([&] {
      return std::all_of(entries.begin(), entries.end(),
                         [](const auto& entry) { return entry->has_worker(); });
    });
  }

  /// Submits a job with one task to each entry and returns the results.
  std::vector<job_result> submit_to_all(const std::string& label) {
    std::vector<job_result> results;
    for (const auto& entry : entries) {
      entry->submit(make_job(label), [&](const job_result& result) { results.push_back(result); });
    }
    run_until([&] { return results.size() == entries.size(); });
    return results;
  }

  fleet_job make_job(const std::string& label) {
    fleet_job job;
    job.id = ++last_job;
    job.terms = {"queue", "desk", milliseconds(8'000), 2.0, 3};
    job.payload = "text";
    job.answer_timeout = milliseconds(30'000);
    job.steps.push_back({});
    job.steps[0].count = 1;
    job.steps[0].needs = {3'000, 64, 0};
    job.steps[0].estimate = milliseconds(20);
    job.steps[0].required_label = label;
    return job;
  }

  asio::io_context io;
  event_log log{"test"};
  metrics_registry metrics;
  std::vector<endpoint> addresses;
  std::vector<fleet_member> members;
  std::uint64_t last_incarnation = 1'000;
  std::vector<std::unique_ptr<fleet_entry>> entries;
  std::vector<std::unique_ptr<host>> hosts;
  std::uint64_t last_job = 0;
};

std::ptrdiff_t completed(const std::vector<job_result>& results) {
  return std::count_if(results.begin(), results.end(), [](const job_result& result) {
    return result.verdict == job_verdict::completed;
  });
}

TEST_CASE("each entry has its jobs run by the only worker of a kind") {
  // Guards against jobs that only the workers with a session to their entry can run: others were
  // refused, or waited for ever if they were stored. Review case 4.
  site fleet(14, 14, 1);
  REQUIRE(fleet.wait_for_sessions());
  REQUIRE(fleet.is_ready());
  const auto results = fleet.submit_to_all("b");
  CHECK(results.size() == 14);
  CHECK(completed(results) == 14);
  for (const auto& result : results) {
    CHECK(result.longest_wait < milliseconds(2'000));
  }
}

TEST_CASE("a job is refused if the site has no worker for it, and run once there is one") {
  // Guards against refusals while fitting workers are idle, and against searches that end for good.
  site fleet(8, 8, 0);
  REQUIRE(fleet.wait_for_sessions());
  auto results = fleet.submit_to_all("b");
  REQUIRE(results.size() == 8);
  for (const auto& result : results) {
    CHECK(result.verdict == job_verdict::not_run);
    CHECK(result.cause == job_cause::no_capable_worker);
    CHECK(result.elapsed >= milliseconds(1'500));
  }
  results = fleet.submit_to_all("b");
  REQUIRE(results.size() == 8);
  for (const auto& result : results) {
    CHECK(result.cause == job_cause::no_capable_worker);
    CHECK(result.elapsed < milliseconds(50)); // Known since the first job.
  }
  worker_announcement special;
  special.labels = {"b"};
  fleet.add_host(special);
  REQUIRE(fleet.run_until([&] { return fleet.hosts.back()->agent->sessions() == 8; }));
  CHECK(fleet.run_until([&] { return completed(fleet.submit_to_all("b")) == 8; }));
}

TEST_CASE("every entry reaches every kind of worker after restarts at random") {
  // Guards against searches that depend on the order in which processes start and end, and against
  // "no worker can run this" where there is one.
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto below = [&](std::size_t limit) {
      return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
    };
    site fleet(static_cast<int>(5 + below(15)), static_cast<int>(4 + below(10)), 0);
    const std::vector<std::string> kinds{"k0", "k1", "k2"};
    for (const auto& kind : kinds) {
      worker_announcement announced;
      announced.labels = {kind};
      fleet.add_host(announced);
    }
    fleet.run_for(milliseconds(below(1'000)));
    for (int fault = 0; fault < 10; ++fault) {
      if (below(2) == 0) {
        fleet.start_entry(below(fleet.entries.size()));
      } else {
        fleet.restart_agent(*fleet.hosts[below(fleet.hosts.size())]);
      }
      fleet.run_for(milliseconds(below(300)));
    }
    fleet.run_for(milliseconds(1'000));
    for (const auto& kind : kinds) {
      const auto results = fleet.submit_to_all(kind);
      CHECK(completed(results) == static_cast<std::ptrdiff_t>(fleet.entries.size()));
    }
    const auto results = fleet.submit_to_all("absent");
    CHECK(results.size() == fleet.entries.size());
    CHECK(completed(results) == 0);
  }
}

TEST_CASE("an entry that no agent has chosen gets a session and is ready") {
  // Guards against entries that are never ready on sites with many entries and few workers.
  site fleet(20, 2, 0);
  CHECK(fleet.is_ready());
}

TEST_CASE("jobs that wait for a busy worker run on an idle one of the same kind") {
  // Guards against jobs that wait for the only fitting worker in reach while others are idle.
  site fleet(14, 14, 2);
  REQUIRE(fleet.wait_for_sessions());
  REQUIRE(fleet.is_ready());
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < fleet.entries.size() && !chosen; ++i) {
    if (fleet.hosts[0]->agent->has_session(fleet.members[i].name) &&
        !fleet.hosts[1]->agent->has_session(fleet.members[i].name)) {
      chosen = i;
    }
  }
  REQUIRE(chosen.has_value());
  fleet.hosts[0]->worker.run_time = std::chrono::seconds(9);
  std::size_t done = 0;
  for (int i = 0; i < 12; ++i) { // Ten fit on one worker.
    fleet.entries[*chosen]->submit(fleet.make_job("b"), [&](const job_result& result) {
      done += result.verdict == job_verdict::completed ? 1 : 0;
    });
  }
  CHECK(fleet.run_until([&] { return done >= 2; }, std::chrono::seconds(4)));
  CHECK(fleet.hosts[1]->worker.starts >= 2);
}

TEST_CASE("an urgent job at an entry that reaches only busy workers runs in time on an idle one") {
  // Guards against urgent jobs that are late or refused because workers elsewhere on the site are
  // requested only after tasks have waited for longer than the objective.
  site fleet(10, 10, 0);
  REQUIRE(fleet.wait_for_sessions());
  REQUIRE(fleet.is_ready());
  const auto reaches = [&](std::size_t entry, const std::unique_ptr<host>& each) {
    return each->agent->has_session(fleet.members[entry].name);
  };
  std::size_t chosen = 0; // The entry with the fewest sessions.
  std::size_t in_reach = fleet.hosts.size();
  for (std::size_t i = 0; i < fleet.entries.size(); ++i) {
    const auto sessions =
        static_cast<std::size_t>(std::count_if(fleet.hosts.begin(), fleet.hosts.end(),
                                               [&](const auto& each) { return reaches(i, each); }));
    if (sessions > 0 && sessions < in_reach) {
      chosen = i;
      in_reach = sessions;
    }
  }
  auto& entry = *fleet.entries[chosen];
  for (auto& each : fleet.hosts) {
    each->worker.run_time = reaches(chosen, each) ? std::chrono::seconds(9) : milliseconds(20);
  }
  REQUIRE(in_reach < fleet.hosts.size());
  REQUIRE(fleet.run_until([&] { return entry.usable_workers() == in_reach; }));
  auto filling = fleet.make_job("");
  filling.steps[0].count = static_cast<std::uint32_t>(in_reach) * 10;
  filling.steps[0].estimate = std::chrono::seconds(9);
  entry.submit(filling, [](const job_result&) {});
  auto urgent = fleet.make_job("");
  urgent.terms.target = milliseconds(60);
  urgent.terms.stretch = 1.6;
  urgent.steps[0].estimate = milliseconds(50);
  std::optional<job_result> ended;
  entry.submit(urgent, [&](const job_result& result) { ended = result; });
  REQUIRE(fleet.run_until([&] { return ended.has_value(); }));
  CHECK(ended->verdict == job_verdict::completed);
  CHECK(ended->elapsed <= ended->objective);
}

TEST_CASE("requested sessions are closed when the need for them has ended") {
  // Guards against sessions that grow with each kind of task that was ever run.
  site fleet(12, 12, 1);
  REQUIRE(fleet.wait_for_sessions());
  REQUIRE(fleet.is_ready());
  CHECK(completed(fleet.submit_to_all("b")) == 12);
  const auto& special = *fleet.hosts.front()->agent;
  CHECK(special.sessions() == 12);
  CHECK(fleet.run_until([&] { return special.sessions() == 6; }, std::chrono::seconds(20)));
}

} // namespace
} // namespace parsleylead

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <tuple>

#include "../test_support.hpp"
#include "parsleylead/placement/worker_health.hpp"

namespace parsleylead {
namespace {

using change = worker_health::change;

/// Returns a tracker of the workers "0" to "9", of which "0" was ejected at 0 ms.
worker_health with_one_ejected() {
  worker_health health;
  for (int worker = 0; worker < 10; ++worker) {
    health.add_worker(std::to_string(worker));
  }
  health.record("1", "quote", false, at_ms(0));
  for (int failure = 0; failure < 5; ++failure) {
    health.record("0", "quote", true, at_ms(0));
  }
  REQUIRE(health.ejected("0"));
  return health;
}

TEST_CASE("worker_health: a worker is ejected after five failures only if others fail less") {
  // A kind that fails everywhere must not lead to the ejection of workers.
  worker_health health;
  for (int worker = 0; worker < 10; ++worker) {
    health.add_worker(std::to_string(worker));
  }
  for (int failure = 0; failure < 9; ++failure) {
    CHECK(health.record("0", "quote", true, at_ms(0)) == change::none);
  }
  CHECK(health.record("1", "check", false, at_ms(0)) == change::none);
  CHECK(health.record("0", "quote", true, at_ms(0)) == change::none);
  health.record("1", "quote", false, at_ms(0));
  CHECK(health.record("0", "quote", true, at_ms(0)) == change::ejected);
  CHECK(health.record("0", "quote", true, at_ms(0)) == change::none);
}

TEST_CASE("worker_health: an ejected worker gets one trial at a time with exponential backoff") {
  // A worker that still fails must not receive more than one task at a time.
  auto health = with_one_ejected();
  CHECK_FALSE(health.trial_due("0", at_ms(999)));
  CHECK(health.next_trial() == at_ms(1000));
  CHECK(health.trial_due("0", at_ms(1000)));
  health.begin_trial("0");
  CHECK_FALSE(health.trial_due("0", at_ms(9000)));
  // The late result of a task dispatched before the ejection is not the result of the trial.
  CHECK(health.record("0", "quote", false, at_ms(1001)) == change::none);
  CHECK(health.ejected("0"));
  std::int64_t now = 1000;
  for (const int backoff : {2, 4, 8, 16, 32, 60, 60}) {
    CHECK(health.record_trial("0", "quote", true, at_ms(now)) == change::none);
    now += std::int64_t{1000} * backoff;
    CHECK_FALSE(health.trial_due("0", at_ms(now - 1)));
    REQUIRE(health.trial_due("0", at_ms(now)));
    health.begin_trial("0");
  }
  health.abandon_trial("0", at_ms(now));
  now += 60'000;
  REQUIRE(health.trial_due("0", at_ms(now)));
  health.begin_trial("0");
  CHECK(health.record_trial("0", "quote", false, at_ms(now)) == change::readmitted);
  CHECK_FALSE(health.ejected("0"));
}

TEST_CASE("worker_health: removing workers re-admits ejected ones above the permitted share") {
  auto health = with_one_ejected();
  for (int worker = 3; worker < 9; ++worker) {
    CHECK(health.remove_worker(std::to_string(worker)).empty());
  }
  CHECK(health.remove_worker("9") == std::vector<std::string>{"0"});
  CHECK(health.ejected_count() == 0);
}

TEST_CASE("worker_health: a kind that fails on two workers is suspended for five seconds") {
  // A failing kind must not occupy slots, and a single faulty worker must not suspend a kind.
  worker_health health;
  health.add_worker("a");
  health.add_worker("b");
  for (int failure = 0; failure < 20; ++failure) {
    health.record("a", "quote", true, at_ms(0));
  }
  CHECK_FALSE(health.kind_suspended("quote", at_ms(0)));
  health.record("b", "quote", true, at_ms(0));
  CHECK(health.kind_suspended("quote", at_ms(4999)));
  CHECK_FALSE(health.kind_suspended("check", at_ms(1)));
  for (int failure = 0; failure < 20; ++failure) {
    health.record(failure % 2 == 0 ? "a" : "b", "quote", true, at_ms(100));
  }
  CHECK_FALSE(health.kind_suspended("quote", at_ms(5000)));
  for (int failure = 0; failure < 9; ++failure) {
    health.record(failure % 2 == 0 ? "a" : "b", "quote", true, at_ms(5000));
  }
  health.record("a", "quote", false, at_ms(5000));
  health.record("a", "quote", true, at_ms(5000));
  CHECK_FALSE(health.kind_suspended("quote", at_ms(5000)));
}

/// Reference implementation of the ejection rule (docs/design.md, D10) without incremental state.
struct reference_worker {
  std::deque<std::pair<std::string, bool>> recent;
  bool ejected = false;
};

bool should_eject(const std::map<std::string, reference_worker>& workers, const std::string& id) {
  std::size_t ejected = 0;
  std::map<std::string, bool> kinds;
  double own_failures = 0;
  for (const auto& [kind, failed] : workers.at(id).recent) {
    kinds[kind] = true;
    own_failures += failed ? 1 : 0;
  }
  double others = 0;
  double other_failures = 0;
  for (const auto& [name, worker] : workers) {
    ejected += worker.ejected ? 1 : 0;
    for (const auto& [kind, failed] : worker.recent) {
      if (name != id && kinds.contains(kind)) {
        ++others;
        other_failures += failed ? 1 : 0;
      }
    }
  }
  const auto own = own_failures / static_cast<double>(workers.at(id).recent.size());
  return own_failures >= 5 && others > 0 && other_failures / others < own / 2 &&
         static_cast<double>(ejected + 1) <= 0.3 * static_cast<double>(workers.size()) + 1e-9;
}

TEST_CASE("worker_health: random results lead to the same ejections as the reference rule") {
  // The incremental tallies must not diverge, nor the share of ejected workers exceed its limit.
  using event = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
  CHECK(check_property(41, [](const std::vector<event>& seeds) {
    worker_health health;
    std::map<std::string, reference_worker> model;
    for (int worker = 0; worker < 7; ++worker) {
      health.add_worker(std::to_string(worker));
      model[std::to_string(worker)];
    }
    std::int64_t now = 0;
    for (const auto& [pick, outcome, repeats] : seeds) {
      const auto id = std::to_string(pick % 7);
      const std::string kind = pick % 2 == 0 ? "quote" : "check";
      for (int repeat = 0; repeat <= repeats % 6; ++repeat) {
        now += 97;
        // Workers with a high number fail more often.
        const bool failed = (outcome + (repeat * 31)) % 10 < (pick % 7 > 3 ? 8 : 2);
        auto& state = model[id];
        if (state.ejected) {
          if (health.trial_due(id, at_ms(now))) {
            health.begin_trial(id);
            const auto result = health.record_trial(id, kind, failed, at_ms(now));
            RC_ASSERT((result == change::readmitted) == !failed);
            state.ejected = failed;
          }
          continue;
        }
        state.recent.emplace_back(kind, failed);
        if (state.recent.size() > 10) {
          state.recent.pop_front();
        }
        const bool expected = failed && should_eject(model, id);
        const auto result = health.record(id, kind, failed, at_ms(now));
        RC_ASSERT((result == change::ejected) == expected);
        if (expected) {
          state.ejected = true;
          state.recent.clear();
        }
        RC_ASSERT(health.ejected(id) == expected);
        RC_ASSERT(health.ejected_count() <= 2);
      }
    }
  }));
}

} // namespace
} // namespace parsleylead

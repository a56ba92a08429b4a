#include "parsleylead/fleet/waiting_counts.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

TEST_CASE("the counts of entries without a direct link are known through others") {
  // Guards against a pending count under half of the truth on sites with more entries than links:
  // each of 55 entries on a ring with two links knows the jobs that wait at all others.
  constexpr std::size_t entries = 55;
  constexpr std::int64_t interval = 50;
  std::vector<waiting_counts> ring;
  for (std::size_t i = 0; i < entries; ++i) {
    ring.emplace_back("entry-" + std::to_string(i));
  }
  std::int64_t now = 0;
  for (; now < 1'800; now += interval) {
    std::vector<std::vector<entry_counts>> reports;
    for (auto& entry : ring) {
      entry.set_own({{"desk", 2}}, at_ms(now));
      reports.push_back(entry.report(at_ms(now)));
    }
    for (std::size_t i = 0; i < entries; ++i) {
      ring[i].learn(reports[(i + 1) % entries], at_ms(now));
      ring[i].learn(reports[(i + entries - 1) % entries], at_ms(now));
    }
  }
  for (const auto& entry : ring) {
    CHECK(entry.of_others("desk", at_ms(now)) == 2 * (entries - 1));
    CHECK(entry.of_others("other", at_ms(now)) == 0);
  }
}

TEST_CASE("older counts do not replace newer ones, and all of them age") {
  // Guards against counts that circulate for good after their entry is gone.
  waiting_counts counts("entry-1");
  counts.learn({{"entry-2", std::chrono::milliseconds(100), {{"desk", 7}}}}, at_ms(1'000));
  counts.learn({{"entry-2", std::chrono::milliseconds(400), {{"desk", 3}}}}, at_ms(1'000));
  CHECK(counts.of_others("desk", at_ms(1'000)) == 7);
  counts.learn({{"entry-2", std::chrono::milliseconds(0), {}}}, at_ms(1'100));
  CHECK(counts.of_others("desk", at_ms(1'100)) == 0);
  counts.learn({{"entry-3", std::chrono::milliseconds(0), {{"desk", 1}}}}, at_ms(1'100));
  CHECK(counts.of_others("desk", at_ms(3'100)) == 0);
  CHECK(counts.report(at_ms(3'100)).empty());
}

TEST_CASE("an entry without waiting jobs sends nothing") {
  waiting_counts counts("entry-1");
  counts.set_own({}, at_ms(1'000));
  CHECK(counts.report(at_ms(1'000)).empty());
  counts.set_own({{"desk", 1}}, at_ms(2'000));
  CHECK(counts.report(at_ms(2'000)).size() == 1);
  counts.set_own({}, at_ms(2'100));
  REQUIRE(counts.report(at_ms(2'100)).size() == 1);
  CHECK(counts.report(at_ms(2'100))[0].counts.empty());
  counts.set_own({}, at_ms(9'000));
  CHECK(counts.report(at_ms(9'000)).empty());
}

} // namespace
} // namespace parsleylead

#include "announce_schedule.hpp"

#include <doctest/doctest.h>

namespace parsleylead {
namespace {

using namespace std::chrono_literals;
using addresses = std::vector<endpoint>;

const monotonic_time t0 = monotonic_time{} + 1h;
const endpoint seed{"127.0.0.1", 1};
const endpoint learned{"127.0.0.1", 2};

TEST_CASE("announcements back off, stop while a session is open and start again when it ends") {
  // Guards against frequent announcements to an absent entry, and against none after it returns.
  announce_schedule schedule(1s, 4s);
  schedule.add_seed(seed);
  CHECK(schedule.due({}, t0) == addresses{seed});
  CHECK(schedule.due({}, t0 + 1s).empty());
  schedule.on_announced(seed, false);
  CHECK(schedule.due({}, t0 + 1s) == addresses{seed});
  schedule.on_announced(seed, false);
  CHECK(schedule.due({}, t0 + 2s).empty());
  CHECK(schedule.due({seed}, t0 + 3s).empty());
  schedule.reset(seed);
  CHECK(schedule.due({}, t0 + 3s) == addresses{seed});
}

TEST_CASE("a learned entry is removed after repeated failures, a seed is not") {
  // Guards against a list that grows with each replaced entry.
  announce_schedule schedule(1s, 1s);
  schedule.add_seed(seed);
  schedule.add(learned);
  for (int i = 0; i < 30; ++i) {
    for (const auto& address : schedule.due({}, t0 + i * 1s)) {
      schedule.on_announced(address, false);
    }
  }
  CHECK(schedule.entries() == addresses{seed});
}

} // namespace
} // namespace parsleylead

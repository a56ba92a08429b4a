#include "parsleylead/fleet/crash_history.hpp"

#include <doctest/doctest.h>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

constexpr std::uint32_t deadly = 1;
constexpr std::uint32_t sound = 2;

TEST_CASE("crashes that are far apart confine no queue") {
  // Guards against confining a queue whose isolated tasks met two unrelated crashes.
  crash_history history;
  for (std::int64_t i = 0; i < 10; ++i) {
    history.record({deadly, true}, at_ms(10'000 * i));
    history.update(at_ms(10'000 * i));
    CHECK(!history.any_confined());
  }
}

TEST_CASE("a crash of many workers at once confines no queue") {
  // Guards against confining the only queue that the workers of a lost rack were running.
  crash_history history;
  for (std::int64_t i = 0; i < 100; ++i) {
    history.record({sound, false}, at_ms(i));
  }
  history.update(at_ms(100));
  CHECK(!history.any_confined());
}

TEST_CASE("a confined queue stays confined while its workers crash, and is released afterwards") {
  crash_history history;
  history.record({deadly, true}, at_ms(0));
  history.record({deadly, true}, at_ms(100));
  CHECK(history.update(at_ms(100)));
  CHECK(history.is_confined(deadly));
  CHECK(!history.is_confined(sound));
  for (std::int64_t i = 1; i < 20; ++i) {
    history.record({deadly, false}, at_ms(2'000 * i));
    CHECK(!history.update(at_ms(2'000 * i)));
    CHECK(history.is_confined(deadly));
  }
  CHECK(history.update(at_ms(60'000)));
  CHECK(!history.any_confined());
}

TEST_CASE("crashes of the only worker for a queue's isolated tasks confine the queue") {
  // Guards against a small service, whose single quarantined worker is down for 3.2 s after each
  // crash and then waits for its next isolated task, losing all other workers meanwhile.
  crash_history history;
  history.record({deadly, true}, at_ms(0));
  history.update(at_ms(0));
  history.record({deadly, true}, at_ms(3'800));
  history.update(at_ms(3'800));
  CHECK(history.is_confined(deadly));
}

TEST_CASE("a queue is released soon after its last crash, however many there were") {
  // Guards against a queue that stays confined for longer the more workers its tasks crashed.
  crash_history history;
  for (std::int64_t i = 0; i < 1'000; ++i) {
    history.record({deadly, true}, at_ms(10 * i));
    history.update(at_ms(10 * i));
  }
  CHECK(history.is_confined(deadly));
  history.update(at_ms(10'000 + 4'000));
  CHECK(history.is_confined(deadly));
  history.update(at_ms(10'000 + 6'000));
  CHECK(!history.any_confined());
}

} // namespace
} // namespace parsleylead

#include "parsleylead/observe/event_log.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <unistd.h>

namespace parsleylead {
namespace {

TEST_CASE("an event is written as one line of named fields") {
  event_log log("entry");
  log.write("job_ended", "job", "00ff", "ms", 12, "late", true, "cause", "a \"b\"\nc");
  const auto& line = log.buffered();
  CHECK(
      line.find("part=entry event=job_ended job=00ff ms=12 late=true cause=\"a \\\"b\\\" c\"\n") !=
      std::string::npos);
  CHECK(std::count(line.begin(), line.end(), '\n') == 1);
}

TEST_CASE("the rate limit of one event does not affect other events") {
  event_log log("entry");
  for (std::uint32_t i = 0; i < 3 * event_log::max_lines_per_second; ++i) {
    log.write("frequent", "number", i);
  }
  log.write("rare");
  const auto& lines = log.buffered();
  // Twice the limit, because a new second may start in between.
  CHECK(std::count(lines.begin(), lines.end(), '\n') <= 2 * event_log::max_lines_per_second + 1);
  CHECK(lines.find("event=rare") != std::string::npos);
}

TEST_CASE("a stalled reader causes dropped lines, but never blocks the writer") {
  // Guards against a process that blocks when its log is not read.
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  event_log log("entry", ends[1]);
  const std::string text(2'000, 'x');
  for (int i = 0; i < 1'000; ++i) {
    log.write("event_" + std::to_string(i % 10), "text", text);
    log.flush();
  }
  CHECK(log.dropped_lines() > 0);
  CHECK(log.buffered().size() <= event_log::max_buffered_bytes);
  close(ends[0]);
  close(ends[1]);
}

} // namespace
} // namespace parsleylead

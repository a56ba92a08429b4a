#include "parsleylead/fleet/answer_monitor.hpp"

#include <doctest/doctest.h>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

constexpr run_id first_run{{1, 0, 0}, 1};
constexpr run_id second_run{{2, 0, 0}, 1};

TEST_CASE("a start that is answered in time needs no list") {
  // Guards against additional requests to workers that lose no answer.
  answer_monitor monitor;
  monitor.start_sent(first_run, at_ms(0));
  CHECK(monitor.next_check() == at_ms(8));
  CHECK_FALSE(monitor.take_due_checks(at_ms(7)));
  monitor.start_answered(first_run);
  CHECK_FALSE(monitor.next_check());
  CHECK_FALSE(monitor.take_due_checks(at_ms(100)));
  CHECK_FALSE(monitor.losing_answers(at_ms(100)));
  CHECK(monitor.list_answer_time(at_ms(100)) == milliseconds(40));
}

TEST_CASE("starts without an answer are looked up once, together") {
  answer_monitor monitor;
  monitor.start_sent(first_run, at_ms(0));
  monitor.start_sent(second_run, at_ms(1));
  CHECK(monitor.take_due_checks(at_ms(9)));
  CHECK_FALSE(monitor.awaits_check(second_run));
  CHECK_FALSE(monitor.take_due_checks(at_ms(20)));
}

TEST_CASE("lists are requested redundantly, and are due sooner, for 3 s after a lost answer") {
  answer_monitor monitor;
  monitor.list_lost(at_ms(0));
  CHECK(monitor.losing_answers(at_ms(2'999)));
  CHECK(monitor.list_answer_time(at_ms(2'999)) == milliseconds(15));
  CHECK_FALSE(monitor.losing_answers(at_ms(3'000)));
  CHECK(monitor.list_answer_time(at_ms(3'000)) == milliseconds(40));
}

TEST_CASE("the answers of a slow worker do not count as lost") {
  // Guards against a worker that is suspected, and starts that are looked up, because its answers
  // take longer than those of others.
  answer_monitor monitor;
  for (int i = 0; i < 50; ++i) {
    monitor.answered(milliseconds(12));
  }
  monitor.answer_lost(at_ms(0));
  CHECK(monitor.list_answer_time(at_ms(1)) >= milliseconds(30));
  CHECK(monitor.start_check_delay() >= milliseconds(30));
  CHECK(monitor.start_check_delay() <= milliseconds(40));
}

TEST_CASE("a pause of the agent does not change how long answers may take") {
  answer_monitor monitor;
  for (int i = 0; i < 50; ++i) {
    monitor.answered(milliseconds(1));
  }
  monitor.answered(milliseconds(15));
  CHECK(monitor.start_check_delay() <= milliseconds(9));
}

TEST_CASE("a list request is given the full time after three lost ones in a row") {
  // Guards against a worker whose answers take 20 ms from now on and would all count as lost.
  answer_monitor monitor;
  for (int i = 0; i < 3; ++i) {
    monitor.list_lost(at_ms(i));
  }
  CHECK(monitor.list_answer_time(at_ms(3)) == milliseconds(40));
  monitor.list_answered();
  CHECK(monitor.list_answer_time(at_ms(4)) == milliseconds(15));
}

} // namespace
} // namespace parsleylead

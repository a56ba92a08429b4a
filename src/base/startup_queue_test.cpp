#include "parsleylead/base/startup_queue.hpp"

#include <doctest/doctest.h>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

TEST_CASE("requests that arrive just before a starting process is ready are kept in order") {
  // Guards against refusing requests in the milliseconds between the start of an entry and the
  // arrival of its first configuration.
  startup_queue<int> queue(at_ms(250), 3);
  CHECK(queue.hold(1, at_ms(0)));
  CHECK(queue.hold(2, at_ms(20)));
  CHECK(queue.take_expired(at_ms(20)).empty());
  CHECK(queue.release() == std::vector<int>{1, 2});
  CHECK(queue.release().empty());
}

TEST_CASE("held requests are limited in number and time, so that the others are refused at once") {
  startup_queue<int> queue(at_ms(250), 2);
  CHECK(queue.hold(1, at_ms(0)));
  CHECK(queue.hold(2, at_ms(0)));
  CHECK_FALSE(queue.hold(3, at_ms(0)));
  CHECK(queue.take_expired(at_ms(249)).empty());
  CHECK(queue.take_expired(at_ms(250)) == std::vector<int>{1, 2});
  CHECK_FALSE(queue.hold(4, at_ms(250)));
}

} // namespace
} // namespace parsleylead

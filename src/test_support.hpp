#pragma once

#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <string>
#include <utility>

#include "parsleylead/base/time.hpp"
#include "parsleylead/base/uuid.hpp"

namespace parsleylead {

/// Runs a RapidCheck property with a fixed seed; prints the counterexample of a failure.
template <class Testable>
bool check_property(std::uint64_t seed, Testable&& testable, int cases = 300) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  const auto result = rc::detail::checkTestable(std::forward<Testable>(testable),
                                                rc::detail::TestMetadata(), params);
  const auto passed = result.template is<rc::detail::SuccessResult>();
  if (!passed) {
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
  }
  return passed;
}

/// The same identifier at each call with the same number.
inline uuid test_id(unsigned number) {
  std::string digits(12, '0');
  for (auto digit = digits.rbegin(); digit != digits.rend(); ++digit) {
    *digit = static_cast<char>('0' + (number % 10));
    number /= 10;
  }
  return uuid::parse("00000000-0000-7000-8000-" + digits).value();
}

/// A moment of an injected clock.
inline monotonic_time at_ms(std::int64_t milliseconds) {
  return monotonic_time(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

} // namespace parsleylead

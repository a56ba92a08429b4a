#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>

namespace parsleylead {

/// Checks a RapidCheck property in a doctest case, with a fixed seed. For tests only.
template <class Property>
void check_property(Property property, int cases, int max_size) {
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = cases;
  params.maxSize = max_size;
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  CHECK_MESSAGE(result.template is<rc::detail::SuccessResult>(), message.str());
}

} // namespace parsleylead

#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace parsleylead {

/// Header fields in the order received; names in lower case.
using web_headers = std::vector<std::pair<std::string, std::string>>;

/// Value of the first field with this lower-case name; empty if there is none.
inline std::string_view find_header(const web_headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

/// One HTTP/1.1 request with its whole body.
struct web_request {
  std::string method;
  /// Path and query as sent.
  std::string target;
  web_headers headers;
  std::string body;
};

/// The part of a request's target that log lines show, since a target may have several kilobytes.
inline std::string_view logged_target(const web_request& request) {
  constexpr std::size_t max_logged_bytes = 256;
  return std::string_view(request.target).substr(0, max_logged_bytes);
}

/// One HTTP/1.1 response with its whole body.
struct web_response {
  int status = 200;
  web_headers headers;
  std::string body;
};

} // namespace parsleylead

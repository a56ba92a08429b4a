#include "parsleylead/base/endpoint.hpp"

#include <asio/ip/address.hpp>
#include <charconv>

#include "parsleylead/base/error.hpp"

namespace parsleylead {
namespace {

absl::Status invalid_endpoint(std::string_view text, std::string_view message) {
  return make_error(absl::StatusCode::kInvalidArgument, step::settings, "",
                    "address \"" + std::string(text) + "\": " + std::string(message));
}

} // namespace

absl::StatusOr<endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return invalid_endpoint(text, "expected ip:port");
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  asio::error_code error;
  const auto address = asio::ip::make_address(std::string(host), error);
  if (error) {
    return invalid_endpoint(text, "not an IP address");
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
    return invalid_endpoint(text, "port must be a number from 0 to 65535");
  }
  return endpoint{address.to_string(), port};
}

std::string to_string(const endpoint& value) {
  const bool is_v6 = value.ip.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + value.ip + "]" : value.ip;
  return host + ":" + std::to_string(value.port);
}

} // namespace parsleylead

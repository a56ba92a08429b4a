#include "upstream_announcement.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "parsleylead/base/error.hpp"

namespace parsleylead {
namespace {

using json = nlohmann::json;

// Limits the threads that an announcement can cause: each slot can need a thread of the agent.
constexpr std::uint32_t max_slots = 1024;
constexpr std::size_t max_name_length = 128;
constexpr std::size_t max_kinds = 256;

absl::Status invalid(std::string_view message) {
  return make_error(absl::StatusCode::kInvalidArgument, step::announce, "upstream", message);
}

// Names become part of URL paths and HTTP headers, so only safe characters are allowed.
bool is_name(const json& value) {
  if (!value.is_string()) {
    return false;
  }
  const auto& text = value.get_ref<const std::string&>();
  return !text.empty() && text.size() <= max_name_length &&
         std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return std::isalnum(character) != 0 || character == '-' || character == '_' ||
                  character == '.';
         });
}

template <class Number>
bool read_number(const json& document, const char* name, Number low, Number high, Number& target) {
  const auto position = document.find(name);
  if (position == document.end()) {
    return true;
  }
  if (!position->is_number_unsigned()) {
    return false;
  }
  const auto value = position->get<std::uint64_t>();
  if (value < low || value > high) {
    return false;
  }
  target = static_cast<Number>(value);
  return true;
}

absl::Status read_kinds(const json& document, std::vector<std::string>& kinds) {
  const auto position = document.find("kinds");
  if (position == document.end() || !position->is_array() || position->empty() ||
      position->size() > max_kinds) {
    return invalid("kinds: a list of 1 to 256 names is required");
  }
  for (const auto& kind : *position) {
    if (!is_name(kind)) {
      return invalid("kinds: a name consists of letters, digits, '-', '_' and '.'");
    }
    kinds.push_back(kind.get<std::string>());
  }
  std::sort(kinds.begin(), kinds.end());
  kinds.erase(std::unique(kinds.begin(), kinds.end()), kinds.end());
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<upstream_announcement> parse_announcement(std::string_view body,
                                                         const upstream_settings& defaults) {
  const auto document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return invalid("the body is not a JSON object");
  }
  upstream_announcement result;
  const auto name = document.find("name");
  if (name == document.end() || !is_name(*name)) {
    return invalid("name: a name of letters, digits, '-', '_' and '.' is required");
  }
  result.name = name->get<std::string>();
  const auto address = document.find("address");
  if (address == document.end() || !address->is_string()) {
    return invalid("address: \"ip:port\" is required");
  }
  const auto parsed = parse_endpoint(address->get<std::string>());
  if (!parsed.ok() || parsed->port == 0) {
    return invalid("address: \"ip:port\" with a numeric address is required");
  }
  result.address = *parsed;
  if (auto kinds = read_kinds(document, result.kinds); !kinds.ok()) {
    return kinds;
  }
  result.slots = defaults.slots;
  result.connections = defaults.connections;
  result.cores = defaults.cores;
  result.memory_mb = defaults.memory_mb;
  constexpr auto any_u32 = std::numeric_limits<std::uint32_t>::max();
  constexpr auto any_u64 = std::numeric_limits<std::uint64_t>::max();
  if (!read_number(document, "slots", 1U, max_slots, result.slots)) {
    return invalid("slots: a number from 1 to 1024 is required");
  }
  if (!read_number(document, "connections", 1U, any_u32, result.connections)) {
    return invalid("connections: a positive number is required");
  }
  if (!read_number(document, "cores", 0U, any_u32, result.cores)) {
    return invalid("cores: a number is required");
  }
  if (!read_number<std::uint64_t>(document, "memory_mb", 0U, any_u64, result.memory_mb)) {
    return invalid("memory_mb: a number is required");
  }
  return result;
}

} // namespace parsleylead

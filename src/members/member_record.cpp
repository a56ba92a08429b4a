#include "parsleylead/members/member_record.hpp"

#include <nlohmann/json.hpp>

namespace parsleylead {
namespace {

using nlohmann::json;

std::optional<std::string> text_field(const json& document, const char* name) {
  const auto found = document.find(name);
  if (found == document.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

} // namespace

std::string encode_member(const member_record& member) {
  return json{{"type", "entry"}, {"name", member.name}, {"address", to_string(member.address)}}
      .dump();
}

std::optional<member_record> decode_member(std::string_view payload) {
  const auto document = json::parse(payload, nullptr, false);
  if (!document.is_object() || text_field(document, "type") != "entry") {
    return std::nullopt;
  }
  const auto name = text_field(document, "name");
  const auto address = parse_endpoint(text_field(document, "address").value_or(""));
  if (!name || name->empty() || !address.ok() || address->port == 0) {
    return std::nullopt;
  }
  return member_record{*name, *address};
}

} // namespace parsleylead

#include "parsleylead/claim/claim_record.hpp"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

using json = nlohmann::json;

constexpr std::size_t max_entry_name_bytes = 128;
constexpr std::size_t max_state_bytes = 32;
constexpr std::size_t digest_digits = 16;

// Whether the text is unchanged by JSON encoding, which drops malformed UTF-8.
bool is_utf8(const std::string& text) {
  const json decoded =
      json::parse(json(text).dump(-1, ' ', false, json::error_handler_t::ignore), nullptr, false);
  return decoded.is_string() && decoded.get_ref<const std::string&>() == text;
}

std::string encode_digest(std::uint64_t digest) {
  std::array<char, digest_digits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, digest);
  return text.data();
}

std::optional<std::uint64_t> decode_digest(std::string_view text) {
  constexpr int hexadecimal = 16;
  std::uint64_t digest = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, digest, hexadecimal);
  const bool valid = text.size() == digest_digits && parsed_end == end && error == std::errc();
  return valid ? std::optional<std::uint64_t>(digest) : std::nullopt;
}

std::string to_text(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json to_json(const claim_item& item) {
  json object = {{"type", "claim"},
                 {"key", item.key.to_string()},
                 {"submission", item.submission.to_string()},
                 {"entry", item.entry_name},
                 {"address", item.entry_address}};
  if (item.digest) {
    object["digest"] = encode_digest(*item.digest);
  }
  return object;
}

json to_json(const release_item& item) {
  return {{"type", "release"},
          {"key", item.key.to_string()},
          {"submission", item.submission.to_string()}};
}

json to_json(const outcome_item& item) {
  json object = {{"type", "outcome"},
                 {"key", item.key.to_string()},
                 {"submission", item.submission.to_string()},
                 {"state", item.state}};
  if (item.answer && is_utf8(*item.answer)) {
    object["answer"] = *item.answer;
  }
  return object;
}

// The string member `name` if it has at most `max_bytes`, otherwise null.
const std::string* text_member(const json& object, const char* name, std::size_t max_bytes) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) {
    return nullptr;
  }
  const auto& text = found->get_ref<const std::string&>();
  return text.size() <= max_bytes ? &text : nullptr;
}

std::optional<uuid> id_member(const json& object, const char* name) {
  constexpr std::size_t id_bytes = 36;
  const std::string* text = text_member(object, name, id_bytes);
  return text == nullptr ? std::nullopt : uuid::parse(*text);
}

std::optional<claim_record_item> decode_claim(const json& object, const uuid& key,
                                              const uuid& submission) {
  const std::string* name = text_member(object, "entry", max_entry_name_bytes);
  const std::string* address = text_member(object, "address", max_entry_name_bytes);
  if (name == nullptr || address == nullptr || !parse_endpoint(*address).ok()) {
    return std::nullopt;
  }
  claim_item item{key, submission, *name, *address, std::nullopt};
  if (object.contains("digest")) {
    const std::string* text = text_member(object, "digest", digest_digits);
    item.digest = text == nullptr ? std::nullopt : decode_digest(*text);
    if (!item.digest) {
      return std::nullopt;
    }
  }
  return item;
}

std::optional<claim_record_item> decode_outcome(const json& object, const uuid& key,
                                                const uuid& submission) {
  const std::string* state = text_member(object, "state", max_state_bytes);
  if (state == nullptr || state->empty()) {
    return std::nullopt;
  }
  outcome_item item{key, submission, *state, std::nullopt};
  const auto answer = object.find("answer");
  if (answer != object.end()) {
    if (!answer->is_string()) {
      return std::nullopt;
    }
    item.answer = answer->get<std::string>();
  }
  return item;
}

std::optional<claim_record_item> decode_item(const json& object) {
  if (!object.is_object()) {
    return std::nullopt;
  }
  const std::string* type = text_member(object, "type", max_state_bytes);
  const auto key = id_member(object, "key");
  const auto submission = id_member(object, "submission");
  if (type == nullptr || !key || !submission) {
    return std::nullopt;
  }
  if (*type == "claim") {
    return decode_claim(object, *key, *submission);
  }
  if (*type == "release") {
    return release_item{*key, *submission};
  }
  return *type == "outcome" ? decode_outcome(object, *key, *submission) : std::nullopt;
}

std::optional<uuid> decode_id(const json& object) {
  if (!object.is_object()) {
    return std::nullopt;
  }
  const std::string* type = text_member(object, "type", max_state_bytes);
  return type != nullptr && *type == "record" ? id_member(object, "id") : std::nullopt;
}

} // namespace

std::string encode_claim_record(const claim_record& record) {
  json items = json::array();
  items.push_back({{"type", "record"}, {"id", record.id.to_string()}});
  for (const claim_record_item& item : record.items) {
    items.push_back(std::visit([](const auto& alternative) { return to_json(alternative); }, item));
  }
  return to_text(items);
}

decoded_claim_record decode_claim_record(std::string_view payload) {
  decoded_claim_record record;
  const json items = json::parse(payload, nullptr, false);
  if (!items.is_array() || items.empty()) {
    record.bad_items = 1;
    return record;
  }
  record.id = decode_id(items.front());
  for (std::size_t i = record.id ? 1 : 0; i < items.size(); ++i) {
    auto item = decode_item(items[i]);
    if (item) {
      record.items.push_back(std::move(*item));
    } else {
      ++record.bad_items;
    }
  }
  return record;
}

std::string claim_stream(const uuid& key, std::uint32_t partitions) {
  check_invariant(partitions > 0, "claim: the number of partitions is zero");
  const std::string text = key.to_string();
  return "claims-" + std::to_string(XXH3_64bits(text.data(), text.size()) % partitions);
}

} // namespace parsleylead

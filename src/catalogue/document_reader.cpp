#include "document_reader.hpp"

#include <algorithm>

namespace parsleylead {
namespace {

using json = nlohmann::json;

// A snapshot must fit into a message between processes, which is limited to 8 MiB.
constexpr std::size_t max_document_bytes = 4UL * 1024 * 1024;
// Copying or formatting a deeper document could exhaust the stack.
constexpr int max_depth = 16;
constexpr std::size_t max_quoted_bytes = 80;
constexpr std::size_t max_name_bytes = 64;
constexpr const char* name_format =
    "1 to 64 letters, digits and \". _ -\", beginning with a letter or digit";

bool is_alphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_name(const std::string& text) {
  const auto is_name_character = [](char c) {
    return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= max_name_bytes && is_alphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), is_name_character);
}

std::string to_error_text(const json& value) {
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > max_quoted_bytes) {
    text.resize(max_quoted_bytes);
    text.append("...");
  }
  return text;
}

std::string describe_range(std::uint64_t min, std::uint64_t max) {
  return "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
}

} // namespace

document_reader::document_reader(const json& object, std::string path, catalogue_errors& errors)
    : object_(object), path_(std::move(path)), errors_(errors) {
  if (!object_.is_object()) {
    errors_.push_back({path_, to_error_text(object_), "an object"});
  }
}

std::string document_reader::path_of(const char* name) const {
  return path_.empty() ? std::string(name) : path_ + "." + name;
}

const json* document_reader::member(const char* name, std::string_view allowed, bool required) {
  known_members_.insert(name);
  if (!object_.is_object()) {
    return nullptr;
  }
  const auto found = object_.find(name);
  if (found != object_.end()) {
    return &*found;
  }
  if (required) {
    errors_.push_back({path_of(name), "", std::string(allowed)});
  }
  return nullptr;
}

void document_reader::reject(const char* name, std::string allowed) {
  errors_.push_back({path_of(name), to_error_text(object_[name]), std::move(allowed)});
}

std::uint64_t document_reader::number(const char* name, std::uint64_t min, std::uint64_t max) {
  member(name, describe_range(min, max), true);
  return number_or(name, min, min, max);
}

std::uint64_t document_reader::number_or(const char* name, std::uint64_t fallback,
                                         std::uint64_t min, std::uint64_t max) {
  const json* found = member(name, "", false);
  if (found == nullptr) {
    return fallback;
  }
  if (!found->is_number_unsigned() || found->get<std::uint64_t>() < min ||
      found->get<std::uint64_t>() > max) {
    reject(name, describe_range(min, max));
    return fallback;
  }
  return found->get<std::uint64_t>();
}

bool document_reader::boolean(const char* name) {
  const json* found = member(name, "true or false", true);
  if (found == nullptr) {
    return false;
  }
  if (!found->is_boolean()) {
    reject(name, "true or false");
    return false;
  }
  return found->get<bool>();
}

std::string document_reader::name(const char* name) {
  const json* found = member(name, name_format, true);
  if (found == nullptr) {
    return {};
  }
  if (!found->is_string() || !is_name(found->get_ref<const std::string&>())) {
    reject(name, name_format);
    return {};
  }
  return found->get<std::string>();
}

std::string document_reader::choice(const char* name,
                                    const std::vector<std::string_view>& allowed) {
  std::string choices = "one of";
  for (const std::string_view text : allowed) {
    choices.append(" \"").append(text).append("\"");
  }
  const json* found = member(name, choices, true);
  if (found == nullptr) {
    return {};
  }
  const bool is_allowed =
      found->is_string() && std::find(allowed.begin(), allowed.end(),
                                      found->get_ref<const std::string&>()) != allowed.end();
  if (!is_allowed) {
    reject(name, choices);
    return {};
  }
  return found->get<std::string>();
}

uuid document_reader::id(const char* name) {
  constexpr const char* allowed = "a UUID";
  const json* found = member(name, allowed, true);
  if (found == nullptr) {
    return {};
  }
  const auto parsed =
      found->is_string() ? uuid::parse(found->get_ref<const std::string&>()) : std::nullopt;
  if (!parsed) {
    reject(name, allowed);
    return {};
  }
  return *parsed;
}

void document_reader::reject_unknown() {
  if (!object_.is_object()) {
    return;
  }
  for (const auto& [name, value] : object_.items()) {
    if (known_members_.count(name) == 0) {
      errors_.push_back({path_of(name.c_str()), to_error_text(value), "no such member"});
    }
  }
}

std::optional<json> parse_document(std::string_view text, bool allow_comments,
                                   catalogue_errors& errors) {
  if (text.size() > max_document_bytes) {
    errors.push_back({"", std::to_string(text.size()) + " bytes",
                      "at most " + std::to_string(max_document_bytes) + " bytes"});
    return std::nullopt;
  }
  std::vector<std::set<std::string>> open_objects;
  bool too_deep = false;
  const auto check_members = [&](int depth, json::parse_event_t event, json& parsed) {
    if (depth > max_depth) {
      too_deep = true;
      return false;
    }
    if (event == json::parse_event_t::object_start) {
      open_objects.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      open_objects.pop_back();
    } else if (event == json::parse_event_t::key &&
               !open_objects.back().insert(parsed.get<std::string>()).second) {
      errors.push_back({parsed.get<std::string>(), "", "each member of an object once"});
    }
    return true;
  };
  json document = json::parse(text, check_members, false, allow_comments);
  if (too_deep) {
    errors.push_back({"", "", "at most " + std::to_string(max_depth) + " levels"});
    return std::nullopt;
  }
  if (document.is_discarded()) {
    errors.push_back({"", "", "a JSON document"});
    return std::nullopt;
  }
  return document;
}

} // namespace parsleylead

#include "object_reader.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>

namespace parsleylead {
namespace {

constexpr std::size_t max_identifier_size = 64;

/// Levenshtein distance, to suggest a known field for an unknown one.
std::size_t edit_distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

std::string quote(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

std::string to_error_text(const nlohmann::json& value) {
  constexpr std::size_t max_text_bytes = 80;
  std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > max_text_bytes) {
    text = text.substr(0, max_text_bytes) + "...";
  }
  return text;
}

bool is_alphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

/// The same rule as for names in the catalogue, so that a drain entry can name every process.
bool is_identifier(std::string_view text) {
  const auto is_allowed = [](char c) {
    return is_alphanumeric(c) || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= max_identifier_size && is_alphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

/// Reports fields that are repeated in one object, which the JSON parser accepts silently.
class duplicate_finder {
public:
  explicit duplicate_finder(std::vector<setting_error>& errors) : errors_(&errors) {}

  void on_event(nlohmann::json::parse_event_t event, const nlohmann::json& parsed) {
    using event_t = nlohmann::json::parse_event_t;
    if (event == event_t::object_start) {
      names_.emplace_back();
    } else if (event == event_t::object_end) {
      names_.pop_back();
    } else if (event == event_t::key && !names_.back().insert(parsed.get<std::string>()).second) {
      errors_->push_back({parsed.get<std::string>(), "the field twice in one object", "once"});
    }
  }

private:
  std::vector<setting_error>* errors_;
  std::vector<std::set<std::string>> names_;
};

} // namespace

object_reader::object_reader(const nlohmann::json* value, std::string path,
                             std::vector<setting_error>& errors)
    : value_(value), path_(std::move(path)), errors_(&errors) {
  if (value_ != nullptr && !value_->is_object()) {
    errors_->push_back({path_, to_error_text(*value_), "an object"});
    value_ = nullptr;
  }
}

object_reader object_reader::object(std::string_view name) {
  return {find(name, presence::optional, "an object"), path_of(name), *errors_};
}

void object_reader::ratio(std::string_view name, double& target) {
  constexpr auto allowed = "a number from 0 to 1";
  const auto* found = find(name, presence::optional, allowed);
  if (found == nullptr) {
    return;
  }
  if (!found->is_number() || found->get<double>() < 0 || found->get<double>() > 1) {
    add_error(name, to_error_text(*found), allowed);
    return;
  }
  target = found->get<double>();
}

void object_reader::text(std::string_view name, std::string& target) {
  constexpr auto allowed = "a string";
  const auto* found = find(name, presence::optional, allowed);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string()) {
    add_error(name, to_error_text(*found), allowed);
    return;
  }
  target = found->get<std::string>();
}

void object_reader::identifier(std::string_view name, std::string& target) {
  constexpr auto allowed =
      "1 to 64 letters, digits, '-', '_' or '.', beginning with a letter or digit";
  const auto* found = find(name, presence::required, allowed);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string() || !is_identifier(found->get_ref<const std::string&>())) {
    add_error(name, to_error_text(*found), allowed);
    return;
  }
  target = found->get<std::string>();
}

void object_reader::choice(std::string_view name, std::string& target,
                           const std::vector<std::string_view>& allowed) {
  std::string names;
  for (const auto option : allowed) {
    names.append(names.empty() ? "" : ", ").append(quote(option));
  }
  const auto* found = find(name, presence::optional, names);
  if (found == nullptr) {
    return;
  }
  const bool listed =
      found->is_string() && std::find(allowed.begin(), allowed.end(),
                                      found->get_ref<const std::string&>()) != allowed.end();
  if (!listed) {
    add_error(name, to_error_text(*found), names);
    return;
  }
  target = found->get<std::string>();
}

void object_reader::address(std::string_view name, endpoint& target) {
  const auto* found = find(name, presence::required, "an address \"ip:port\"");
  if (found != nullptr) {
    read_address(*found, path_of(name), target);
  }
}

void object_reader::optional_address(std::string_view name, std::optional<endpoint>& target) {
  const auto* found = find(name, presence::optional, "an address \"ip:port\"");
  endpoint address;
  if (found == nullptr || !read_address(*found, path_of(name), address)) {
    return;
  }
  if (address.port == 0) {
    add_error(name, to_error_text(*found), "an address \"ip:port\" with a port other than 0");
    return;
  }
  target = std::move(address);
}

void object_reader::addresses(std::string_view name, std::vector<endpoint>& target,
                              presence required_presence) {
  constexpr auto allowed = "a list of addresses \"ip:port\"";
  const auto* found = find(name, required_presence, allowed);
  if (found == nullptr) {
    return;
  }
  if (!found->is_array() || (found->empty() && required_presence == presence::required)) {
    add_error(name, to_error_text(*found),
              required_presence == presence::required ? "a list of at least one address" : allowed);
    return;
  }
  std::vector<endpoint> parsed;
  for (std::size_t i = 0; i < found->size(); ++i) {
    endpoint address;
    const std::string item_path = path_of(name) + "[" + std::to_string(i) + "]";
    if (!read_address((*found)[i], item_path, address)) {
      continue;
    }
    if (std::find(parsed.begin(), parsed.end(), address) != parsed.end()) {
      errors_->push_back({item_path, to_error_text((*found)[i]), "each address once"});
    }
    parsed.push_back(std::move(address));
  }
  target = std::move(parsed);
}

void object_reader::add_error(std::string_view name, std::string value, std::string allowed) {
  errors_->push_back({path_of(name), std::move(value), std::move(allowed)});
}

void object_reader::reject_unknown_fields() {
  if (value_ == nullptr) {
    return;
  }
  for (const auto& item : value_->items()) {
    if (std::find(known_fields_.begin(), known_fields_.end(), item.key()) != known_fields_.end()) {
      continue;
    }
    const auto nearest = std::min_element(
        known_fields_.begin(), known_fields_.end(), [&](const auto& a, const auto& b) {
          return edit_distance(a, item.key()) < edit_distance(b, item.key());
        });
    add_error(item.key(), "an unknown field",
              nearest == known_fields_.end() ? "no field"
                                             : "the nearest known field is " + quote(*nearest));
  }
}

const nlohmann::json* object_reader::find(std::string_view name, presence required_presence,
                                          std::string_view allowed) {
  known_fields_.emplace_back(name);
  if (value_ != nullptr) {
    const auto found = value_->find(std::string(name));
    if (found != value_->end()) {
      return &*found;
    }
  }
  if (required_presence == presence::required) {
    add_error(name, "nothing", std::string(allowed));
  }
  return nullptr;
}

bool object_reader::read_integer(std::string_view name, std::int64_t& target,
                                 integer_range allowed) {
  const std::string range =
      "an integer from " + std::to_string(allowed.min) + " to " + std::to_string(allowed.max);
  const auto* found = find(name, presence::optional, range);
  if (found == nullptr) {
    return false;
  }
  // An unsigned value above the signed range must not wrap to a negative number.
  const bool fits = found->is_number_integer() &&
                    (!found->is_number_unsigned() ||
                     found->get<std::uint64_t>() <= static_cast<std::uint64_t>(allowed.max));
  if (!fits || found->get<std::int64_t>() < allowed.min ||
      found->get<std::int64_t>() > allowed.max) {
    add_error(name, to_error_text(*found), range);
    return false;
  }
  target = found->get<std::int64_t>();
  return true;
}

bool object_reader::read_address(const nlohmann::json& value, const std::string& path,
                                 endpoint& target) {
  if (value.is_string()) {
    auto parsed = parse_endpoint(value.get_ref<const std::string&>());
    if (parsed.ok()) {
      target = *std::move(parsed);
      return true;
    }
  }
  errors_->push_back(
      {path, to_error_text(value), "an address \"ip:port\" with a numeric IP address"});
  return false;
}

std::string object_reader::path_of(std::string_view name) const {
  return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

nlohmann::json parse_settings_text(std::string_view text, std::vector<setting_error>& errors) {
  duplicate_finder duplicates(errors);
  const auto on_event = [&](int, nlohmann::json::parse_event_t event, nlohmann::json& parsed) {
    duplicates.on_event(event, parsed);
    return true;
  };
  try {
    return nlohmann::json::parse(text, on_event, true, true);
  } catch (const nlohmann::json::exception& error) {
    errors.push_back({"", error.what(), "JSON with comments"});
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

bool read_settings_file(const std::string& path, std::string& text,
                        std::vector<setting_error>& errors) {
  std::ifstream file(path);
  std::ostringstream content;
  // A directory can be opened; reading it fails here.
  if (!file || !(content << file.rdbuf())) {
    errors.push_back({"", "file \"" + path + "\" (" + std::strerror(errno) + ")",
                      "a readable file that is not empty"});
    return false;
  }
  text = std::move(content).str();
  return true;
}

void require_unique_addresses(object_reader& reader, const std::vector<named_address>& addresses) {
  for (auto it = addresses.begin(); it != addresses.end(); ++it) {
    const auto first = std::find_if(addresses.begin(), it, [&](const named_address& earlier) {
      return earlier.address == it->address;
    });
    if (it->address.port != 0 && first != it) {
      reader.add_error(it->field, quote(to_string(it->address)),
                       "an address other than that of " + std::string(first->field));
    }
  }
}

} // namespace parsleylead

#include "parsleylead/catalogue/catalogue_codec.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>
#include <type_traits>

#include "document_reader.hpp"

namespace parsleylead {
namespace {

using json = nlohmann::json;

constexpr std::uint64_t max_offset = std::numeric_limits<std::int64_t>::max();
// Upper bounds far above the target scale (docs/design.md, section 1.7), to detect typing errors.
constexpr std::uint64_t max_count = 1'000'000;
constexpr std::uint64_t max_job_tasks = 10'000;
constexpr std::uint64_t max_budget_ms = 3'600'000;
constexpr std::uint64_t max_cores = 1024;
constexpr std::uint64_t max_memory_mb = 16UL * 1024 * 1024;

std::string dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json to_json(const catalogue_value& value) {
  if (const auto* kind = std::get_if<kind_definition>(&value)) {
    return {{"owner", kind->owner},
            {"class", to_string(kind->urgency)},
            {"idempotent", kind->idempotent},
            {"needs", {{"cores", kind->needs.cores}, {"memory_mb", kind->needs.memory_mb}}},
            {"limits",
             {{"in_flight", kind->limits.in_flight},
              {"queue", kind->limits.queue},
              {"rate_per_s", kind->limits.rate_per_s},
              {"job_tasks", kind->limits.job_tasks},
              {"budget_ms", kind->limits.budget.count()}}}};
  }
  if (const auto* quota = std::get_if<owner_quota>(&value)) {
    return {{"in_flight", quota->in_flight}, {"rate_per_s", quota->rate_per_s}};
  }
  return json::object();
}

std::uint32_t read_count(document_reader& reader, const char* name, std::uint64_t max) {
  return static_cast<std::uint32_t>(reader.number(name, 1, max));
}

kind_limits read_limits(const json& object, std::string path, catalogue_errors& errors) {
  document_reader reader(object, std::move(path), errors);
  kind_limits limits;
  limits.in_flight = read_count(reader, "in_flight", max_count);
  limits.queue = read_count(reader, "queue", max_count);
  limits.rate_per_s = read_count(reader, "rate_per_s", max_count);
  limits.job_tasks = read_count(reader, "job_tasks", max_job_tasks);
  limits.budget = std::chrono::milliseconds(reader.number("budget_ms", 1, max_budget_ms));
  reader.reject_unknown();
  return limits;
}

kind_needs read_needs(const json& object, std::string path, catalogue_errors& errors) {
  document_reader reader(object, std::move(path), errors);
  kind_needs needs;
  needs.cores = static_cast<std::uint32_t>(reader.number_or("cores", 0, 0, max_cores));
  needs.memory_mb = reader.number_or("memory_mb", 0, 0, max_memory_mb);
  reader.reject_unknown();
  return needs;
}

kind_class parse_class(const std::string& text) {
  if (text == "urgent") {
    return kind_class::urgent;
  }
  return text == "batch" ? kind_class::batch : kind_class::normal;
}

kind_definition read_kind(const json& object, const std::string& path, catalogue_errors& errors) {
  document_reader reader(object, path, errors);
  kind_definition kind;
  kind.owner = reader.name("owner");
  kind.urgency = parse_class(reader.choice("class", {"urgent", "normal", "batch"}));
  kind.idempotent = reader.boolean("idempotent");
  if (const json* needs = reader.member("needs", "an object", false)) {
    kind.needs = read_needs(*needs, reader.path_of("needs"), errors);
  }
  if (const json* limits = reader.member("limits", "an object", true)) {
    kind.limits = read_limits(*limits, reader.path_of("limits"), errors);
  }
  reader.reject_unknown();
  return kind;
}

owner_quota read_owner(const json& object, const std::string& path, catalogue_errors& errors) {
  document_reader reader(object, path, errors);
  owner_quota quota;
  quota.in_flight = read_count(reader, "in_flight", max_count);
  quota.rate_per_s = read_count(reader, "rate_per_s", max_count);
  reader.reject_unknown();
  return quota;
}

catalogue_value read_value(subject_type type, const json& object, const std::string& path,
                           catalogue_errors& errors) {
  switch (type) {
  case subject_type::kind:
    return read_kind(object, path, errors);
  case subject_type::owner:
    return read_owner(object, path, errors);
  case subject_type::drain:
    break;
  }
  document_reader(object, path, errors).reject_unknown();
  return drain_request{};
}

void write_subject(json& object, const catalogue_subject& subject) {
  object["subject"] = to_string(subject.type);
  object["name"] = subject.name;
}

// Returns nothing if the type is unknown, because the value cannot be checked then.
std::optional<catalogue_subject> read_subject(document_reader& reader) {
  const std::string type = reader.choice("subject", {"kind", "owner", "drain"});
  std::string name = reader.name("name");
  if (type.empty()) {
    return std::nullopt;
  }
  if (type == "kind") {
    return catalogue_subject{subject_type::kind, std::move(name)};
  }
  const auto parsed = type == "owner" ? subject_type::owner : subject_type::drain;
  return catalogue_subject{parsed, std::move(name)};
}

catalogue_entry read_entry(document_reader& reader, catalogue_errors& errors) {
  catalogue_entry entry;
  const auto subject = read_subject(reader);
  const json* value = reader.member("value", "an object", true);
  if (subject) {
    entry.subject = *subject;
  }
  if (subject && value != nullptr) {
    entry.value = read_value(subject->type, *value, reader.path_of("value"), errors);
  }
  return entry;
}

json to_json(const catalogue_entry& entry) {
  json object;
  write_subject(object, entry.subject);
  object["value"] = to_json(entry.value);
  return object;
}

template <typename T>
decode_result<T> make_decoded(T value, catalogue_errors errors) {
  if (!errors.empty()) {
    return {std::nullopt, std::move(errors)};
  }
  return {std::move(value), {}};
}

json to_json(const catalogue_snapshot& snapshot) {
  json entries = json::array();
  for (const revised_entry& item : snapshot.entries) {
    json object = to_json(item.entry);
    object["revision"] = item.revision;
    object["change"] = item.change_id.to_string();
    entries.push_back(std::move(object));
  }
  json tombstones = json::array();
  for (const tombstone& item : snapshot.tombstones) {
    json object;
    write_subject(object, item.subject);
    object["revision"] = item.revision;
    object["change"] = item.change_id.to_string();
    object["removed_ms"] = item.removal_time.time_since_epoch().count();
    tombstones.push_back(std::move(object));
  }
  return {{"type", "snapshot"},
          {"covered", snapshot.covered_offset},
          {"entries", std::move(entries)},
          {"tombstones", std::move(tombstones)}};
}

std::uint64_t digest_of(const json& snapshot) {
  const std::string text = dump(snapshot);
  return XXH3_64bits(text.data(), text.size());
}

std::string hex(std::uint64_t value) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) {
    text.push_back(digits[(value >> static_cast<unsigned>(shift)) & 0x0F]);
  }
  return text;
}

std::string item_path(const char* list, std::size_t index) {
  return std::string(list) + "[" + std::to_string(index) + "]";
}

std::vector<revised_entry> read_entries(const json& list, std::uint64_t covered_offset,
                                        catalogue_errors& errors) {
  std::vector<revised_entry> entries;
  for (std::size_t i = 0; i < list.size(); ++i) {
    document_reader reader(list[i], item_path("entries", i), errors);
    revised_entry item;
    item.entry = read_entry(reader, errors);
    item.revision = reader.number("revision", 1, covered_offset);
    item.change_id = reader.id("change");
    reader.reject_unknown();
    entries.push_back(std::move(item));
  }
  return entries;
}

std::vector<tombstone> read_tombstones(const json& list, std::uint64_t covered_offset,
                                       catalogue_errors& errors) {
  std::vector<tombstone> tombstones;
  for (std::size_t i = 0; i < list.size(); ++i) {
    document_reader reader(list[i], item_path("tombstones", i), errors);
    tombstone item;
    item.subject = read_subject(reader).value_or(catalogue_subject{});
    item.revision = reader.number("revision", 1, covered_offset);
    item.change_id = reader.id("change");
    item.removal_time = wall_time(std::chrono::milliseconds(
        static_cast<std::int64_t>(reader.number("removed_ms", 0, max_offset))));
    reader.reject_unknown();
    tombstones.push_back(std::move(item));
  }
  return tombstones;
}

const json* read_list(document_reader& reader, const char* name) {
  const json* list = reader.member(name, "a list", true);
  if (list != nullptr && !list->is_array()) {
    reader.reject(name, "a list");
    return nullptr;
  }
  return list;
}

bool has_unique_sorted_subjects(const catalogue_snapshot& snapshot) {
  std::vector<catalogue_subject> subjects;
  for (const revised_entry& item : snapshot.entries) {
    subjects.push_back(item.entry.subject);
  }
  const auto entry_count = static_cast<std::ptrdiff_t>(subjects.size());
  for (const tombstone& item : snapshot.tombstones) {
    subjects.push_back(item.subject);
  }
  if (!std::is_sorted(subjects.begin(), subjects.begin() + entry_count) ||
      !std::is_sorted(subjects.begin() + entry_count, subjects.end())) {
    return false;
  }
  std::sort(subjects.begin(), subjects.end());
  return std::adjacent_find(subjects.begin(), subjects.end()) == subjects.end();
}

void check_digest(document_reader& reader, const catalogue_snapshot& snapshot,
                  catalogue_errors& errors) {
  const json* found = reader.member("digest", "16 hex digits", true);
  if (found == nullptr || !errors.empty()) {
    return;
  }
  if (!has_unique_sorted_subjects(snapshot)) {
    errors.push_back({"entries", "", "subjects that are sorted and occur once"});
    return;
  }
  const std::string expected = hex(digest(snapshot));
  if (!found->is_string() || found->get_ref<const std::string&>() != expected) {
    reader.reject("digest", "the digest of the content, \"" + expected + "\"");
  }
}

} // namespace

std::string to_string(const catalogue_error& error) {
  std::string text = error.path.empty() ? "document" : error.path;
  text.append(": ").append(error.value.empty() ? "missing or malformed" : error.value);
  text.append(", allowed: ").append(error.allowed);
  return text;
}

std::string encode_entry(const catalogue_entry& entry) {
  return dump(to_json(entry));
}

decode_result<catalogue_entry> decode_entry(std::string_view text) {
  catalogue_errors errors;
  catalogue_entry entry;
  if (const auto document = parse_document(text, true, errors)) {
    document_reader reader(*document, "", errors);
    entry = read_entry(reader, errors);
    reader.reject_unknown();
  }
  return make_decoded(std::move(entry), std::move(errors));
}

decode_result<std::vector<catalogue_entry>> decode_entries(std::string_view text) {
  catalogue_errors errors;
  std::vector<catalogue_entry> entries;
  const auto document = parse_document(text, true, errors);
  const bool is_list = document && document->is_array();
  const std::size_t count = is_list ? document->size() : (document ? 1 : 0);
  std::set<catalogue_subject> subjects;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string path = is_list ? item_path("", i) : "";
    document_reader reader(is_list ? (*document)[i] : *document, path, errors);
    catalogue_entry entry = read_entry(reader, errors);
    reader.reject_unknown();
    if (!entry.subject.name.empty() && !subjects.insert(entry.subject).second) {
      reader.reject("name", "each subject once");
    }
    entries.push_back(std::move(entry));
  }
  return make_decoded(std::move(entries), std::move(errors));
}

std::string encode_change(const catalogue_change& change) {
  json object = {{"type", "change"},
                 {"id", change.id.to_string()},
                 {"operator", change.operator_name},
                 {"base", change.base_revision},
                 {"action", change.value ? "put" : "remove"}};
  write_subject(object, change.subject);
  if (change.value) {
    object["value"] = to_json(*change.value);
  }
  return dump(object);
}

decode_result<catalogue_change> decode_change(std::string_view text) {
  catalogue_errors errors;
  catalogue_change change;
  if (const auto document = parse_document(text, false, errors)) {
    document_reader reader(*document, "", errors);
    reader.choice("type", {"change"});
    change.id = reader.id("id");
    change.operator_name = reader.name("operator");
    change.base_revision = reader.number("base", 0, max_offset);
    if (reader.choice("action", {"put", "remove"}) == "put") {
      catalogue_entry entry = read_entry(reader, errors);
      change.subject = std::move(entry.subject);
      change.value = std::move(entry.value);
    } else {
      change.subject = read_subject(reader).value_or(catalogue_subject{});
    }
    reader.reject_unknown();
  }
  return make_decoded(std::move(change), std::move(errors));
}

std::string encode_snapshot(const catalogue_snapshot& snapshot) {
  json object = to_json(snapshot);
  object["digest"] = hex(digest_of(object));
  return dump(object);
}

decode_result<catalogue_snapshot> decode_snapshot(std::string_view text) {
  catalogue_errors errors;
  catalogue_snapshot snapshot;
  if (const auto document = parse_document(text, false, errors)) {
    document_reader reader(*document, "", errors);
    reader.choice("type", {"snapshot"});
    snapshot.covered_offset = reader.number("covered", 0, max_offset);
    if (const json* entries = read_list(reader, "entries")) {
      snapshot.entries = read_entries(*entries, snapshot.covered_offset, errors);
    }
    if (const json* tombstones = read_list(reader, "tombstones")) {
      snapshot.tombstones = read_tombstones(*tombstones, snapshot.covered_offset, errors);
    }
    check_digest(reader, snapshot, errors);
    reader.reject_unknown();
  }
  return make_decoded(std::move(snapshot), std::move(errors));
}

std::uint64_t digest(const catalogue_snapshot& snapshot) {
  return digest_of(to_json(snapshot));
}

bool is_snapshot(std::string_view payload) {
  const json document = json::parse(payload, nullptr, false);
  if (!document.is_object()) {
    return false;
  }
  const auto type = document.find("type");
  return type != document.end() && type->is_string() &&
         type->get_ref<const std::string&>() == "snapshot";
}

} // namespace parsleylead

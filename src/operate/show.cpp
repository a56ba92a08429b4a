#include "parsleylead/operate/show.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include "parsleylead/base/error.hpp"
#include "parsleylead/catalogue/catalogue_codec.hpp"

namespace parsleylead {
namespace {

using nlohmann::json;

std::string dump(const json& value) {
  return value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

/// RFC 3339 in UTC, to the second.
std::string time_text(wall_time time) {
  const auto days = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(days);
  const std::chrono::hh_mm_ss clock(std::chrono::floor<std::chrono::seconds>(time - days));
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z", static_cast<int>(date.year()),
                     static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                     clock.hours().count(), clock.minutes().count(), clock.seconds().count());
}

std::string digest_text(const catalogue_replica& replica) {
  return fmt::format("{:016x}", replica.state_digest());
}

json value_json(const catalogue_subject& subject, const std::optional<catalogue_value>& value) {
  if (!value) {
    return nullptr;
  }
  return json::parse(encode_entry({subject, *value}), nullptr, false)["value"];
}

json subject_json(const catalogue_subject& subject) {
  return {{"subject", to_string(subject.type)}, {"name", subject.name}};
}

std::optional<catalogue_value> value_in_force(const std::vector<revised_entry>& entries,
                                              const catalogue_subject& subject) {
  const auto found = std::find_if(entries.begin(), entries.end(), [&](const revised_entry& one) {
    return one.entry.subject == subject;
  });
  return found == entries.end() ? std::nullopt : std::optional(found->entry.value);
}

json applied_json(const applied_change& change) {
  json line = subject_json(change.subject);
  line["offset"] = change.offset;
  line["time"] = time_text(change.append_time);
  line["result"] = to_string(change.result);
  line["detail"] = change.detail;
  line["change"] = change.id.to_string();
  line["operator"] = change.operator_name;
  line["action"] = change.removal ? "remove" : "put";
  return line;
}

std::string applied_text(const applied_change& change) {
  const auto head = fmt::format("{:>8} {} {:<9}", change.offset, time_text(change.append_time),
                                std::string(to_string(change.result)));
  if (change.result == change_result::corrupt) {
    return fmt::format("{} {}\n", head, change.detail);
  }
  return fmt::format("{} {} {} by {}{}{}\n", head, change.removal ? "remove" : "put",
                     to_string(change.subject), change.operator_name,
                     change.detail.empty() ? "" : ": ", change.detail);
}

json result_json(const publish_result& result) {
  json line = subject_json(result.change.subject);
  line["action"] = result.change.value ? "put" : "remove";
  line["change"] = result.change.id.to_string();
  line["base"] = result.change.base_revision;
  line["result"] = to_string(result.result);
  line["offset"] = result.offset;
  line["detail"] = result.detail;
  if (result.winner) {
    line["winner"] = applied_json(*result.winner);
  }
  return line;
}

std::string result_text(const publish_result& result) {
  auto line = fmt::format("{:<9} {} {} at offset {}", std::string(to_string(result.result)),
                          result.change.value ? "put" : "remove", to_string(result.change.subject),
                          result.offset);
  if (!result.detail.empty()) {
    line += ": " + result.detail;
  }
  if (result.winner) {
    line += fmt::format(" The change in force is by {}, at offset {}, change {}.",
                        result.winner->operator_name, result.winner->offset,
                        result.winner->id.to_string());
  }
  return line + "\n";
}

void append_fields(std::string& text, const std::string& path, const json& value) {
  if (!value.is_structured() || value.empty()) {
    text += fmt::format("  {}: {}\n", path,
                        value.is_string() ? value.get<std::string>() : value.dump());
    return;
  }
  for (const auto& item : value.items()) {
    append_fields(text, path.empty() ? item.key() : path + "." + item.key(), item.value());
  }
}

std::string join(const std::vector<std::string>& names) {
  std::string text;
  for (const auto& name : names) {
    text.append(text.empty() ? "" : ", ").append(name);
  }
  return text;
}

json position_json(const catalogue_position& position) {
  json line = {{"process", position.process},
               {"address", to_string(position.address)},
               {"offset", position.offset},
               {"digest", position.digest}};
  if (!position.error.empty()) {
    line["error"] = position.error;
  }
  return line;
}

} // namespace

std::string show_catalogue(const catalogue_replica& replica, output_format format) {
  json subjects = json::array();
  std::string text = fmt::format("catalogue at offset {}, digest {}\n", replica.applied_offset(),
                                 digest_text(replica));
  for (const auto& one : replica.entries()) {
    auto line = subject_json(one.entry.subject);
    line["revision"] = one.revision;
    line["value"] = value_json(one.entry.subject, one.entry.value);
    text += fmt::format("{} revision {} {}\n", to_string(one.entry.subject), one.revision,
                        line["value"].dump());
    subjects.push_back(std::move(line));
  }
  if (format == output_format::text) {
    return text;
  }
  return dump({{"offset", replica.applied_offset()},
               {"digest", digest_text(replica)},
               {"subjects", std::move(subjects)}});
}

std::string show_history(const catalogue_replica& replica, output_format format) {
  json lines = json::array();
  std::string text;
  for (const auto& change : replica.history()) {
    lines.push_back(applied_json(change));
    text += applied_text(change);
  }
  return format == output_format::json ? dump(lines) : text;
}

std::string show_plan(const std::vector<catalogue_change>& changes,
                      const catalogue_replica& current, output_format format) {
  const auto in_force = current.entries();
  json lines = json::array();
  std::string text = changes.empty() ? "no difference\n" : "";
  for (const auto& change : changes) {
    const auto before = value_in_force(in_force, change.subject);
    auto line = subject_json(change.subject);
    line["base"] = change.base_revision;
    line["before"] = value_json(change.subject, before);
    line["after"] = value_json(change.subject, change.value);
    text += to_string(change.subject) + "\n";
    text += before ? "  - " + line["before"].dump() + "\n" : "";
    text += change.value ? "  + " + line["after"].dump() + "\n" : "";
    lines.push_back(std::move(line));
  }
  return format == output_format::json ? dump(lines) : text;
}

std::string show_results(const std::vector<publish_result>& results, output_format format) {
  json lines = json::array();
  std::string text = results.empty() ? "no difference\n" : "";
  for (const auto& result : results) {
    lines.push_back(result_json(result));
    text += result_text(result);
  }
  return format == output_format::json ? dump(lines) : text;
}

std::string show_wait(const wait_result& result, std::uint64_t offset, output_format format) {
  if (format == output_format::json) {
    json positions = json::array();
    for (const auto& one : result.positions) {
      positions.push_back(position_json(one));
    }
    return dump({{"offset", offset},
                 {"reached", result.reached},
                 {"processes", std::move(positions)},
                 {"lagging", result.lagging},
                 {"diverged", result.diverged}});
  }
  std::string text;
  for (const auto& one : result.positions) {
    text += fmt::format("{:<32} {}\n", one.process,
                        one.error.empty() ? "offset " + std::to_string(one.offset) : one.error);
  }
  if (!result.lagging.empty()) {
    text += fmt::format("not at offset {}: {}\n", offset, join(result.lagging));
  }
  if (!result.diverged.empty()) {
    text += "same offset but different state: " + join(result.diverged) + "\n";
  }
  return text;
}

std::string show_pages(const std::vector<process_page>& pages, output_format format) {
  json all = json::array();
  std::string text;
  for (const auto& page : pages) {
    json line = {{"address", to_string(page.address)}};
    text += to_string(page.address) + "\n";
    if (page.body.ok()) {
      line["page"] = json::parse(*page.body, nullptr, false);
      if (line["page"].is_discarded()) {
        line["page"] = *page.body;
      }
      append_fields(text, "", line["page"]);
    } else {
      line["error"] = describe(page.body.status());
      text += "  error: " + describe(page.body.status()) + "\n";
    }
    all.push_back(std::move(line));
  }
  return format == output_format::json ? dump(all) : text;
}

} // namespace parsleylead

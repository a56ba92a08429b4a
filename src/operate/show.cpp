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
std::string format_time(wall_time time) {
  const auto days = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(days);
  const std::chrono::hh_mm_ss clock(std::chrono::floor<std::chrono::seconds>(time - days));
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z", static_cast<int>(date.year()),
                     static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                     clock.hours().count(), clock.minutes().count(), clock.seconds().count());
}

std::string format_digest(const catalogue_replica& replica) {
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
  const auto found =
      std::find_if(entries.begin(), entries.end(), [&](const revised_entry& existing) {
        return existing.entry.subject == subject;
      });
  return found == entries.end() ? std::nullopt : std::optional(found->entry.value);
}

json applied_json(const applied_change& change) {
  json object = subject_json(change.subject);
  object["offset"] = change.offset;
  object["time"] = format_time(change.append_time);
  object["result"] = to_string(change.result);
  object["detail"] = change.detail;
  object["change"] = change.id.to_string();
  object["operator"] = change.operator_name;
  object["action"] = change.removal ? "remove" : "put";
  return object;
}

std::string applied_text(const applied_change& change) {
  const auto prefix = fmt::format("{:>8} {} {:<9}", change.offset, format_time(change.append_time),
                                  std::string(to_string(change.result)));
  if (change.result == change_result::corrupt) {
    return fmt::format("{} {}\n", prefix, change.detail);
  }
  return fmt::format("{} {} {} by {}{}{}\n", prefix, change.removal ? "remove" : "put",
                     to_string(change.subject), change.operator_name,
                     change.detail.empty() ? "" : ": ", change.detail);
}

json result_json(const publish_result& result) {
  json object = subject_json(result.change.subject);
  object["action"] = result.change.value ? "put" : "remove";
  object["change"] = result.change.id.to_string();
  object["base"] = result.change.base_revision;
  object["result"] = to_string(result.result);
  object["offset"] = result.offset;
  object["detail"] = result.detail;
  if (result.winner) {
    object["winner"] = applied_json(*result.winner);
  }
  return object;
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
  json object = {{"process", position.process},
                 {"address", to_string(position.address)},
                 {"offset", position.offset},
                 {"digest", position.digest}};
  if (!position.error.empty()) {
    object["error"] = position.error;
  }
  return object;
}

} // namespace

std::string show_catalogue(const catalogue_replica& replica, output_format format) {
  json subjects = json::array();
  std::string text = fmt::format("catalogue at offset {}, digest {}\n", replica.applied_offset(),
                                 format_digest(replica));
  for (const auto& existing : replica.entries()) {
    auto object = subject_json(existing.entry.subject);
    object["revision"] = existing.revision;
    object["value"] = value_json(existing.entry.subject, existing.entry.value);
    text += fmt::format("{} revision {} {}\n", to_string(existing.entry.subject), existing.revision,
                        object["value"].dump());
    subjects.push_back(std::move(object));
  }
  if (format == output_format::text) {
    return text;
  }
  return dump({{"offset", replica.applied_offset()},
               {"digest", format_digest(replica)},
               {"subjects", std::move(subjects)}});
}

std::string show_history(const catalogue_replica& replica, output_format format) {
  json objects = json::array();
  std::string text;
  for (const auto& change : replica.history()) {
    objects.push_back(applied_json(change));
    text += applied_text(change);
  }
  return format == output_format::json ? dump(objects) : text;
}

std::string show_plan(const std::vector<catalogue_change>& changes,
                      const catalogue_replica& current, output_format format) {
  const auto in_force = current.entries();
  json objects = json::array();
  std::string text = changes.empty() ? "no difference\n" : "";
  for (const auto& change : changes) {
    const auto before = value_in_force(in_force, change.subject);
    auto object = subject_json(change.subject);
    object["base"] = change.base_revision;
    object["before"] = value_json(change.subject, before);
    object["after"] = value_json(change.subject, change.value);
    text += to_string(change.subject) + "\n";
    text += before ? "  - " + object["before"].dump() + "\n" : "";
    text += change.value ? "  + " + object["after"].dump() + "\n" : "";
    objects.push_back(std::move(object));
  }
  return format == output_format::json ? dump(objects) : text;
}

std::string show_results(const std::vector<publish_result>& results, output_format format) {
  json objects = json::array();
  std::string text = results.empty() ? "no difference\n" : "";
  for (const auto& result : results) {
    objects.push_back(result_json(result));
    text += result_text(result);
  }
  return format == output_format::json ? dump(objects) : text;
}

std::string show_wait(const wait_result& result, std::uint64_t offset, output_format format) {
  if (format == output_format::json) {
    json positions = json::array();
    for (const auto& position : result.positions) {
      positions.push_back(position_json(position));
    }
    return dump({{"offset", offset},
                 {"reached", result.reached},
                 {"processes", std::move(positions)},
                 {"lagging", result.lagging},
                 {"diverged", result.diverged}});
  }
  std::string text;
  for (const auto& position : result.positions) {
    text += fmt::format("{:<32} {}\n", position.process,
                        position.error.empty() ? "offset " + std::to_string(position.offset)
                                               : position.error);
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
  json objects = json::array();
  std::string text;
  for (const auto& page : pages) {
    json object = {{"address", to_string(page.address)}};
    text += to_string(page.address) + "\n";
    if (page.body.ok()) {
      object["page"] = json::parse(*page.body, nullptr, false);
      if (object["page"].is_discarded()) {
        object["page"] = *page.body;
      }
      append_fields(text, "", object["page"]);
    } else {
      object["error"] = describe(page.body.status());
      text += "  error: " + describe(page.body.status()) + "\n";
    }
    objects.push_back(std::move(object));
  }
  return format == output_format::json ? dump(objects) : text;
}

std::string show_explanation(const std::string& explanation, output_format format) {
  const auto root = json::parse(explanation, nullptr, false);
  if (format == output_format::json || !root.is_object()) {
    return explanation + "\n";
  }
  const auto refusal = root.value("refusal", json());
  auto text = fmt::format(
      "route {}, service {}, priority {}\n"
      "objective {} ms, work {} ms, expected wait {} ms behind {} waiting tasks\n{}\n",
      root.value("route", ""), root.value("service", ""), root.value("priority", 0),
      root.value("objective_ms", 0), root.value("critical_path_ms", 0),
      root.value("expected_wait_ms", 0), root.value("waiting_tasks", 0),
      refusal.is_string()             ? "refused: " + refusal.get<std::string>()
      : root.value("searches", false) ? std::string("accepted; the entry searches for workers")
                                      : std::string("accepted"));
  std::size_t number = 0;
  for (const auto& step : root.value("steps", json::array())) {
    text += fmt::format("step {}\n", number++);
    for (const auto& worker : step.value("workers", json::array())) {
      const auto excluded = worker.value("excluded", "");
      text += fmt::format("  {:<24} {:<16} free {:>6.0f} of {:>6} mCPU, slowdown {:.2f}: {}\n",
                          worker.value("agent", ""), worker.value("availability_zone", ""),
                          worker.value("free_cpu_millis", 0.0),
                          worker.value("capacity_cpu_millis", 0), worker.value("slowdown", 1.0),
                          excluded.empty()
                              ? fmt::format("score {:.1f}, run {:.0f} ms",
                                            worker.value("score", 0.0), worker.value("run_ms", 0.0))
                              : "excluded: " + excluded);
    }
  }
  return text;
}

} // namespace parsleylead

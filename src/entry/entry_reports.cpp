#include "entry_reports.hpp"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "parsleylead/catalogue/catalogue_codec.hpp"
#include "parsleylead/transport/rpc_traffic.hpp"

namespace parsleylead {
namespace {

using nlohmann::json;

std::string to_hex(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
  return text.data();
}

json to_json(const entry_member& entry) {
  return {{"name", entry.name},
          {"incarnation", to_hex(entry.incarnation)},
          {"address", entry.address},
          {"operations_address", entry.operations_address},
          {"availability_zone", entry.availability_zone},
          {"leaving", entry.leaving}};
}

json to_json(const job_totals& totals) {
  return {{"kind", totals.kind},
          {"owner", totals.owner},
          {"accepted", totals.accepted},
          {"complete", totals.complete},
          {"failed", totals.failed},
          {"cancelled", totals.cancelled},
          {"refused_after_acceptance", totals.refused_after_acceptance},
          {"open", totals.open}};
}

json to_json(const reason_total& total) {
  return {{"category", total.category},
          {"kind", total.kind},
          {"owner", total.owner},
          {"reason", to_string(total.cause)},
          {"step", to_string(total.failed_step)},
          {"count", total.count}};
}

json wasted_json(const account_snapshot& snapshot) {
  json wasted = json::object();
  for (std::size_t i = 0; i < waste_causes; ++i) {
    wasted[std::string(to_string(static_cast<waste_cause>(i)))] = snapshot.wasted[i];
  }
  return wasted;
}

} // namespace

std::string catalogue_report(const std::string& process, const catalogue_replica* replica) {
  json subjects = json::array();
  if (replica == nullptr) {
    return json{{"process", process}, {"known", false}, {"offset", 0}, {"subjects", subjects}}
        .dump();
  }
  for (const auto& item : replica->entries()) {
    auto subject = json::parse(encode_entry(item.entry));
    subject["revision"] = item.revision;
    subjects.push_back(std::move(subject));
  }
  return json{{"process", process},
              {"known", true},
              {"offset", replica->applied_offset()},
              {"digest", to_hex(replica->state_digest())},
              {"subjects", std::move(subjects)}}
      .dump();
}

std::string members_report(const entry_member& self, const std::vector<entry_member>& entries,
                           const agent_links& agents, const dispatcher& decisions) {
  json entry_list = json::array({to_json(self)});
  for (const auto& entry : entries) {
    entry_list.push_back(to_json(entry));
  }
  json agent_list = json::array();
  agents.for_each([&](const agent_link& link) {
    json agent = {{"name", link.address().name},
                  {"address", to_string(link.address().address)},
                  {"incarnation", to_hex(link.address().incarnation)},
                  {"open", link.is_open()},
                  {"leaving", link.is_leaving()},
                  {"outstanding", link.outstanding()},
                  {"ejected", decisions.is_ejected(link.address().name)}};
    if (const auto* worker = decisions.workers().find(link.address().name)) {
      agent["availability_zone"] = worker->availability_zone;
      agent["kinds"] = worker->kinds;
      agent["slots"] = worker->slots;
      agent["credits"] = worker->credits;
      agent["speed"] = worker->run_time_factor;
    }
    agent_list.push_back(std::move(agent));
  });
  return json{
      {"process", self.name}, {"entries", std::move(entry_list)}, {"agents", std::move(agent_list)}}
      .dump();
}

std::string account_report(const std::string& process, const account_snapshot& snapshot) {
  json jobs = json::array();
  for (const auto& totals : snapshot.jobs) {
    jobs.push_back(to_json(totals));
  }
  json reasons = json::array();
  for (const auto& total : snapshot.reasons) {
    reasons.push_back(to_json(total));
  }
  return json{{"process", process},
              {"balances", snapshot.balances},
              {"jobs", std::move(jobs)},
              {"reasons", std::move(reasons)},
              {"tasks_started", snapshot.tasks_started},
              {"tasks_finished", snapshot.tasks_finished},
              {"messages", snapshot.messages},
              {"control_messages", snapshot.control_messages},
              {"wasted_messages", wasted_json(snapshot)}}
      .dump();
}

void update_metrics(metrics_registry& metrics, const account_snapshot& snapshot,
                    const entry_gauges& gauges) {
  for (const auto& totals : snapshot.jobs) {
    const auto set = [&](const char* outcome, std::uint64_t value) {
      metrics.set("parsleylead_entry_jobs_total",
                  {{"kind", totals.kind}, {"owner", totals.owner}, {"outcome", outcome}},
                  static_cast<double>(value));
    };
    set("accepted", totals.accepted);
    set("complete", totals.complete);
    set("failed", totals.failed);
    set("cancelled", totals.cancelled);
    set("refused_after_acceptance", totals.refused_after_acceptance);
  }
  for (const auto& total : snapshot.reasons) {
    metrics.set("parsleylead_entry_unanswered_total",
                {{"category", std::string(total.category)},
                 {"kind", total.kind},
                 {"reason", std::string(to_string(total.cause))},
                 {"step", std::string(to_string(total.failed_step))}},
                static_cast<double>(total.count));
  }
  const auto set = [&](const char* name, double value) { metrics.set(name, {}, value); };
  metrics.set("parsleylead_messages_total", {{"process", "entry"}},
              static_cast<double>(snapshot.messages));
  metrics.set("parsleylead_control_messages_total", {{"process", "entry"}},
              static_cast<double>(snapshot.control_messages));
  const auto traffic = total_rpc_traffic();
  metrics.set("parsleylead_rpc_bytes_total", {{"direction", "sent"}},
              static_cast<double>(traffic.sent));
  metrics.set("parsleylead_rpc_bytes_total", {{"direction", "received"}},
              static_cast<double>(traffic.received));
  for (std::size_t i = 0; i < waste_causes; ++i) {
    metrics.set("parsleylead_wasted_messages_total",
                {{"cause", std::string(to_string(static_cast<waste_cause>(i)))}},
                static_cast<double>(snapshot.wasted[i]));
  }
  set("parsleylead_entry_tasks_started_total", static_cast<double>(snapshot.tasks_started));
  set("parsleylead_entry_tasks_finished_total", static_cast<double>(snapshot.tasks_finished));
  set("parsleylead_entry_account_balances", snapshot.balances ? 1 : 0);
  set("parsleylead_entry_open_jobs", static_cast<double>(gauges.open_jobs));
  set("parsleylead_entry_waiting_tasks", static_cast<double>(gauges.waiting_tasks));
  set("parsleylead_entry_tasks_in_flight", static_cast<double>(gauges.tasks_in_flight));
  set("parsleylead_entry_open_sessions", static_cast<double>(gauges.open_sessions));
  set("parsleylead_entry_catalogue_offset", static_cast<double>(gauges.catalogue_offset));
  set("parsleylead_entry_log_reachable", gauges.log_reachable ? 1 : 0);
  set("parsleylead_claim_appends_total", static_cast<double>(gauges.claims.batches));
  set("parsleylead_claim_granted_total", static_cast<double>(gauges.claims.granted));
  set("parsleylead_claim_duplicates_total", static_cast<double>(gauges.claims.duplicates));
  set("parsleylead_claim_refused_total", static_cast<double>(gauges.claims.refused));
}

} // namespace parsleylead

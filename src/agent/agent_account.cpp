#include "agent_account.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

#include "parsleylead/transport/rpc_traffic.hpp"

namespace parsleylead {
namespace {

using json = nlohmann::ordered_json;
using reason_counts = std::map<reason, std::uint64_t>;

// Calls `visit(name, value)` for each counter and `visit_reasons(name, counts)` for each map.
template <class Single, class Group>
void visit_counters(const agent_account& account, Single visit, Group visit_reasons) {
  visit("dispatches", account.dispatches);
  visit("starts", account.starts);
  visit("finished", account.finished);
  visit_reasons("failed", account.failed);
  visit_reasons("not_run", account.not_run);
  visit_reasons("refused", account.refused);
  visit("duplicate_results", account.duplicate_results);
  visit("expired_results", account.expired_results);
  visit("sessions_opened", account.sessions_opened);
  visit("sessions_refused", account.sessions_refused);
  visit("sessions_lost", account.sessions_lost);
  visit("announces", account.announces);
  visit("grants", account.grants);
  visit("recalls", account.recalls);
  visit("recalls_unanswered", account.recalls_unanswered);
  visit("credits_returned", account.credits_returned);
  visit("wants", account.wants);
  visit("wants_without_grant", account.wants_without_grant);
  visit("probes", account.probes);
}

template <class Single>
void visit_gauges(const agent_account& account, Single visit) {
  visit("open", account.open);
  visit("slots", account.slots);
  visit("running", account.running);
  visit("granted", account.granted);
  visit("queued", account.queued);
  visit("sessions", account.sessions);
  visit("unacknowledged", account.unacknowledged);
}

} // namespace

std::string to_json(const agent_account& account) {
  json document = json::object();
  const auto visit = [&document](const char* name, std::uint64_t value) { document[name] = value; };
  visit_counters(account, visit, [&document](const char* name, const reason_counts& counts) {
    auto& group = document[name] = json::object();
    for (const auto& [cause, count] : counts) {
      group[std::string(to_string(cause))] = count;
    }
  });
  visit_gauges(account, visit);
  return document.dump();
}

std::string to_prometheus(const agent_account& account) {
  std::string text;
  const auto append_type = [&text](const std::string& name, const char* type) {
    text += "# TYPE " + name + ' ' + type + '\n';
  };
  visit_counters(
      account,
      [&](const char* name, std::uint64_t value) {
        const auto full = "parsleylead_agent_" + std::string(name) + "_total";
        append_type(full, "counter");
        text += full + ' ' + std::to_string(value) + '\n';
      },
      [&](const char* name, const reason_counts& counts) {
        const auto full = "parsleylead_agent_" + std::string(name) + "_total";
        append_type(full, "counter");
        for (const auto& [cause, count] : counts) {
          text += full + "{reason=\"" + std::string(to_string(cause)) + "\"} " +
                  std::to_string(count) + '\n';
        }
      });
  const auto labelled = [&text](const char* name, const char* label, const char* key,
                                std::uint64_t value) {
    text += std::string(name) + '{' + label + "=\"" + key + "\"} " + std::to_string(value) + '\n';
  };
  append_type("parsleylead_messages_total", "counter");
  labelled("parsleylead_messages_total", "process", "agent", account.messages);
  append_type("parsleylead_wasted_messages_total", "counter");
  // An announcement is two messages: the call and its reply.
  labelled("parsleylead_wasted_messages_total", "cause", "announce", 2 * account.announces);
  labelled("parsleylead_wasted_messages_total", "cause", "duplicate_result",
           account.duplicate_results);
  const auto traffic = total_rpc_traffic();
  append_type("parsleylead_rpc_bytes_total", "counter");
  labelled("parsleylead_rpc_bytes_total", "direction", "sent", traffic.sent);
  labelled("parsleylead_rpc_bytes_total", "direction", "received", traffic.received);
  visit_gauges(account, [&](const char* name, std::uint64_t value) {
    const auto full = "parsleylead_agent_" + std::string(name);
    append_type(full, "gauge");
    text += full + ' ' + std::to_string(value) + '\n';
  });
  return text;
}

} // namespace parsleylead

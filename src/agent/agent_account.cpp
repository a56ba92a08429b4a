#include "agent_account.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

#include "parsleylead/transport/rpc_traffic.hpp"

namespace parsleylead {
namespace {

using json = nlohmann::ordered_json;
using reason_counts = std::map<reason, std::uint64_t>;

// Calls `single(name, value)` for each counter and `by_reason(name, counts)` for each map.
template <class Single, class Group>
void visit_counters(const agent_account& account, Single single, Group by_reason) {
  single("dispatches", account.dispatches);
  single("starts", account.starts);
  single("finished", account.finished);
  by_reason("failed", account.failed);
  by_reason("not_run", account.not_run);
  by_reason("refused", account.refused);
  single("duplicate_results", account.duplicate_results);
  single("expired_results", account.expired_results);
  single("sessions_opened", account.sessions_opened);
  single("sessions_refused", account.sessions_refused);
  single("sessions_lost", account.sessions_lost);
  single("announces", account.announces);
  single("grants", account.grants);
  single("recalls", account.recalls);
  single("recalls_unanswered", account.recalls_unanswered);
  single("credits_returned", account.credits_returned);
  single("wants", account.wants);
  single("wants_without_grant", account.wants_without_grant);
  single("probes", account.probes);
}

template <class Single>
void visit_gauges(const agent_account& account, Single single) {
  single("open", account.open);
  single("slots", account.slots);
  single("running", account.running);
  single("granted", account.granted);
  single("queued", account.queued);
  single("sessions", account.sessions);
  single("unacknowledged", account.unacknowledged);
}

} // namespace

std::string to_json(const agent_account& account) {
  json document = json::object();
  const auto single = [&document](const char* name, std::uint64_t value) {
    document[name] = value;
  };
  visit_counters(account, single, [&document](const char* name, const reason_counts& counts) {
    auto& group = document[name] = json::object();
    for (const auto& [cause, count] : counts) {
      group[std::string(to_string(cause))] = count;
    }
  });
  visit_gauges(account, single);
  return document.dump();
}

std::string to_prometheus(const agent_account& account) {
  std::string text;
  const auto head = [&text](const std::string& name, const char* type) {
    text += "# TYPE " + name + ' ' + type + '\n';
  };
  visit_counters(
      account,
      [&](const char* name, std::uint64_t value) {
        const auto full = "parsleylead_agent_" + std::string(name) + "_total";
        head(full, "counter");
        text += full + ' ' + std::to_string(value) + '\n';
      },
      [&](const char* name, const reason_counts& counts) {
        const auto full = "parsleylead_agent_" + std::string(name) + "_total";
        head(full, "counter");
        for (const auto& [cause, count] : counts) {
          text += full + "{reason=\"" + std::string(to_string(cause)) + "\"} " +
                  std::to_string(count) + '\n';
        }
      });
  const auto labelled = [&text](const char* name, const char* label, const char* key,
                                std::uint64_t value) {
    text += std::string(name) + '{' + label + "=\"" + key + "\"} " + std::to_string(value) + '\n';
  };
  head("parsleylead_messages_total", "counter");
  labelled("parsleylead_messages_total", "process", "agent", account.messages);
  head("parsleylead_wasted_messages_total", "counter");
  // An announcement is two messages: the call and its reply.
  labelled("parsleylead_wasted_messages_total", "cause", "announce", 2 * account.announces);
  labelled("parsleylead_wasted_messages_total", "cause", "duplicate_result",
           account.duplicate_results);
  const auto traffic = total_rpc_traffic();
  head("parsleylead_rpc_bytes_total", "counter");
  labelled("parsleylead_rpc_bytes_total", "direction", "sent", traffic.sent);
  labelled("parsleylead_rpc_bytes_total", "direction", "received", traffic.received);
  visit_gauges(account, [&](const char* name, std::uint64_t value) {
    const auto full = "parsleylead_agent_" + std::string(name);
    head(full, "gauge");
    text += full + ' ' + std::to_string(value) + '\n';
  });
  return text;
}

} // namespace parsleylead

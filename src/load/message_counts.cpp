#include "parsleylead/load/message_counts.hpp"

#include <cstdlib>

#include "parsleylead/base/error.hpp"
#include "parsleylead/tool/http_client.hpp"

namespace parsleylead {
namespace {

constexpr std::string_view messages_name = "parsleylead_messages_total";
constexpr std::string_view wasted_name = "parsleylead_wasted_messages_total";

/// Returns the value of a label, or an empty string. Does not unescape: causes contain no escaped
/// characters.
std::string label_value(std::string_view labels, std::string_view name) {
  const std::string start = std::string(name) + "=\"";
  const auto found = labels.find(start);
  if (found == std::string_view::npos) {
    return {};
  }
  const auto rest = labels.substr(found + start.size());
  return std::string(rest.substr(0, rest.find('"')));
}

void add_line(std::string_view line, message_counts& counts) {
  const auto name = line.substr(0, line.find_first_of("{ "));
  const auto space = line.rfind(' ');
  if (space == std::string_view::npos || (name != messages_name && name != wasted_name)) {
    return;
  }
  const double value = std::strtod(std::string(line.substr(space + 1)).c_str(), nullptr);
  if (name == messages_name) {
    counts.messages += value;
    return;
  }
  const auto cause = label_value(line.substr(0, space), "cause");
  counts.wasted[cause.empty() ? "unknown" : cause] += value;
}

double counter_increase(double before, double after) {
  return after < before ? after : after - before;
}

} // namespace

message_counts& message_counts::operator+=(const message_counts& other) {
  messages += other.messages;
  for (const auto& [cause, value] : other.wasted) {
    wasted[cause] += value;
  }
  return *this;
}

message_counts parse_message_counts(std::string_view metrics_text) {
  message_counts counts;
  while (!metrics_text.empty()) {
    const auto end = metrics_text.find('\n');
    add_line(metrics_text.substr(0, end), counts);
    metrics_text =
        end == std::string_view::npos ? std::string_view() : metrics_text.substr(end + 1);
  }
  return counts;
}

message_counts difference(const message_counts& before, const message_counts& after) {
  message_counts result;
  result.messages = counter_increase(before.messages, after.messages);
  for (const auto& [cause, value] : after.wasted) {
    const auto found = before.wasted.find(cause);
    result.wasted[cause] =
        counter_increase(found == before.wasted.end() ? 0 : found->second, value);
  }
  return result;
}

absl::StatusOr<message_counts> read_message_counts(const endpoint& operations) {
  constexpr int status_ok = 200;
  const auto response = http_client(operations).send({"GET", "/metrics", "", {}});
  if (!response.ok()) {
    return response.status();
  }
  if (response->status != status_ok) {
    return make_error(absl::StatusCode::kInternal, step::receive, to_string(operations),
                      "/metrics returned status " + std::to_string(response->status));
  }
  // A process without these counters must not be reported as one that sends no messages.
  if (response->body.find(messages_name) == std::string::npos) {
    return make_error(absl::StatusCode::kNotFound, step::receive, to_string(operations),
                      "/metrics has no metric " + std::string(messages_name));
  }
  return parse_message_counts(response->body);
}

} // namespace parsleylead

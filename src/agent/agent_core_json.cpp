#include <nlohmann/json.hpp>

#include "agent_core.hpp"

namespace parsleylead {

std::string agent_core::revisions_json() const {
  auto kinds = nlohmann::ordered_json::object();
  for (const auto& [kind, revision] : revisions_) {
    kinds[kind] = revision;
  }
  return nlohmann::ordered_json{{"kinds", kinds}}.dump();
}

std::string agent_core::members_json() const {
  auto entries = nlohmann::ordered_json::array();
  for (const auto& address : announce_schedule_.entries()) {
    entries.push_back(to_string(address));
  }
  auto sessions = nlohmann::ordered_json::array();
  for (const auto& [id, session] : sessions_) {
    sessions.push_back({{"entry", session.key.entry.name}, {"counter", session.key.counter}});
  }
  return nlohmann::ordered_json{{"entries", entries}, {"sessions", sessions}}.dump();
}

} // namespace parsleylead

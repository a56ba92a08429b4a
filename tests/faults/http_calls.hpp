#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "parsleylead/base/endpoint.hpp"

namespace parsleylead::faults {

/// Sends a GET on a new connection and parses the JSON reply. Returns a discarded value if there is
/// no reply or it is not JSON.
nlohmann::json get_json(const endpoint& server, const std::string& path);

/// Sends a fault command to a stand-in. Throws std::runtime_error if the command is not accepted;
/// otherwise a cell could pass without its fault.
void post_control(const endpoint& server, const nlohmann::json& command);

/// Polls until the condition holds. Returns false if it does not hold within `limit`.
template <class Condition>
bool wait_until(Condition condition, std::chrono::milliseconds limit);

bool wait_until_impl(bool (*condition)(void*), void* state, std::chrono::milliseconds limit);

template <class Condition>
bool wait_until(Condition condition, std::chrono::milliseconds limit) {
  return wait_until_impl([](void* state) { return (*static_cast<Condition*>(state))(); },
                         &condition, limit);
}

} // namespace parsleylead::faults

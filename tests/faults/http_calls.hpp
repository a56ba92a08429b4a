#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "parsleylead/base/endpoint.hpp"

namespace parsleylead::faults {

/// GET of a JSON page on a connection of its own; a discarded value if there is no such answer.
nlohmann::json get_json(const endpoint& server, const std::string& path);

/// POST of a fault switch. Throws std::runtime_error if the stand-in does not take it: the cell
/// would otherwise judge a run without its fault.
void post_control(const endpoint& server, const nlohmann::json& command);

/// Polls until the condition holds; false after the time.
template <class Condition>
bool wait_until(Condition condition, std::chrono::milliseconds limit);

bool wait_until_impl(bool (*condition)(void*), void* state, std::chrono::milliseconds limit);

template <class Condition>
bool wait_until(Condition condition, std::chrono::milliseconds limit) {
  return wait_until_impl([](void* state) { return (*static_cast<Condition*>(state))(); },
                         &condition, limit);
}

} // namespace parsleylead::faults

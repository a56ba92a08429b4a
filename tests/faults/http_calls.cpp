#include "http_calls.hpp"

#include <stdexcept>
#include <thread>

#include "parsleylead/tool/http_client.hpp"

namespace parsleylead::faults {
namespace {

constexpr std::chrono::milliseconds call_timeout{2000};
constexpr std::chrono::milliseconds poll_interval{20};

} // namespace

nlohmann::json get_json(const endpoint& server, const std::string& path) {
  http_client client(server, {call_timeout, call_timeout});
  const auto response = client.send({"GET", path, "", {}});
  if (!response.ok()) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(response->body, nullptr, false);
}

void post_control(const endpoint& server, const nlohmann::json& command) {
  http_client client(server, {call_timeout, call_timeout});
  const auto response = client.send({"POST", "/control", command.dump(), {}});
  if (!response.ok() || response->status != 200) {
    throw std::runtime_error("the stand-in at " + to_string(server) + " did not accept " +
                             command.dump());
  }
}

bool wait_until_impl(bool (*condition)(void*), void* state, std::chrono::milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition(state)) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  return true;
}

} // namespace parsleylead::faults

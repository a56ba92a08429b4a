#include "parsleylead/base/error.hpp"

#include "absl/strings/cord.h"

namespace parsleylead {
namespace {

constexpr const char* step_url = "parsleylead/step";
constexpr const char* peer_url = "parsleylead/peer";

absl::string_view to_absl(std::string_view text) {
  return {text.data(), text.size()};
}

} // namespace

absl::Status make_error(absl::StatusCode code, step failed_step, std::string_view peer,
                        std::string_view message) {
  absl::Status status(code, to_absl(message));
  status.SetPayload(step_url, absl::Cord(std::to_string(static_cast<unsigned>(failed_step))));
  if (!peer.empty()) {
    status.SetPayload(peer_url, absl::Cord(to_absl(peer)));
  }
  return status;
}

step error_step(const absl::Status& status) {
  const auto payload = status.GetPayload(step_url);
  if (!payload.has_value()) {
    return step::none;
  }
  return step_from_wire(static_cast<std::uint16_t>(std::stoul(std::string(*payload))));
}

std::string error_peer(const absl::Status& status) {
  const auto payload = status.GetPayload(peer_url);
  return payload.has_value() ? std::string(*payload) : std::string();
}

std::string describe(const absl::Status& status) {
  if (status.ok()) {
    return "ok";
  }
  std::string text = absl::StatusCodeToString(status.code());
  text.append(" at ").append(to_string(error_step(status)));
  if (const auto peer = error_peer(status); !peer.empty()) {
    text.append(", peer ").append(peer);
  }
  text.append(": ").append(std::string(status.message()));
  return text;
}

} // namespace parsleylead

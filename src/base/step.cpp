#include "parsleylead/base/step.hpp"

#include <array>

namespace parsleylead {
namespace {

// Indexed by the numeric value of the step.
constexpr auto step_names = std::to_array<std::string_view>({
    "none",
    "settings",
    "receive",
    "admit",
    "claim",
    "place",
    "dispatch",
    "start",
    "run",
    "gather",
    "answer",
    "announce",
    "connect",
    "resume",
    "catalogue",
    "log_append",
    "log_read",
    "drain",
});

} // namespace

std::string_view to_string(step value) {
  const auto index = static_cast<std::size_t>(value);
  return index < step_names.size() ? step_names[index] : step_names[0];
}

step step_from_wire(std::uint16_t value) {
  return value < step_names.size() ? static_cast<step>(value) : step::none;
}

} // namespace parsleylead

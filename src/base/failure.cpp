#include "parsleylead/base/failure.hpp"

namespace parsleylead {

std::string to_string(const failure& value) {
  std::string text{to_string(value.cause)};
  text.append(" at ").append(to_string(value.failed_step));
  if (!value.peer.empty()) {
    text.append(", peer ").append(value.peer);
  }
  if (!value.detail.empty()) {
    text.append(": ").append(value.detail);
  }
  return text;
}

} // namespace parsleylead

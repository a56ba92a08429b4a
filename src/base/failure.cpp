#include "parsleylead/base/failure.hpp"

namespace parsleylead {

std::string to_string(const failure& value) {
  std::string text{to_string(value.why)};
  text.append(" at ").append(to_string(value.at));
  if (!value.peer.empty()) {
    text.append(", peer ").append(value.peer);
  }
  if (!value.detail.empty()) {
    text.append(": ").append(value.detail);
  }
  return text;
}

} // namespace parsleylead

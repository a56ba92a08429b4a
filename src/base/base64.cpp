#include "parsleylead/base/base64.hpp"

#include "absl/strings/escaping.h"

namespace parsleylead {

std::string encode_base64(std::string_view bytes) {
  return absl::Base64Escape({bytes.data(), bytes.size()});
}

std::optional<std::string> decode_base64(std::string_view text) {
  std::string bytes;
  if (!absl::Base64Unescape({text.data(), text.size()}, &bytes)) {
    return std::nullopt;
  }
  return bytes;
}

} // namespace parsleylead

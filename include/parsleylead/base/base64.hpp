#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace parsleylead {

/// Standard base64 with padding (RFC 4648, section 4). Thread-safe.
std::string encode_base64(std::string_view bytes);

/// The inverse of `encode_base64`; nothing if the text is not valid. Thread-safe.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace parsleylead

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace parsleylead {

/// Appends the low-order `bytes` bytes of a number in big-endian order. Thread-safe.
inline void append_big_endian(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t left = bytes; left > 0; --left) {
    out += static_cast<char>(value >> (8 * (left - 1)) & 0xffU);
  }
}

/// Reads all of `bytes` as one big-endian number. Precondition: at most eight bytes. Thread-safe.
inline std::uint64_t read_big_endian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char c : bytes) {
    value = value << 8U | static_cast<unsigned char>(c);
  }
  return value;
}

} // namespace parsleylead

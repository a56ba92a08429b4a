#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace parsleylead {

/// Changes a text at a few random places: bytes, cuts, repetitions and values that parsers often
/// get wrong. The same sequence of texts for the same state of `random`.
inline std::string mutate(std::string text, std::mt19937_64& random) {
  constexpr std::array<std::string_view, 16> values{"-1",
                                                    "0",
                                                    "18446744073709551615",
                                                    "9223372036854775808",
                                                    "1e308",
                                                    "-0.5",
                                                    "null",
                                                    "true",
                                                    "\"\"",
                                                    "[]",
                                                    "{}",
                                                    "\xff\xfe",
                                                    "\\ud800",
                                                    "\r\n",
                                                    ":",
                                                    "[[[[[["};
  const auto below = [&random](std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
  };
  const auto changes = 1 + below(4);
  for (std::size_t i = 0; i < changes; ++i) {
    const auto position = below(text.size() + 1);
    const auto length = below(12);
    switch (below(6)) {
    case 0:
      text.resize(position);
      break;
    case 1:
      text.erase(position, length);
      break;
    case 2:
      text.insert(position, text.substr(below(text.size() + 1), length));
      break;
    case 3:
      text.insert(position, std::string(values[below(values.size())]));
      break;
    case 4:
      text.replace(position, length, std::string(values[below(values.size())]));
      break;
    default:
      if (position < text.size()) {
        text[position] = static_cast<char>(below(256));
      }
    }
  }
  return text;
}

} // namespace parsleylead

#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace parsleylead {

/// Applies one to four random mutations: truncates, erases or duplicates a part, inserts a value
/// that parsers often mishandle, or overwrites a byte. Deterministic for a given state of `random`.
inline std::string mutate(std::string text, std::mt19937_64& random) {
  constexpr std::array<std::string_view, 16> edge_values{"-1",
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
  const auto random_below = [&random](std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
  };
  const auto mutation_count = 1 + random_below(4);
  for (std::size_t i = 0; i < mutation_count; ++i) {
    const auto position = random_below(text.size() + 1);
    const auto length = random_below(12);
    switch (random_below(6)) {
    case 0:
      text.resize(position);
      break;
    case 1:
      text.erase(position, length);
      break;
    case 2:
      text.insert(position, text.substr(random_below(text.size() + 1), length));
      break;
    case 3:
      text.insert(position, std::string(edge_values[random_below(edge_values.size())]));
      break;
    case 4:
      text.replace(position, length, std::string(edge_values[random_below(edge_values.size())]));
      break;
    default:
      if (position < text.size()) {
        text[position] = static_cast<char>(random_below(256));
      }
    }
  }
  return text;
}

} // namespace parsleylead

#include "parsleylead/base/uuid.hpp"

#include <random>

namespace parsleylead {
namespace {

constexpr std::size_t text_size = 36;
constexpr std::string_view hex_digits = "0123456789abcdef";

bool is_dash_position(std::size_t index) {
  return index == 8 || index == 13 || index == 18 || index == 23;
}

std::optional<std::uint8_t> hex_value(char digit) {
  if (digit >= '0' && digit <= '9') {
    return static_cast<std::uint8_t>(digit - '0');
  }
  if (digit >= 'a' && digit <= 'f') {
    return static_cast<std::uint8_t>(digit - 'a' + 10);
  }
  if (digit >= 'A' && digit <= 'F') {
    return static_cast<std::uint8_t>(digit - 'A' + 10);
  }
  return std::nullopt;
}

std::uint64_t random_bits() {
  thread_local std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return generator();
}

} // namespace

uuid uuid::make_v7(wall_time created) {
  uuid id;
  const auto millis = static_cast<std::uint64_t>(created.time_since_epoch().count());
  for (std::size_t i = 0; i < 6; ++i) {
    id.bytes_[i] = static_cast<std::uint8_t>(millis >> (8 * (5 - i)));
  }
  const std::uint64_t high = random_bits();
  const std::uint64_t low = random_bits();
  for (std::size_t i = 0; i < 2; ++i) {
    id.bytes_[6 + i] = static_cast<std::uint8_t>(high >> (8 * i));
  }
  for (std::size_t i = 0; i < 8; ++i) {
    id.bytes_[8 + i] = static_cast<std::uint8_t>(low >> (8 * i));
  }
  id.bytes_[6] = static_cast<std::uint8_t>((id.bytes_[6] & 0x0F) | 0x70);
  id.bytes_[8] = static_cast<std::uint8_t>((id.bytes_[8] & 0x3F) | 0x80);
  return id;
}

std::optional<uuid> uuid::parse(std::string_view text) {
  if (text.size() != text_size) {
    return std::nullopt;
  }
  uuid id;
  std::size_t nibble = 0;
  for (std::size_t i = 0; i < text_size; ++i) {
    if (is_dash_position(i)) {
      if (text[i] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const auto value = hex_value(text[i]);
    if (!value) {
      return std::nullopt;
    }
    auto& byte = id.bytes_[nibble / 2];
    byte = static_cast<std::uint8_t>((byte << 4) | *value);
    ++nibble;
  }
  return id;
}

std::optional<wall_time> uuid::created() const {
  const bool is_v7 = (bytes_[6] >> 4) == 7 && (bytes_[8] >> 6) == 2;
  if (!is_v7) {
    return std::nullopt;
  }
  std::uint64_t millis = 0;
  for (std::size_t i = 0; i < 6; ++i) {
    millis = (millis << 8) | bytes_[i];
  }
  return wall_time(std::chrono::milliseconds(static_cast<std::int64_t>(millis)));
}

std::string uuid::to_string() const {
  std::string text;
  text.reserve(text_size);
  for (std::size_t i = 0; i < bytes_.size(); ++i) {
    if (is_dash_position(text.size())) {
      text.push_back('-');
    }
    text.push_back(hex_digits[bytes_[i] >> 4]);
    text.push_back(hex_digits[bytes_[i] & 0x0F]);
  }
  return text;
}

std::uint64_t make_incarnation() {
  std::uint64_t value = 0;
  while (value == 0) {
    value = random_bits();
  }
  return value;
}

} // namespace parsleylead

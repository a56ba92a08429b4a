#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// Structured log lines on standard output, one per event: `time=... part=... event=...`, then the
/// fields as `name=value`. Lines are buffered and written by `flush`, which never blocks. If the
/// reader is slow, lines beyond `max_buffered_bytes` are dropped; their number is logged once there
/// is space again. Each event is limited to `max_lines_per_second`; the next line of that event
/// gives the number of suppressed lines. Not thread-safe.
class event_log {
public:
  static constexpr std::size_t max_buffered_bytes = std::size_t{256} * 1024;
  /// Rate limit of each event: about twice the jobs per second of a busy entry.
  static constexpr std::uint32_t max_lines_per_second = 300;

  explicit event_log(std::string component, int descriptor = 1);

  /// Writes one line. `fields` alternate between a name and its value: text, number or bool.
  template <class... Fields>
  void write(std::string_view event, const Fields&... fields) {
    static_assert(sizeof...(Fields) % 2 == 0, "each field needs a name and a value");
    if (!begin(event)) {
      return;
    }
    append_fields(fields...);
    end();
  }

  /// Writes the buffered lines as far as that does not block.
  void flush();

  std::uint64_t dropped_lines() const { return dropped_lines_; }
  /// Lines not yet written; for tests.
  const std::string& buffered() const { return buffer_; }

private:
  struct rate_limit {
    std::int64_t second = 0;
    std::uint32_t lines_written = 0;
    std::uint64_t suppressed = 0;
  };

  bool begin(std::string_view event);
  void end();
  void append_text(std::string_view name, std::string_view value);
  void append_raw(std::string_view name, std::string_view value);

  void append_fields() {}
  template <class Value, class... Rest>
  void append_fields(std::string_view name, const Value& value, const Rest&... remaining) {
    if constexpr (std::is_same_v<Value, bool>) {
      append_raw(name, value ? "true" : "false");
    } else if constexpr (std::is_arithmetic_v<Value>) {
      append_raw(name, std::to_string(value));
    } else {
      append_text(name, value);
    }
    append_fields(remaining...);
  }

  std::string component_;
  int descriptor_;
  std::string buffer_;
  std::string line_;
  std::map<std::string, rate_limit, std::less<>> rate_limits_;
  std::uint64_t unreported_drops_ = 0;
  std::uint64_t dropped_lines_ = 0;
};

} // namespace parsleylead

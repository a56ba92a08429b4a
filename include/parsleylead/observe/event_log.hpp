#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// Structured log lines on standard output, one event a line: `time=... part=... event=...` and the
/// fields as `name=value`. Lines are kept in memory and written by `flush`, which never waits: what
/// the reader does not take is dropped once `max_buffered_bytes` wait, and the number of dropped
/// lines is written as soon as there is room. Each event has a budget of lines a second; the next
/// line of that event says how many were left out. Not thread-safe.
class event_log {
public:
  static constexpr std::size_t max_buffered_bytes = std::size_t{256} * 1024;
  /// Lines of one event a second: some twice the jobs of a busy entry.
  static constexpr std::uint32_t lines_per_second = 300;

  explicit event_log(std::string part, int descriptor = 1);

  /// Writes one line. `fields` alternate between a name and its value: text, number or bool.
  template <class... Fields>
  void write(std::string_view event, const Fields&... fields) {
    static_assert(sizeof...(Fields) % 2 == 0, "each field needs a name and a value");
    if (!begin(event)) {
      return;
    }
    append_pairs(fields...);
    end();
  }

  /// Hands the kept lines to the operating system as far as that does not block.
  void flush();

  std::uint64_t dropped_lines() const { return dropped_total_; }
  /// Lines that are not yet written, for tests.
  const std::string& buffered() const { return buffer_; }

private:
  struct budget {
    std::int64_t second = 0;
    std::uint32_t used = 0;
    std::uint64_t suppressed = 0;
  };

  bool begin(std::string_view event);
  void end();
  void append_text(std::string_view name, std::string_view value);
  void append_raw(std::string_view name, std::string_view value);

  void append_pairs() {}
  template <class Value, class... Rest>
  void append_pairs(std::string_view name, const Value& value, const Rest&... rest) {
    if constexpr (std::is_same_v<Value, bool>) {
      append_raw(name, value ? "true" : "false");
    } else if constexpr (std::is_arithmetic_v<Value>) {
      append_raw(name, std::to_string(value));
    } else {
      append_text(name, value);
    }
    append_pairs(rest...);
  }

  std::string part_;
  int descriptor_;
  std::string buffer_;
  std::string line_;
  std::map<std::string, budget, std::less<>> budgets_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_total_ = 0;
};

} // namespace parsleylead

#include "parsleylead/observe/event_log.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <ctime>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace parsleylead {
namespace {

// POSIX guarantees that a pipe reported writable by poll accepts this much without blocking.
constexpr std::size_t write_chunk_bytes = 4096;

std::string format_time() {
  const auto now = wall_now();
  const auto millis = now.time_since_epoch().count();
  const std::time_t seconds = millis / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  auto fraction = std::to_string(millis % 1000);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::string(text.data(), length) + "." + fraction + "Z";
}

bool needs_quotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 0x7f;
         });
}

} // namespace

event_log::event_log(std::string component, int descriptor)
    : component_(std::move(component)), descriptor_(descriptor) {}

bool event_log::begin(std::string_view event) {
  const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(lease_now().time_since_epoch()).count();
  auto limit_entry = rate_limits_.find(event);
  if (limit_entry == rate_limits_.end()) {
    limit_entry = rate_limits_.emplace(std::string(event), rate_limit{}).first;
  }
  auto& limit = limit_entry->second;
  if (limit.second != second) {
    limit.second = second;
    limit.lines_written = 0;
  }
  if (limit.lines_written >= max_lines_per_second) {
    ++limit.suppressed;
    return false;
  }
  ++limit.lines_written;
  line_ = "time=" + format_time();
  append_text("part", component_);
  append_text("event", event);
  if (limit.suppressed > 0) {
    append_raw("suppressed", std::to_string(std::exchange(limit.suppressed, 0)));
  }
  return true;
}

void event_log::end() {
  line_ += '\n';
  if (buffer_.size() + line_.size() > max_buffered_bytes) {
    ++unreported_drops_;
    ++dropped_lines_;
    return;
  }
  buffer_ += line_;
}

void event_log::append_raw(std::string_view name, std::string_view value) {
  line_ += ' ';
  line_ += name;
  line_ += '=';
  line_ += value;
}

void event_log::append_text(std::string_view name, std::string_view value) {
  if (!needs_quotes(value)) {
    append_raw(name, value);
    return;
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (std::iscntrl(static_cast<unsigned char>(c)) != 0) {
      quoted += ' ';
    } else {
      quoted += c;
    }
  }
  quoted += '"';
  append_raw(name, quoted);
}

void event_log::flush() {
  std::size_t written_bytes = 0;
  while (written_bytes < buffer_.size()) {
    pollfd ready{descriptor_, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const auto chunk_bytes = std::min(write_chunk_bytes, buffer_.size() - written_bytes);
    const auto written = ::write(descriptor_, buffer_.data() + written_bytes, chunk_bytes);
    if (written <= 0) {
      break;
    }
    written_bytes += static_cast<std::size_t>(written);
  }
  buffer_.erase(0, written_bytes);
  if (unreported_drops_ > 0 && buffer_.size() < max_buffered_bytes / 2) {
    const auto lines = std::exchange(unreported_drops_, 0);
    write("log_lines_dropped", "lines", lines);
  }
}

} // namespace parsleylead

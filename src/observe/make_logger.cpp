#include "parsleylead/observe/make_logger.hpp"

#include <array>
#include <chrono>
#include <ctime>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace parsleylead {
namespace {

constexpr std::size_t queue_size = 8192;

std::string_view level_name(spdlog::level::level_enum level) {
  switch (level) {
  case spdlog::level::trace:
  case spdlog::level::debug:
    return "debug";
  case spdlog::level::info:
    return "info";
  case spdlog::level::warn:
    return "warning";
  default:
    return "error";
  }
}

spdlog::level::level_enum parse_level(std::string_view name) {
  for (const auto level : {spdlog::level::debug, spdlog::level::warn, spdlog::level::err}) {
    if (level_name(level) == name) {
      return level;
    }
  }
  return spdlog::level::info;
}

/// Formats a time as RFC 3339 in UTC with milliseconds.
std::string format_time(spdlog::log_clock::time_point time) {
  const auto millis = std::chrono::floor<std::chrono::milliseconds>(time);
  const auto whole_seconds = std::chrono::floor<std::chrono::seconds>(millis);
  const std::time_t seconds = std::chrono::system_clock::to_time_t(whole_seconds);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  return fmt::format("{}.{:03}Z", text.data(), (millis - whole_seconds).count());
}

/// Quotes the text as a JSON string. Bytes that are not valid UTF-8 are replaced.
std::string to_json_string(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

class line_formatter final : public spdlog::formatter {
public:
  line_formatter(std::string component, bool as_json)
      : component_(std::move(component)), as_json_(as_json) {}

  void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& out) override {
    const std::string_view text(message.payload.data(), message.payload.size());
    const std::string line = as_json_ ? json_line(message, text) : plain_line(message, text);
    out.append(line.data(), line.data() + line.size());
  }

  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<line_formatter>(component_, as_json_);
  }

private:
  std::string json_line(const spdlog::details::log_msg& message, std::string_view text) const {
    return fmt::format(R"({{"time":"{}","level":"{}","part":{},"message":{}}})"
                       "\n",
                       format_time(message.time), level_name(message.level),
                       to_json_string(component_), to_json_string(text));
  }

  std::string plain_line(const spdlog::details::log_msg& message, std::string_view text) const {
    auto line =
        fmt::format("{} {} {}: ", format_time(message.time), level_name(message.level), component_);
    for (const char c : text) {
      if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
        line += fmt::format("\\x{:02x}", static_cast<unsigned>(c));
      } else {
        line += c;
      }
    }
    line += '\n';
    return line;
  }

  std::string component_;
  bool as_json_;
};

std::shared_ptr<spdlog::details::thread_pool> writer_pool() {
  static const auto pool = std::make_shared<spdlog::details::thread_pool>(queue_size, 1);
  return pool;
}

} // namespace

std::unique_ptr<spdlog::formatter> make_log_formatter(const std::string& component,
                                                      const std::string& format) {
  return std::make_unique<line_formatter>(component, format == "json");
}

std::shared_ptr<spdlog::logger> make_logger(const std::string& component,
                                            const logging_settings& settings) {
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  sink->set_formatter(make_log_formatter(component, settings.format));
  auto logger = std::make_shared<spdlog::async_logger>(
      component, std::move(sink), writer_pool(), spdlog::async_overflow_policy::overrun_oldest);
  logger->set_level(parse_level(settings.level));
  return logger;
}

std::size_t dropped_log_lines() {
  return writer_pool()->overrun_counter();
}

} // namespace parsleylead

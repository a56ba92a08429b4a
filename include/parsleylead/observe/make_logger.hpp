#pragma once

#include <memory>
#include <spdlog/formatter.h>
#include <spdlog/logger.h>
#include <string>

#include "parsleylead/settings/common_settings.hpp"

namespace parsleylead {

/// Creates the logger of a component ("entry", "catalogue", ...). A background thread writes the
/// lines to standard error, so that a stalled reader never blocks a control thread; if the queue of
/// 8192 lines is full, the oldest lines are dropped. Lines still queued when `main` returns are
/// written. Thread-safe.
std::shared_ptr<spdlog::logger> make_logger(const std::string& component,
                                            const logging_settings& settings);

/// Number of log lines dropped so far in this process. Thread-safe.
std::size_t dropped_log_lines();

/// The format of `make_logger`. Plain: "2026-01-31T12:00:00.000Z info entry: message". JSON: one
/// object a line with "time", "level", "part" and "message". Line breaks and other control
/// characters in messages are escaped, so that each message is one line.
std::unique_ptr<spdlog::formatter> make_log_formatter(const std::string& component,
                                                      const std::string& format);

} // namespace parsleylead

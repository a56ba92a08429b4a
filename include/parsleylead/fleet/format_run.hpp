#pragma once

#include <array>
#include <cstdio>
#include <string>

#include "parsleylead/fleet/run_types.hpp"

namespace parsleylead {

/// A job's id as 16 lower-case hexadecimal digits, as callers write it. Thread-safe.
inline std::string format_job(std::uint64_t id) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id));
  return text.data();
}

/// Job, step, index and attempt, for logs. Thread-safe.
inline std::string format_run(const run_id& run) {
  return format_job(run.task.job) + "." + std::to_string(run.task.step) + "." +
         std::to_string(run.task.index) + "#" + std::to_string(run.attempt);
}

} // namespace parsleylead

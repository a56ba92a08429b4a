#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace parsleylead {

/// XXH3 digest of a job's kind and payloads. Tells a repeated request from another one with the
/// same key. No protection against callers that construct collisions. Thread-safe.
std::uint64_t request_digest(std::string_view kind, std::span<const std::string> payloads);

} // namespace parsleylead

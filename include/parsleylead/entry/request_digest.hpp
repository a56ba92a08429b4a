#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace parsleylead {

/// XXH3 digest of a job's kind and payloads, used to tell a repeated request from a different one
/// with the same key. Not collision-resistant against malicious callers. Thread-safe.
std::uint64_t request_digest(std::string_view kind, std::span<const std::string> payloads);

} // namespace parsleylead

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleylead {

/// Position of one span in a trace: W3C Trace Context, level 1 (header `traceparent`).
struct trace_context {
  /// Both halves of the 16-byte trace id.
  std::uint64_t trace_high = 0;
  std::uint64_t trace_low = 0;
  std::uint64_t span_id = 0;
  /// 0 for the first span of a trace.
  std::uint64_t parent_span_id = 0;
  /// Bit 0: sampled.
  std::uint8_t flags = 1;

  /// The first span of a new trace. Thread-safe.
  static trace_context make_root();

  /// Parses a `traceparent` header; nullopt if it is invalid. Of later versions than 00, only the
  /// fields defined by version 00 are read.
  static std::optional<trace_context> parse(std::string_view traceparent);

  /// A child of the sender's span, or a new trace if the header is empty or invalid. Thread-safe.
  static trace_context continue_from(std::string_view traceparent);

  /// A new child span of this one. Thread-safe.
  trace_context child() const;

  /// The `traceparent` header value for this span.
  std::string traceparent() const;

  /// The ids in lower-case hexadecimal.
  std::string trace_id_text() const;
  std::string span_id_text() const;
  std::string parent_span_id_text() const;

  bool operator==(const trace_context&) const = default;
};

} // namespace parsleylead

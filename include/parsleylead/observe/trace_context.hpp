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

  /// The sender's span, as named by a `traceparent` header; nothing if the header is invalid.
  /// Versions above 00 are read as far as version 00 defines them.
  static std::optional<trace_context> parse(std::string_view traceparent);

  /// A child of the sender's span, or a new trace if the header is empty or invalid. Thread-safe.
  static trace_context continue_from(std::string_view traceparent);

  /// A new span below this one. Thread-safe.
  trace_context child() const;

  /// Header value that names this span.
  std::string traceparent() const;

  /// The ids in lower-case hexadecimal.
  std::string trace_id_text() const;
  std::string span_id_text() const;
  std::string parent_span_id_text() const;

  bool operator==(const trace_context&) const = default;
};

} // namespace parsleylead

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "parsleylead/observe/trace_context.hpp"

namespace parsleylead {

/// Side of a span, with the numeric values of OTLP's SpanKind.
enum class span_kind : std::uint8_t { internal = 1, server = 2, client = 3 };

/// One finished span.
struct span {
  trace_context context;
  std::string name;
  span_kind kind = span_kind::internal;
  std::chrono::system_clock::time_point start;
  std::chrono::system_clock::time_point end;
  std::vector<std::pair<std::string, std::string>> attributes;
  /// Empty if the span succeeded; otherwise the reason.
  std::string error;
};

/// The span as an OTLP/JSON `ExportTraceServiceRequest` on one line, without a line break.
std::string to_otlp_json(const span& value, const std::string& service);

/// Appends spans to a file, one line each, on a background thread. Never blocks the caller: if the
/// queue is full, the span is dropped and counted. All methods are thread-safe.
class span_writer {
public:
  static constexpr std::size_t default_queue_size = 4096;

  /// `service` is the process's name. An empty path disables the writer. A file that cannot be
  /// opened or written makes every span count as dropped.
  span_writer(const std::string& path, std::string service,
              std::size_t queue_size = default_queue_size);
  /// Writes the queued spans.
  ~span_writer();
  span_writer(const span_writer&) = delete;
  span_writer& operator=(const span_writer&) = delete;

  /// Whether spans are recorded; if not, callers can skip creating them.
  bool enabled() const;
  void write(span value);
  std::uint64_t dropped() const;

private:
  class state;
  std::unique_ptr<state> state_;
};

} // namespace parsleylead

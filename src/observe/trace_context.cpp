#include "parsleylead/observe/trace_context.hpp"

#include <charconv>
#include <spdlog/fmt/fmt.h>

#include "parsleylead/base/uuid.hpp"

namespace parsleylead {
namespace {

// "00-<32 hex>-<16 hex>-<2 hex>"
constexpr std::size_t header_size = 55;
constexpr std::size_t trace_position = 3;
constexpr std::size_t span_position = 36;
constexpr std::size_t flags_position = 53;

std::optional<std::uint64_t> parse_hex(std::string_view text) {
  if (text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return value;
}

bool has_valid_layout(std::string_view header) {
  if (header.size() < header_size || header[2] != '-' || header[span_position - 1] != '-' ||
      header[flags_position - 1] != '-') {
    return false;
  }
  const auto version = parse_hex(header.substr(0, 2));
  if (!version || *version == 0xff) {
    return false;
  }
  if (header.size() == header_size) {
    return true;
  }
  return *version != 0 && header[header_size] == '-';
}

} // namespace

trace_context trace_context::make_root() {
  return {make_incarnation(), make_incarnation(), make_incarnation(), 0, 1};
}

std::optional<trace_context> trace_context::parse(std::string_view traceparent) {
  if (!has_valid_layout(traceparent)) {
    return std::nullopt;
  }
  const auto high = parse_hex(traceparent.substr(trace_position, 16));
  const auto low = parse_hex(traceparent.substr(trace_position + 16, 16));
  const auto span = parse_hex(traceparent.substr(span_position, 16));
  const auto flags = parse_hex(traceparent.substr(flags_position, 2));
  if (!high || !low || !span || !flags || (*high == 0 && *low == 0) || *span == 0) {
    return std::nullopt;
  }
  return trace_context{*high, *low, *span, 0, static_cast<std::uint8_t>(*flags)};
}

trace_context trace_context::continue_from(std::string_view traceparent) {
  const auto sender = parse(traceparent);
  return sender ? sender->child() : make_root();
}

trace_context trace_context::child() const {
  return {trace_high, trace_low, make_incarnation(), span_id, flags};
}

std::string trace_context::traceparent() const {
  // Only the sampled bit is defined; undefined bits must not be forwarded.
  return fmt::format("00-{}-{}-{:02x}", trace_id_text(), span_id_text(), flags & 1U);
}

std::string trace_context::trace_id_text() const {
  return fmt::format("{:016x}{:016x}", trace_high, trace_low);
}

std::string trace_context::span_id_text() const {
  return fmt::format("{:016x}", span_id);
}

std::string trace_context::parent_span_id_text() const {
  return parent_span_id == 0 ? std::string() : fmt::format("{:016x}", parent_span_id);
}

} // namespace parsleylead

#pragma once

#include <cstddef>
#include <http_parser.h>
#include <limits>
#include <string>

#include "parsleylead/web/web_message.hpp"

namespace parsleylead {

/// Parses HTTP messages from a byte stream, one at a time. Not thread-safe.
class message_parser {
public:
  enum class result {
    incomplete,
    complete,
    malformed,
    /// The header fields or the body have too many bytes.
    too_large,
    too_many_fields,
  };

  /// Limit of the number of header fields if none is given.
  static constexpr std::size_t unlimited_fields = std::numeric_limits<std::size_t>::max();

  /// `type` is HTTP_REQUEST or HTTP_RESPONSE. The first two limits are in bytes.
  message_parser(http_parser_type type, std::size_t max_header_bytes, std::size_t max_body_bytes,
                 std::size_t max_header_fields = unlimited_fields);

  /// Consumes bytes from the front of `input` up to the end of the message.
  result feed(std::string& input);

  /// Signals the end of the stream, which ends the body of a response without a length.
  result feed_eof();

  /// Discards the parsed message and prepares for the next one.
  void reset();

  /// Memory that the message holds, in bytes.
  std::size_t held_bytes() const;

  bool started() const { return started_; }
  bool keep_alive() const { return keep_alive_; }
  int status() const { return static_cast<int>(parser_.status_code); }

  std::string method;
  std::string target;
  web_headers headers;
  std::string body;

private:
  static const http_parser_settings& callbacks();
  static message_parser& instance(http_parser* parser);
  int add_header_bytes(std::size_t length);
  void append_field_name(const char* data, std::size_t length);
  int append_body(const char* data, std::size_t length);

  http_parser parser_{};
  http_parser_type type_;
  std::size_t max_header_bytes_;
  std::size_t max_body_bytes_;
  std::size_t max_header_fields_;
  std::size_t header_bytes_ = 0;
  /// Upper bound of the size of the body: the length that its header states, or the limit.
  std::size_t body_bound_ = 0;
  bool in_header_value_ = false;
  bool started_ = false;
  bool complete_ = false;
  bool too_large_ = false;
  bool too_many_fields_ = false;
  bool keep_alive_ = false;
};

} // namespace parsleylead

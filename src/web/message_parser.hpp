#pragma once

#include <cstddef>
#include <http_parser.h>
#include <string>

#include "parsleylead/web/web_message.hpp"

namespace parsleylead {

/// Parses HTTP messages from a byte stream, one at a time. Not thread-safe.
class message_parser {
public:
  enum class result { incomplete, complete, malformed, too_large };

  /// `type` is HTTP_REQUEST or HTTP_RESPONSE. The limits are in bytes.
  message_parser(http_parser_type type, std::size_t max_header_bytes, std::size_t max_body_bytes);

  /// Consumes bytes from the front of `input` up to the end of the message.
  result feed(std::string& input);

  /// Signals the end of the stream, which ends the body of a response without a length.
  result feed_eof();

  /// Discards the parsed message and prepares for the next one.
  void reset();

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

  http_parser parser_{};
  http_parser_type type_;
  std::size_t max_header_bytes_;
  std::size_t max_body_bytes_;
  std::size_t header_bytes_ = 0;
  bool in_header_value_ = false;
  bool started_ = false;
  bool complete_ = false;
  bool too_large_ = false;
  bool keep_alive_ = false;
};

} // namespace parsleylead

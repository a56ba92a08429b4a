#include "message_parser.hpp"

#include <algorithm>
#include <cctype>

namespace parsleylead {

message_parser::message_parser(http_parser_type type, std::size_t max_header_bytes,
                               std::size_t max_body_bytes)
    : type_(type), max_header_bytes_(max_header_bytes), max_body_bytes_(max_body_bytes) {
  reset();
}

void message_parser::reset() {
  http_parser_init(&parser_, type_);
  parser_.data = this;
  method.clear();
  target.clear();
  headers.clear();
  body.clear();
  header_bytes_ = 0;
  in_header_value_ = false;
  started_ = false;
  complete_ = false;
  too_large_ = false;
  keep_alive_ = false;
}

message_parser& message_parser::instance(http_parser* parser) {
  return *static_cast<message_parser*>(parser->data);
}

const http_parser_settings& message_parser::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings handlers{};
    http_parser_settings_init(&handlers);
    handlers.on_message_begin = [](http_parser* parser) {
      instance(parser).started_ = true;
      return 0;
    };
    handlers.on_url = [](http_parser* parser, const char* data, std::size_t length) {
      auto& self = instance(parser);
      self.target.append(data, length);
      self.header_bytes_ += length;
      self.too_large_ = self.header_bytes_ > self.max_header_bytes_;
      return self.too_large_ ? 1 : 0;
    };
    handlers.on_header_field = [](http_parser* parser, const char* data, std::size_t length) {
      auto& self = instance(parser);
      if (self.in_header_value_ || self.headers.empty()) {
        self.headers.emplace_back();
        self.in_header_value_ = false;
      }
      std::transform(data, data + length, std::back_inserter(self.headers.back().first),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      self.header_bytes_ += length;
      self.too_large_ = self.header_bytes_ > self.max_header_bytes_;
      return self.too_large_ ? 1 : 0;
    };
    handlers.on_header_value = [](http_parser* parser, const char* data, std::size_t length) {
      auto& self = instance(parser);
      self.in_header_value_ = true;
      self.headers.back().second.append(data, length);
      self.header_bytes_ += length;
      self.too_large_ = self.header_bytes_ > self.max_header_bytes_;
      return self.too_large_ ? 1 : 0;
    };
    handlers.on_body = [](http_parser* parser, const char* data, std::size_t length) {
      auto& self = instance(parser);
      if (self.body.size() + length > self.max_body_bytes_) {
        self.too_large_ = true;
        return 1;
      }
      self.body.append(data, length);
      return 0;
    };
    handlers.on_message_complete = [](http_parser* parser) {
      auto& self = instance(parser);
      self.complete_ = true;
      self.keep_alive_ = http_should_keep_alive(parser) != 0;
      http_parser_pause(parser, 1);
      return 0;
    };
    return handlers;
  }();
  return settings;
}

message_parser::result message_parser::feed(std::string& input) {
  if (input.empty()) {
    return result::incomplete;
  }
  const auto consumed = http_parser_execute(&parser_, &callbacks(), input.data(), input.size());
  input.erase(0, consumed);
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  if (too_large_ || error == HPE_HEADER_OVERFLOW) {
    return result::too_large;
  }
  if (error != HPE_OK && error != HPE_PAUSED) {
    return result::malformed;
  }
  if (!complete_) {
    return result::incomplete;
  }
  if (type_ == HTTP_REQUEST) {
    method = http_method_str(static_cast<http_method>(parser_.method));
  }
  return result::complete;
}

message_parser::result message_parser::feed_eof() {
  http_parser_execute(&parser_, &callbacks(), nullptr, 0);
  return complete_ ? result::complete : result::malformed;
}

} // namespace parsleylead

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
  value_open_ = false;
  started_ = false;
  complete_ = false;
  too_large_ = false;
  keep_alive_ = false;
}

message_parser& message_parser::self(http_parser* parser) {
  return *static_cast<message_parser*>(parser->data);
}

const http_parser_settings& message_parser::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings made{};
    http_parser_settings_init(&made);
    made.on_message_begin = [](http_parser* parser) {
      self(parser).started_ = true;
      return 0;
    };
    made.on_url = [](http_parser* parser, const char* at, std::size_t length) {
      auto& me = self(parser);
      me.target.append(at, length);
      me.header_bytes_ += length;
      me.too_large_ = me.header_bytes_ > me.max_header_bytes_;
      return me.too_large_ ? 1 : 0;
    };
    made.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
      auto& me = self(parser);
      if (me.value_open_ || me.headers.empty()) {
        me.headers.emplace_back();
        me.value_open_ = false;
      }
      std::transform(at, at + length, std::back_inserter(me.headers.back().first),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      me.header_bytes_ += length;
      me.too_large_ = me.header_bytes_ > me.max_header_bytes_;
      return me.too_large_ ? 1 : 0;
    };
    made.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
      auto& me = self(parser);
      me.value_open_ = true;
      me.headers.back().second.append(at, length);
      me.header_bytes_ += length;
      me.too_large_ = me.header_bytes_ > me.max_header_bytes_;
      return me.too_large_ ? 1 : 0;
    };
    made.on_body = [](http_parser* parser, const char* at, std::size_t length) {
      auto& me = self(parser);
      if (me.body.size() + length > me.max_body_bytes_) {
        me.too_large_ = true;
        return 1;
      }
      me.body.append(at, length);
      return 0;
    };
    made.on_message_complete = [](http_parser* parser) {
      auto& me = self(parser);
      me.complete_ = true;
      me.keep_alive_ = http_should_keep_alive(parser) != 0;
      http_parser_pause(parser, 1);
      return 0;
    };
    return made;
  }();
  return settings;
}

message_parser::result message_parser::feed(std::string& input) {
  if (input.empty()) {
    return result::incomplete;
  }
  const auto used = http_parser_execute(&parser_, &callbacks(), input.data(), input.size());
  input.erase(0, used);
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

message_parser::result message_parser::feed_end() {
  http_parser_execute(&parser_, &callbacks(), nullptr, 0);
  return complete_ ? result::complete : result::malformed;
}

} // namespace parsleylead

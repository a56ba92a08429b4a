#include "message_parser.hpp"

#include <algorithm>
#include <cctype>

#include "release_memory.hpp"

namespace parsleylead {
namespace {

// Result of a callback that ends the parsing. 1 and 2 have another meaning for some callbacks.
constexpr int stop_parsing = -1;

} // namespace

message_parser::message_parser(http_parser_type type, std::size_t max_header_bytes,
                               std::size_t max_body_bytes, std::size_t max_header_fields)
    : type_(type), max_header_bytes_(max_header_bytes), max_body_bytes_(max_body_bytes),
      max_header_fields_(max_header_fields) {
  reset();
}

void message_parser::reset() {
  http_parser_init(&parser_, type_);
  parser_.data = this;
  release_memory(method);
  release_memory(target);
  release_memory(headers);
  release_memory(body);
  header_bytes_ = 0;
  body_bound_ = max_body_bytes_;
  in_header_value_ = false;
  started_ = false;
  complete_ = false;
  too_large_ = false;
  too_many_fields_ = false;
  keep_alive_ = false;
}

message_parser& message_parser::instance(http_parser* parser) {
  return *static_cast<message_parser*>(parser->data);
}

int message_parser::add_header_bytes(std::size_t length) {
  header_bytes_ += length;
  too_large_ = header_bytes_ > max_header_bytes_;
  return too_large_ ? stop_parsing : 0;
}

void message_parser::append_field_name(const char* data, std::size_t length) {
  if (in_header_value_ || headers.empty()) {
    headers.emplace_back();
    in_header_value_ = false;
  }
  std::transform(data, data + length, std::back_inserter(headers.back().first),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
}

int message_parser::append_body(const char* data, std::size_t length) {
  const auto size = body.size() + length;
  if (size > max_body_bytes_) {
    too_large_ = true;
    return stop_parsing;
  }
  if (size > body.capacity()) {
    // Grows geometrically, but not beyond what the body can need.
    body.reserve(std::max(size, std::min(2 * body.capacity(), body_bound_)));
  }
  body.append(data, length);
  return 0;
}

std::size_t message_parser::held_bytes() const {
  // The text of a field is at least as large as the allocations for it, except for their overhead.
  constexpr std::size_t field_overhead = sizeof(web_headers::value_type) + 64;
  return target.capacity() + body.capacity() + headers.capacity() * field_overhead + header_bytes_;
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
      return self.add_header_bytes(length);
    };
    handlers.on_header_field = [](http_parser* parser, const char* data, std::size_t length) {
      auto& self = instance(parser);
      self.append_field_name(data, length);
      self.too_many_fields_ = self.headers.size() > self.max_header_fields_;
      return self.too_many_fields_ ? stop_parsing : self.add_header_bytes(length);
    };
    handlers.on_header_value = [](http_parser* parser, const char* data, std::size_t length) {
      auto& self = instance(parser);
      self.in_header_value_ = true;
      self.headers.back().second.append(data, length);
      return self.add_header_bytes(length);
    };
    handlers.on_headers_complete = [](http_parser* parser) {
      auto& self = instance(parser);
      const bool has_length = parser->content_length != std::numeric_limits<std::uint64_t>::max();
      // A response to some requests has a length and no body.
      self.too_large_ =
          has_length && self.type_ == HTTP_REQUEST && parser->content_length > self.max_body_bytes_;
      if (has_length) {
        self.body_bound_ = std::min<std::uint64_t>(parser->content_length, self.max_body_bytes_);
      }
      return self.too_large_ ? stop_parsing : 0;
    };
    handlers.on_body = [](http_parser* parser, const char* data, std::size_t length) {
      return instance(parser).append_body(data, length);
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
  if (too_many_fields_) {
    return result::too_many_fields;
  }
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

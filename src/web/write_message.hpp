#pragma once

#include <string>

#include "parsleylead/web/web_message.hpp"

namespace parsleylead {

/// Serializes a response. The content type of a body defaults to JSON. Thread-safe.
std::string write_response(const web_response& response, bool keep_alive);

/// Serializes a request; `authority` is the default of the host header. Thread-safe.
std::string write_request(const web_request& request, const std::string& authority);

} // namespace parsleylead

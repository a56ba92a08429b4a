#pragma once

#include <string>

#include "parsleylead/web/web_message.hpp"

namespace parsleylead {

/// The bytes of a response. A body is sent as JSON unless a content type is given. Thread-safe.
std::string write_response(const web_response& response, bool keep_alive);

/// The bytes of a request for the host `authority`. Thread-safe.
std::string write_request(const web_request& request, const std::string& authority);

} // namespace parsleylead

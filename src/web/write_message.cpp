#include "write_message.hpp"

#include <http_parser.h>

namespace parsleylead {
namespace {

void append_fields(std::string& out, const web_headers& headers, const std::string& body) {
  for (const auto& [name, value] : headers) {
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
  }
  if (!body.empty() && find_header(headers, "content-type").empty()) {
    out += "content-type: application/json\r\n";
  }
  out += "content-length: ";
  out += std::to_string(body.size());
  out += "\r\n";
}

} // namespace

std::string write_response(const web_response& response, bool keep_alive) {
  std::string out = "HTTP/1.1 ";
  out += std::to_string(response.status);
  out += ' ';
  out += http_status_str(static_cast<http_status>(response.status));
  out += "\r\n";
  append_fields(out, response.headers, response.body);
  out += keep_alive ? "\r\n" : "connection: close\r\n\r\n";
  out += response.body;
  return out;
}

std::string write_request(const web_request& request, const std::string& authority) {
  std::string out = request.method + ' ' + request.target + " HTTP/1.1\r\n";
  if (find_header(request.headers, "host").empty()) {
    out += "host: " + authority + "\r\n";
  }
  append_fields(out, request.headers, request.body);
  out += "\r\n";
  out += request.body;
  return out;
}

} // namespace parsleylead

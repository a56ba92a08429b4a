#pragma once

#include <asio/error_code.hpp>
#include <asio/ip/tcp.hpp>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

/// Opens the acceptor, binds it to the address and listens. Returns the first error, if any.
asio::error_code bind_and_listen(asio::ip::tcp::acceptor& acceptor, const endpoint& address);

/// As `bind_and_listen`, with the address in the error message. Errors: kUnavailable.
absl::Status open_acceptor(asio::ip::tcp::acceptor& acceptor, const endpoint& address);

} // namespace parsleylead

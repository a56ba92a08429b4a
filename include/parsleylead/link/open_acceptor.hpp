#pragma once

#include <asio/error_code.hpp>
#include <asio/ip/tcp.hpp>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

/// Binds the acceptor to the address and listens; the first error, or none.
asio::error_code listen_at(asio::ip::tcp::acceptor& acceptor, const endpoint& address);

/// Opens the acceptor at the address and listens. Errors: kUnavailable.
absl::Status open_acceptor(asio::ip::tcp::acceptor& acceptor, const endpoint& address);

} // namespace parsleylead

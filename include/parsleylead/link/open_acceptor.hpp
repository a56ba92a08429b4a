#pragma once

#include <asio/ip/tcp.hpp>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

/// Opens the acceptor at the address and listens. Errors: kUnavailable.
absl::Status open_acceptor(asio::ip::tcp::acceptor& acceptor, const endpoint& address);

} // namespace parsleylead

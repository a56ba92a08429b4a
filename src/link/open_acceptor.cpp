#include "parsleylead/link/open_acceptor.hpp"

namespace parsleylead {

using asio::ip::tcp;

asio::error_code bind_and_listen(tcp::acceptor& acceptor, const endpoint& address) {
  asio::error_code error;
  const tcp::endpoint local_address(asio::ip::make_address(address.ip, error), address.port);
  if (!error) {
    acceptor.open(local_address.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(local_address, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  return error;
}

absl::Status open_acceptor(tcp::acceptor& acceptor, const endpoint& address) {
  if (const auto error = bind_and_listen(acceptor, address)) {
    return absl::UnavailableError("cannot listen at " + to_string(address) + ": " +
                                  error.message());
  }
  return absl::OkStatus();
}

} // namespace parsleylead

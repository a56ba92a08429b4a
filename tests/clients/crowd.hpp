#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

#include "parsleylead/base/endpoint.hpp"

namespace parsleylead::clients {

/// What each connection of a crowd sends, and how it reads.
struct client_behavior {
  /// Sent once on each connection, which then stays open until the server closes it.
  std::string text;
  /// The text is sent in pieces of this size; 0: at once.
  std::size_t piece_bytes = 0;
  std::chrono::milliseconds piece_interval{0};
  /// The connection reads this many bytes per `read_interval`; 0: it reads nothing.
  std::size_t read_bytes = 0;
  std::chrono::milliseconds read_interval{100};
};

/// Connections to one server that all behave alike, on a thread of their own. A connection that the
/// server closes is opened again after a delay.
class crowd {
public:
  crowd(const endpoint& server, std::size_t connections, const client_behavior& behavior);
  ~crowd();
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  /// Number of connections that have been opened so far. Thread-safe.
  std::size_t opened() const { return opened_; }

private:
  class client;

  asio::io_context io_;
  client_behavior behavior_;
  std::atomic<std::size_t> opened_{0};
  std::thread thread_;
};

} // namespace parsleylead::clients

#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// A TCP connection that carries length-prefixed frames: a four-byte big-endian length, then the
/// payload. Frames sent in one iteration of the loop are written with one system call. Used on the
/// loop's thread only.
class frame_link : public std::enable_shared_from_this<frame_link> {
public:
  /// A longer frame closes the connection.
  static constexpr std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;
  /// Limit of unsent data; the connection is closed when a peer that reads too slowly exceeds it.
  static constexpr std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;

  /// Takes ownership of a connected socket.
  explicit frame_link(asio::ip::tcp::socket socket);

  /// Starts reading. `on_frame` is called for each frame. `on_closed` is called at most once, when
  /// the connection fails or the peer closes it, but not after `close`.
  void start(std::function<void(std::string_view)> on_frame,
             std::function<void(const std::string& cause)> on_closed);

  void send(std::string_view payload);

  /// Closes the connection instead of delivering bytes that arrive after a longer silence. The
  /// default is 24 hours.
  void set_max_silence(std::chrono::milliseconds limit) { max_silence_ = limit; }

  /// Closes without calling `on_closed`.
  void close();

  /// Time of the last bytes received, or of the connection's start.
  monotonic_time last_received() const { return last_received_; }
  /// Time of the last frame sent, or of the connection's start.
  monotonic_time last_sent() const { return last_sent_; }
  std::string peer() const { return peer_; }

private:
  void read();
  void write();
  void parse();
  void fail(const std::string& cause);

  asio::ip::tcp::socket socket_;
  std::string peer_;
  std::function<void(std::string_view)> on_frame_;
  std::function<void(const std::string&)> on_closed_;
  std::string receive_buffer_;
  std::string send_queue_;
  std::string write_buffer_;
  std::string read_chunk_;
  monotonic_time last_received_;
  monotonic_time last_sent_;
  std::chrono::nanoseconds max_silence_ = std::chrono::hours(24);
  bool write_scheduled_ = false;
  bool closed_ = false;
};

/// Accepts frame connections at one address. Used on the loop's thread only.
class frame_acceptor {
public:
  frame_acceptor(asio::io_context& io, std::function<void(std::shared_ptr<frame_link>)> on_link);

  /// Errors: kUnavailable.
  absl::Status listen(const endpoint& address);

private:
  void accept_next();

  asio::ip::tcp::acceptor acceptor_;
  std::function<void(std::shared_ptr<frame_link>)> on_link_;
};

/// Connects to "ip:port". `done` is called once, later than this call, with a null pointer and the
/// cause on failure or after `timeout`.
void connect_frame_link(
    asio::io_context& io, const std::string& address, std::chrono::milliseconds timeout,
    std::function<void(std::shared_ptr<frame_link>, const std::string& cause)> done);

} // namespace parsleylead

#pragma once

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace parsleylead {

/// Calls a function in a later turn of the loop, once for all requests that are made until then;
/// not after its own destruction. Used on the loop's thread only.
class post_once {
public:
  /// `io` must outlive the object.
  post_once(asio::io_context& io, std::function<void()> what)
      : io_(io), state_(std::make_shared<state>(state{std::move(what)})) {}

  void operator()() {
    if (std::exchange(state_->posted, true)) {
      return;
    }
    asio::post(io_, [weak = std::weak_ptr(state_)] {
      if (const auto each = weak.lock()) {
        each->posted = false;
        each->what();
      }
    });
  }

private:
  struct state {
    std::function<void()> what;
    bool posted = false;
  };

  asio::io_context& io_;
  std::shared_ptr<state> state_;
};

} // namespace parsleylead

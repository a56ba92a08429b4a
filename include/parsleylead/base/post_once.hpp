#pragma once

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace parsleylead {

/// Posts a handler to the loop. Requests made before the handler runs share one call; after the
/// object is destroyed it is not called any more. Used on the loop's thread only.
class post_once {
public:
  /// `io` must outlive the object.
  post_once(asio::io_context& io, std::function<void()> handler)
      : io_(io), state_(std::make_shared<state>(state{std::move(handler)})) {}

  void operator()() {
    if (std::exchange(state_->posted, true)) {
      return;
    }
    asio::post(io_, [state = std::weak_ptr(state_)] {
      if (const auto locked = state.lock()) {
        locked->posted = false;
        locked->handler();
      }
    });
  }

private:
  struct state {
    std::function<void()> handler;
    bool posted = false;
  };

  asio::io_context& io_;
  std::shared_ptr<state> state_;
};

} // namespace parsleylead

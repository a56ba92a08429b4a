#pragma once

#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace parsleylead {

/// Calls `what` on the timer's loop after `delay`, unless the timer is set again, cancelled or
/// destroyed before. Used on the loop's thread only.
template <class Function>
void call_after(asio::steady_timer& timer, std::chrono::milliseconds delay, Function what) {
  timer.expires_after(delay);
  timer.async_wait([what = std::move(what)](const asio::error_code& error) {
    if (!error) {
      what();
    }
  });
}

} // namespace parsleylead

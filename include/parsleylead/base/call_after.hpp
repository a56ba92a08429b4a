#pragma once

#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace parsleylead {

/// Calls `handler` on the timer's loop after `delay`, unless the timer is set again, cancelled or
/// destroyed before it expires. After that the handler may be due already and is still called, so
/// it must not use an object that may be gone by then. Used on the loop's thread only.
template <class Function>
void call_after(asio::steady_timer& timer, std::chrono::milliseconds delay, Function handler) {
  timer.expires_after(delay);
  timer.async_wait([handler = std::move(handler)](const asio::error_code& error) {
    if (!error) {
      handler();
    }
  });
}

} // namespace parsleylead

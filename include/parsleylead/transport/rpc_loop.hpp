#pragma once

#include <kj/async.h>
#include <kj/debug.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <chrono>

namespace parsleylead {

/// Runs the KJ event loop of Cap'n Proto RPC on an Asio io_context, in one thread. Handlers posted
/// to `io()` and KJ continuations run on the thread that called `run`.
///
/// Example:
///   rpc_loop loop;
///   asio::post(loop.io(), [] { start(); });
///   loop.run();  // until loop.stop()
class rpc_loop {
public:
  rpc_loop();
  ~rpc_loop();
  rpc_loop(const rpc_loop&) = delete;
  rpc_loop& operator=(const rpc_loop&) = delete;

  /// The io_context of the loop. Posting to it is thread-safe.
  asio::io_context& io() { return io_; }

  /// Runs until `stop`. Precondition: called on the thread that constructed the loop, and not from
  /// within a handler.
  void run();

  /// Ends `run` after the current handler. Thread-safe.
  void stop();

  /// Waits for a promise while the loop runs; for tests and command-line tools. Same precondition
  /// as `run`.
  template <class T>
  T wait(kj::Promise<T> promise) {
    return promise.wait(wait_scope_);
  }

  /// A promise that resolves after `delay`; dropping it cancels the timer. Control thread only.
  kj::Promise<void> sleep_for(std::chrono::milliseconds delay);

  /// Rejects with an exception of type OVERLOADED and the text "timeout" if `promise` is not done
  /// within `limit`. Control thread only.
  template <class T>
  kj::Promise<T> with_timeout(kj::Promise<T> promise, std::chrono::milliseconds limit) {
    auto expired = sleep_for(limit).then(
        []() -> kj::Promise<T> { return KJ_EXCEPTION(OVERLOADED, "timeout"); });
    return promise.exclusiveJoin(kj::mv(expired));
  }

private:
  class event_port;

  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  kj::Own<event_port> port_;
  kj::EventLoop kj_loop_;
  kj::WaitScope wait_scope_;
  kj::Own<kj::PromiseFulfiller<void>> stop_fulfiller_;
};

} // namespace parsleylead

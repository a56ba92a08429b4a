#include "parsleylead/transport/rpc_loop.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

namespace parsleylead {
namespace {

// Resolves when the timer expires. Dropping the promise cancels the timer and clears the fulfiller
// for a handler that still runs.
class timer_adapter {
public:
  timer_adapter(kj::PromiseFulfiller<void>& fulfiller, asio::io_context& io,
                std::chrono::milliseconds delay)
      : timer_(io, delay), fulfiller_(std::make_shared<kj::PromiseFulfiller<void>*>(&fulfiller)) {
    timer_.async_wait([target = fulfiller_](const asio::error_code&) {
      if (*target != nullptr) {
        (*target)->fulfill();
      }
    });
  }
  ~timer_adapter() { *fulfiller_ = nullptr; }
  timer_adapter(const timer_adapter&) = delete;
  timer_adapter& operator=(const timer_adapter&) = delete;

private:
  asio::steady_timer timer_;
  std::shared_ptr<kj::PromiseFulfiller<void>*> fulfiller_;
};

} // namespace

// Waits for KJ events by running Asio handlers.
class rpc_loop::event_port : public kj::EventPort {
public:
  explicit event_port(asio::io_context& io) : io_(io) {}

  bool wait() override {
    io_.restart();
    io_.run_one();
    io_.poll();
    return false;
  }

  bool poll() override {
    io_.restart();
    io_.poll();
    return false;
  }

  void setRunnable(bool /*runnable*/) override {}

private:
  asio::io_context& io_;
};

rpc_loop::rpc_loop()
    : work_guard_(asio::make_work_guard(io_)), port_(kj::heap<event_port>(io_)), kj_loop_(*port_),
      wait_scope_(kj_loop_) {}

rpc_loop::~rpc_loop() = default;

void rpc_loop::run() {
  auto stopped = kj::newPromiseAndFulfiller<void>();
  stop_fulfiller_ = kj::mv(stopped.fulfiller);
  stopped.promise.wait(wait_scope_);
}

void rpc_loop::stop() {
  asio::post(io_, [this] {
    if (stop_fulfiller_.get() != nullptr) {
      stop_fulfiller_->fulfill();
    }
  });
}

kj::Promise<void> rpc_loop::sleep_for(std::chrono::milliseconds delay) {
  return kj::newAdaptedPromise<void, timer_adapter>(io_, delay);
}

} // namespace parsleylead

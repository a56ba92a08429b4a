#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/base/reason.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/session/upstream_outcome.hpp"

namespace parsleylead {

/// One HTTP request to an upstream.
struct upstream_call {
  std::uint64_t ticket = 0;
  endpoint upstream;
  std::string kind;
  std::string submission;
  std::uint32_t task = 0;
  std::string traceparent;
  std::string payload;
  monotonic_time deadline;
};

struct upstream_caller_limits {
  std::chrono::milliseconds connect_timeout{250};
  std::size_t max_answer_bytes = 1024UL * 1024;
};

/// Sends tasks to upstreams over HTTP on a pool of threads. The pool grows when no thread is idle,
/// so its size is the highest number of concurrent calls so far. All methods are thread-safe and do
/// not block.
class upstream_caller {
public:
  /// Receives the outcome of each submitted call exactly once, on any thread. Calls still queued
  /// when the caller is destroyed are dropped.
  using completion = std::function<void(std::uint64_t ticket, upstream_outcome outcome)>;

  upstream_caller(upstream_caller_limits limits, completion done);
  /// Aborts all calls and joins the threads.
  ~upstream_caller();
  upstream_caller(const upstream_caller&) = delete;
  upstream_caller& operator=(const upstream_caller&) = delete;

  void submit(upstream_call call);

  /// Aborts a call by shutting its socket down; the outcome then carries `cause`. No effect if the
  /// call has ended. A call that is still connecting has no socket to shut down: repeat until it
  /// ends.
  void abort(std::uint64_t ticket, reason cause);

private:
  class call_thread;

  void run_thread(call_thread& self);

  upstream_caller_limits limits_;
  completion done_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<upstream_call> queue_;
  std::vector<std::unique_ptr<call_thread>> threads_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

} // namespace parsleylead

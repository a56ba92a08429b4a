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

/// One call of an upstream.
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

/// Calls upstreams over HTTP in threads of its own; a thread is added whenever a call finds none
/// idle, so the number of threads is the largest number of calls in progress. All methods are
/// thread-safe and do not block.
class upstream_caller {
public:
  /// Receives the end of each submitted call exactly once, on any thread. Calls that the destructor
  /// finds unsent are dropped.
  using completion = std::function<void(std::uint64_t ticket, upstream_outcome outcome)>;

  upstream_caller(upstream_caller_limits limits, completion done);
  /// Aborts all calls and joins the threads.
  ~upstream_caller();
  upstream_caller(const upstream_caller&) = delete;
  upstream_caller& operator=(const upstream_caller&) = delete;

  void submit(upstream_call call);

  /// Ends a call early by shutting its socket down; the outcome carries `cause`. Without effect if
  /// the call has ended. A call that is just connecting may miss it: repeat until it has ended.
  void abort(std::uint64_t ticket, reason cause);

private:
  class worker;

  void run_worker(worker& self);

  upstream_caller_limits limits_;
  completion done_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<upstream_call> queue_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

} // namespace parsleylead

#include "upstream_caller.hpp"

#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <optional>
#include <thread>
#include <utility>

namespace parsleylead {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Servers commonly close connections that are idle for 5 s. If a reused connection closes while a
// task is being sent, the task counts as possibly run although it never ran.
constexpr milliseconds max_connection_idle_time{2000};
// httplib rounds timeouts, so an error this close to the deadline is a timeout.
constexpr milliseconds deadline_tolerance{3};
constexpr milliseconds abort_interval{5};

upstream_outcome not_run(const upstream_call& call, reason cause, step failed_step,
                         std::string detail) {
  return {
      task_end::not_run, {}, {cause, failed_step, to_string(call.upstream), std::move(detail)}, {}};
}

upstream_outcome failed(const upstream_call& call, reason cause, std::string detail) {
  return {
      task_end::failed, {}, {cause, step::run, to_string(call.upstream), std::move(detail)}, {}};
}

// A duplicate of the client's socket descriptor, which another thread can shut down safely. The
// client may close its own descriptor at any time, and the number may then be reused.
class socket_handle {
public:
  ~socket_handle() { assign(-1); }

  void assign(int socket) {
    const std::lock_guard lock(mutex_);
    if (descriptor_ >= 0) {
      ::close(descriptor_);
    }
    descriptor_ = socket >= 0 ? ::dup(socket) : -1;
  }

  void shut_down() {
    const std::lock_guard lock(mutex_);
    if (descriptor_ >= 0) {
      ::shutdown(descriptor_, SHUT_RDWR);
    }
  }

  /// Whether the connection is open and has no unread data.
  bool is_idle() {
    const std::lock_guard lock(mutex_);
    char next = 0;
    const auto count =
        descriptor_ >= 0 ? ::recv(descriptor_, &next, 1, MSG_PEEK | MSG_DONTWAIT) : 0;
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

private:
  std::mutex mutex_;
  int descriptor_ = -1;
};

} // namespace

class upstream_caller::call_thread {
public:
  explicit call_thread(const upstream_caller_limits& limits) : limits_(limits) {}

  // The call in progress and the cause of its abort; guarded by `upstream_caller::mutex_`.
  std::optional<std::uint64_t> ticket;
  reason abort_cause = reason::none;
  std::thread thread;
  std::atomic<bool> ended = false;

  void shut_down() { socket_.shut_down(); }

  upstream_outcome run(const upstream_call& call) {
    const auto started = steady_clock::now();
    const auto remaining = std::chrono::duration_cast<microseconds>(call.deadline - started);
    if (remaining <= microseconds::zero()) {
      return not_run(call, reason::budget_exhausted, step::start, "no time is left for the call");
    }
    prepare_client(call, started, remaining);
    std::string answer;
    bool too_large = false;
    auto request = make_request(call, answer, too_large);
    const auto result = client_->send(request);
    last_used_ = steady_clock::now();
    auto outcome = classify_result(call, result, std::move(answer), too_large);
    outcome.run_time = std::chrono::duration_cast<microseconds>(last_used_ - started);
    return outcome;
  }

private:
  void prepare_client(const upstream_call& call, monotonic_time now, microseconds remaining) {
    if (client_ == nullptr || upstream_ != call.upstream ||
        now - last_used_ > max_connection_idle_time) {
      upstream_ = call.upstream;
      client_ = std::make_unique<httplib::Client>(upstream_.ip, upstream_.port);
      client_->set_keep_alive(true);
      client_->set_tcp_nodelay(true);
      client_->set_socket_options([this](socket_t socket) { socket_.assign(socket); });
    }
    const auto connect_timeout = std::min<microseconds>(limits_.connect_timeout, remaining);
    client_->set_connection_timeout(connect_timeout);
    client_->set_read_timeout(remaining);
    client_->set_write_timeout(remaining);
  }

  httplib::Request make_request(const upstream_call& call, std::string& answer,
                                bool& too_large) const {
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/tasks/" + call.kind;
    request.headers = {{"x-submission", call.submission},
                       {"x-task", std::to_string(call.task)},
                       {"Content-Type", "application/json"}};
    if (!call.traceparent.empty()) {
      request.headers.emplace("traceparent", call.traceparent);
    }
    request.body = call.payload;
    request.content_receiver = [this, &answer, &too_large](const char* data, std::size_t size,
                                                           std::uint64_t /*offset*/,
                                                           std::uint64_t /*total*/) {
      too_large = answer.size() + size > limits_.max_answer_bytes;
      if (!too_large) {
        answer.append(data, size);
      }
      return !too_large;
    };
    return request;
  }

  upstream_outcome classify_result(const upstream_call& call, const httplib::Result& result,
                                   std::string answer, bool too_large) {
    if (!result) {
      if (too_large) {
        return failed(call, reason::answer_too_large,
                      "the answer exceeds " + std::to_string(limits_.max_answer_bytes) + " bytes");
      }
      const auto text = httplib::to_string(result.error());
      if (result.error() == httplib::Error::Connection ||
          result.error() == httplib::Error::ConnectionTimeout) {
        return not_run(call, reason::connect_failed, step::connect, "cannot connect: " + text);
      }
      if (last_used_ + deadline_tolerance >= call.deadline) {
        return failed(call, reason::deadline_exceeded, "no complete answer within the time left");
      }
      return failed(call, reason::upstream_disconnected, "the call broke: " + text);
    }
    if (!is_complete(*result, answer.size())) {
      return failed(call, reason::upstream_disconnected, "the answer is incomplete");
    }
    if (result->status != 200) {
      return failed(call, reason::task_failed, "HTTP status " + std::to_string(result->status));
    }
    return {task_end::finished, std::move(answer), {}, {}};
  }

  bool is_complete(const httplib::Response& response, std::size_t received) {
    if (response.has_header("Content-Length")) {
      return response.get_header_value("Content-Length") == std::to_string(received);
    }
    // Without Content-Length, only chunked encoding marks the end of the answer.
    if (response.get_header_value("Transfer-Encoding") != "chunked") {
      return false;
    }
    // httplib reports success if the connection breaks within the line break after a chunk. The
    // socket is then closed or has unread data. After a complete answer it is idle, unless the
    // server closes it and says so with "Connection: close".
    return response.get_header_value("Connection") == "close" || socket_.is_idle();
  }

  const upstream_caller_limits& limits_;
  endpoint upstream_;
  socket_handle socket_;
  std::unique_ptr<httplib::Client> client_;
  monotonic_time last_used_{};
};

upstream_caller::upstream_caller(upstream_caller_limits limits, completion done)
    : limits_(limits), done_(std::move(done)) {}

upstream_caller::~upstream_caller() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (auto& current : threads_) {
    // A call that is still connecting has no socket yet, so a single shutdown can miss it.
    while (!current->ended) {
      current->shut_down();
      std::this_thread::sleep_for(abort_interval);
    }
    current->thread.join();
  }
}

void upstream_caller::submit(upstream_call call) {
  const std::lock_guard lock(mutex_);
  queue_.push_back(std::move(call));
  if (queue_.size() > idle_) {
    threads_.push_back(std::make_unique<call_thread>(limits_));
    auto& added = *threads_.back();
    added.thread = std::thread([this, &added] { run_thread(added); });
    return;
  }
  wake_.notify_one();
}

void upstream_caller::abort(std::uint64_t ticket, reason cause) {
  std::unique_lock lock(mutex_);
  for (auto& current : threads_) {
    if (current->ticket == ticket) {
      current->abort_cause = current->abort_cause == reason::none ? cause : current->abort_cause;
      current->shut_down();
      return;
    }
  }
  const auto queued_call = std::find_if(
      queue_.begin(), queue_.end(), [ticket](const auto& call) { return call.ticket == ticket; });
  if (queued_call == queue_.end()) {
    return;
  }
  const auto call = std::move(*queued_call);
  queue_.erase(queued_call);
  lock.unlock();
  done_(call.ticket, not_run(call, cause, step::start, "ended before it was sent"));
}

void upstream_caller::run_thread(call_thread& self) {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_;
    wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    --idle_;
    if (stopping_) {
      self.ended = true;
      return;
    }
    const auto call = std::move(queue_.front());
    queue_.pop_front();
    self.ticket = call.ticket;
    self.abort_cause = reason::none;
    lock.unlock();
    auto outcome = self.run(call);
    lock.lock();
    self.ticket.reset();
    const auto cause = self.abort_cause;
    lock.unlock();
    if (cause != reason::none && outcome.end != task_end::finished) {
      outcome.error.cause = cause;
      outcome.error.detail = "the call was ended early; " + outcome.error.detail;
    }
    done_(call.ticket, std::move(outcome));
    lock.lock();
  }
}

} // namespace parsleylead

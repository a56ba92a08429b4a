#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/web/web_client.hpp"
#include "soak_judge.hpp"

namespace parsleylead::soak {

/// Counts of the requests of persistent callers.
struct caller_counts {
  std::size_t requests = 0;
  /// Best-effort jobs that completed.
  std::size_t completed = 0;
  /// Durable jobs that were accepted.
  std::size_t stored = 0;
  /// Responses 429 and 503.
  std::size_t refused = 0;
  /// Responses 504: the outcome is not known.
  std::size_t unresolved = 0;
  /// Requests that were not sent because the entry could not be reached; another entry gets them.
  std::size_t redirected = 0;
  /// Sent requests whose connection ended without a complete response.
  std::size_t lost = 0;
};

/// Callers that keep their connections open between requests and use them until the entry is gone.
/// Records a violation for each request that was sent and got no complete response, and for each
/// small job that no entry serves in time. Not thread-safe.
class persistent_callers {
public:
  /// `on_stored` is called with each durable job that was accepted.
  persistent_callers(asio::io_context& io, const std::vector<endpoint>& entries, std::uint64_t seed,
                     soak_judge& judge, std::function<void(const std::string&)> on_stored);
  ~persistent_callers();
  persistent_callers(const persistent_callers&) = delete;
  persistent_callers& operator=(const persistent_callers&) = delete;

  void start();
  /// All callers of the entry that pause begin their next request at once, on connections that are
  /// idle.
  void use_idle_connections(std::size_t entry);
  /// Submits no more jobs that run for seconds.
  void stop_long_jobs() { long_jobs_ = false; }
  /// Begins no more requests. Open ones go on, as do further attempts for jobs not served yet.
  void stop() { running_ = false; }
  /// Number of requests or jobs without an end.
  std::size_t open() const { return open_; }
  const caller_counts& counts() const { return counts_; }

private:
  struct caller;
  struct call_state;

  void wait(caller& each);
  void begin(caller& each);
  void send(const std::shared_ptr<call_state>& call);
  void handle_response(const std::shared_ptr<call_state>& call,
                       const absl::StatusOr<web_response>& response);
  /// Handles the response that a submission was accepted or that its job has ended.
  void handle_submitted(const std::shared_ptr<call_state>& call, const web_response& response);
  /// Sends the same submission again after a response that does not tell its outcome.
  void resubmit(const std::shared_ptr<call_state>& call, std::chrono::milliseconds delay);
  /// Sends the call again, at the next entry, after `delay`.
  void retry(const std::shared_ptr<call_state>& call, std::chrono::milliseconds delay);
  void end(const std::shared_ptr<call_state>& call);
  /// Chooses a new id, for a submission that the caller is told did not run.
  void renew(call_state& call);
  int random_below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }

  asio::io_context& io_;
  std::mt19937_64 random_;
  soak_judge& judge_;
  std::function<void(const std::string&)> on_stored_;
  std::vector<std::unique_ptr<caller>> callers_;
  caller_counts counts_;
  std::size_t open_ = 0;
  bool running_ = false;
  bool long_jobs_ = true;
};

} // namespace parsleylead::soak

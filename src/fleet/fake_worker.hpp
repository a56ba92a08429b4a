#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/fleet/worker_port.hpp"

namespace parsleylead {

/// Returns an unused address on the loopback interface.
inline endpoint free_address(asio::io_context& io) {
  asio::ip::tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", probe.local_endpoint().port()};
}

/// Simulated worker that runs each task for a fixed time, can fail requests for its lists, and can
/// refuse connections while its runs go on.
class fake_worker : public worker_port {
public:
  explicit fake_worker(asio::io_context& io) : io_(io) {}

  void attach(const worker_announcement&) override {}

  void query_incarnation(const std::string& worker_id,
                         std::function<void(absl::StatusOr<std::int64_t>)> done) override {
    absl::StatusOr<std::int64_t> answer = incarnation;
    if (worker_id != id) {
      answer = absl::NotFoundError("another worker");
    }
    if (lost_lists > 0) {
      --lost_lists;
      answer = absl::DeadlineExceededError("no answer");
    }
    if (refusing) {
      answer = absl::UnavailableError("connection refused");
    }
    post([done = std::move(done), answer] { done(answer); });
  }

  void start(const start_order& order, monotonic_time lease_end,
             std::function<void(start_answer)> done) override {
    if (refusing) {
      post([done = std::move(done)] { done(start_answer::refused); });
      return;
    }
    latest_lease_end = std::max(latest_lease_end, lease_end);
    if (start_delay) {
      after(order_timeout, [done = std::move(done)] { done(start_answer::unknown); });
      after(*std::exchange(start_delay, std::nullopt), [this, order] { execute(order); });
      return;
    }
    execute(order);
    if (loses_answer()) {
      ++lost_starts;
      after(order_timeout, [done = std::move(done)] { done(start_answer::unknown); });
      return;
    }
    post([done = std::move(done)] { done(start_answer::started); });
  }

  /// Starts a run, unless it was stopped before.
  void execute(const start_order& order) {
    if (const auto stopped = stopped_.find(order.run.task);
        stopped != stopped_.end() && order.run.attempt <= stopped->second) {
      ++late_starts_rejected;
      return;
    }
    ++starts;
    if (on_start) {
      on_start();
    }
    auto& slot = active_[order.run.task];
    CHECK_MESSAGE(!slot, "two runs of one task at a time");
    slot = std::make_unique<running>(running{order.run, asio::steady_timer(io_, run_time)});
    slot->end.async_wait([this, run = order.run](const asio::error_code& error) {
      if (!error) {
        end(run, outcome);
      }
    });
  }

  void stop(const run_id& run, std::function<void(bool)> done) override {
    if (refusing || losing_stops) {
      ++lost_stops;
      post([done = std::move(done)] { done(false); });
      return;
    }
    ++stops;
    stopped_[run.task] = std::max(stopped_[run.task], run.attempt);
    if (const auto found = active_.find(run.task); found != active_.end()) {
      found->second->end.cancel();
      end(run, run_outcome::stopped);
    }
    post([done = std::move(done)] { done(true); });
  }

  void list_runs(std::uint64_t, std::optional<monotonic_time> lease_end,
                 std::chrono::milliseconds wait, std::chrono::milliseconds answer_time,
                 std::function<void(absl::StatusOr<run_lists>)> done) override {
    extra_list_requests += lease_end ? 0 : 1;
    if (breaking_lists) {
      post([done = std::move(done)] { done(absl::UnknownError("connection reset")); });
      return;
    }
    if (refusing || (refusing_extra_lists && !lease_end)) {
      ++refused_lists;
      post([done = std::move(done)] { done(absl::UnavailableError("connection refused")); });
      return;
    }
    latest_lease_end = std::max(latest_lease_end, lease_end.value_or(monotonic_time{}));
    if (lost_lists > 0 || loses_answer()) {
      lost_lists = std::max(0, lost_lists - 1);
      after(wait + answer_time, [this, done = std::move(done)] {
        ++overdue_lists;
        done(absl::DeadlineExceededError("no answer"));
      });
      return;
    }
    const auto pause = ended_.empty() ? (waits_for_ends ? wait : wait / 10) : wait * 0;
    auto timer = std::make_shared<asio::steady_timer>(io_, pause);
    if (waits_for_ends) {
      std::erase_if(waiting_lists_, [](const auto& each) { return each.expired(); });
      waiting_lists_.push_back(timer);
    }
    timer->async_wait([this, timer, done = std::move(done)](const asio::error_code&) {
      run_lists lists;
      for (const auto& [task, active] : active_) {
        lists.active.push_back({active->run, 50});
      }
      lists.finished = std::exchange(ended_, {});
      lists.incarnation = incarnation;
      done(lists);
    });
  }

  /// Drops all runs and ends, and restarts with the next incarnation.
  void crash() {
    active_.clear();
    ended_.clear();
    last_end_ = 0;
    ++incarnation;
  }

  bool is_active(const run_id& run) const {
    const auto found = active_.find(run.task);
    return found != active_.end() && found->second->run == run;
  }

  std::chrono::milliseconds run_time{20};
  run_outcome outcome = run_outcome::done;
  int starts = 0;
  int stops = 0;
  /// List requests that extend no lease.
  int extra_list_requests = 0;
  /// Called for each start before it is carried out.
  std::function<void()> on_start;
  int lost_lists = 0;
  /// The connections of requests for lists break.
  bool breaking_lists = false;
  /// Number of lost lists whose time has passed.
  int overdue_lists = 0;
  /// Answers list requests at the next end or after the whole waiting time, instead of sooner.
  bool waits_for_ends = false;
  /// Each answer of this number to starts and lists is lost, unless it is 0.
  int lost_answer_interval = 0;
  int lost_starts = 0;
  int late_starts_rejected = 0;
  /// The next start gets no answer and is executed after this time, unless the run was stopped
  /// before.
  std::optional<std::chrono::milliseconds> start_delay;
  bool refusing = false;
  /// Refuses the connections for requests that extend no lease.
  bool refusing_extra_lists = false;
  int refused_lists = 0;
  bool losing_stops = false;
  int lost_stops = 0;
  std::string id = "w-1";
  std::int64_t incarnation = 1;
  monotonic_time latest_lease_end{};

private:
  struct running {
    run_id run;
    asio::steady_timer end;
  };

  static constexpr std::chrono::milliseconds order_timeout{40};

  bool loses_answer() { return lost_answer_interval > 0 && ++answers_ % lost_answer_interval == 0; }

  void after(std::chrono::milliseconds delay, std::function<void()> callback) {
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([timer, callback = std::move(callback)](const asio::error_code& error) {
      if (!error) {
        callback();
      }
    });
  }

  void post(std::function<void()> callback) { asio::post(io_, std::move(callback)); }

  void end(const run_id& run, run_outcome ended_as) {
    active_.erase(run.task);
    ended_.push_back({run, ended_as, ++last_end_});
    for (const auto& each : std::exchange(waiting_lists_, {})) {
      if (const auto timer = each.lock()) {
        timer->cancel();
      }
    }
  }

  asio::io_context& io_;
  std::map<task_key, std::unique_ptr<running>> active_;
  std::vector<finished_run> ended_;
  /// The list requests that are answered at the next end.
  std::vector<std::weak_ptr<asio::steady_timer>> waiting_lists_;
  /// Highest attempt of each task that was stopped.
  std::map<task_key, std::uint32_t> stopped_;
  int answers_ = 0;
  std::uint64_t last_end_ = 0;
};

} // namespace parsleylead

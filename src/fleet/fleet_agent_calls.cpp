// The part of the agent that calls its worker: lists, starts and stops.

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "fleet_agent_session.hpp"
#include "parsleylead/base/call_after.hpp"
#include "parsleylead/fleet/fleet_agent.hpp"
#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Largest relative clock error of a worker; its leases may last longer by this share.
constexpr double worker_clock_error = 0.02;
// A late answer is at most some seconds old.
constexpr std::size_t max_former_incarnations = 8;
// Time that a worker needs to stop its runs.
constexpr milliseconds worker_stop_time{60};
// Delay before lists are requested again after a failure. It is longer while the worker is
// suspected, because each attempt then opens a connection.
constexpr milliseconds list_retry{2};
constexpr milliseconds suspected_list_retry{50};
// Delay after the first refused connection. After the second one, waiting orders are returned.
constexpr milliseconds refused_list_retry{10};

/// Returns whether the worker may have carried out a request that failed in this way.
bool is_lost_answer(const absl::Status& status) {
  return absl::IsDeadlineExceeded(status) || absl::IsUnknown(status);
}

} // namespace

void fleet_agent::list_runs() {
  if (!worker_) {
    listing_ = false;
    return;
  }
  listing_ = true;
  const auto now = lease_now();
  // After a failed request the lease is not extended until the worker answers, so that the time at
  // which all runs have certainly ended does not move.
  expire_lease_if_superseded(now);
  std::optional<monotonic_time> lease_end;
  // Entries repeat the runs of an earlier process on this host, whose stops may get lost.
  if (!last_list_failed_ && !awaiting_lease_expiry_ && !table_.has_foreign_runs()) {
    lease_end = next_lease_end(now);
    lease_end_ = std::max(lease_end_, *lease_end);
  }
  const auto wait = lease_end ? settings_.list_interval : milliseconds{0};
  // After a failed request the worker may have restarted, so that the known end numbers would
  // confirm ends of its new incarnation that were not read yet.
  const auto confirmed = last_list_failed_ ? 0 : table_.confirmable_end();
  long_poll_pending_ = wait > milliseconds{0};
  if (long_poll_pending_) {
    schedule_second_list();
  }
  port_.list_runs(confirmed, lease_end, wait, monitor_.list_answer_time(now),
                  [this, now, alive = std::weak_ptr<int>(alive_)](absl::StatusOr<run_lists> lists) {
                    if (alive.expired()) {
                      return;
                    }
                    const bool waited = std::exchange(long_poll_pending_, false);
                    if (!lists.ok()) {
                      list_failed(lists.status(), lease_now());
                      return;
                    }
                    if (!waited) {
                      monitor_.answered(lease_now() - now);
                    }
                    apply_lists(*lists, now);
                    if (table_.has_held_ends() || awaiting_lease_expiry_ ||
                        table_.has_foreign_runs()) {
                      schedule_list(settings_.held_list_interval);
                    } else {
                      list_runs();
                    }
                  });
}

void fleet_agent::schedule_list(milliseconds delay) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([this, timer, alive = std::weak_ptr<int>(alive_)](const asio::error_code&) {
    if (!alive.expired()) {
      list_runs();
    }
  });
}

monotonic_time fleet_agent::runs_end() const {
  return lease_end_ +
         std::chrono::round<milliseconds>(settings_.worker_lease * worker_clock_error) +
         worker_stop_time;
}

monotonic_time fleet_agent::next_lease_end(monotonic_time now) const {
  auto end = now + settings_.renewed_lease;
  for (const auto& [address, peer] : sessions_) {
    if (peer->owner != 0 && table_.has_started_runs(peer->owner)) {
      const auto heard =
          peer->link ? std::max(peer->last_heard, peer->link->last_received()) : peer->last_heard;
      end = std::min(end, heard + settings_.worker_lease);
      if (peer->heard_by_entry) {
        end = std::min(end, *peer->heard_by_entry + settings_.timing.unheard_limit);
      }
    }
  }
  return end;
}

void fleet_agent::expire_lease_if_superseded(monotonic_time now) {
  if (!table_.has_superseded_end()) {
    awaiting_lease_expiry_ = false;
    return;
  }
  // Starts would extend the lease again.
  table_.set_suspended(true);
  if (awaiting_lease_expiry_ && now > runs_end()) {
    awaiting_lease_expiry_ = false;
    table_.release_superseded();
    update_suspension();
    log_.write("superseded_ends_released", "worker", worker_->id);
    status_dirty_ = true;
    flush_soon_();
  } else if (!awaiting_lease_expiry_ && table_.running() == 0) {
    awaiting_lease_expiry_ = true;
    log_.write("lease_not_extended", "worker", worker_->id, "cause", "superseded ends");
  }
}

void fleet_agent::request_extra_list() {
  if (!worker_ || std::exchange(extra_list_pending_, true)) {
    extra_list_wanted_ = true;
    return;
  }
  extra_list_wanted_ = false;
  const auto now = lease_now();
  port_.list_runs(0, std::nullopt, milliseconds{0}, monitor_.list_answer_time(now),
                  [this, now, alive = std::weak_ptr<int>(alive_)](absl::StatusOr<run_lists> lists) {
                    if (alive.expired()) {
                      return;
                    }
                    extra_list_pending_ = false;
                    if (!lists.ok()) {
                      extra_list_failed(lists.status(), now);
                      return;
                    }
                    monitor_.answered(lease_now() - now);
                    apply_lists(*lists, now);
                    if (extra_list_wanted_) {
                      request_extra_list();
                    }
                  });
}

void fleet_agent::extra_list_failed(const absl::Status& status, monotonic_time requested) {
  const bool lost = is_lost_answer(status);
  if (lost) {
    monitor_.list_lost(lease_now());
  }
  const bool needed = !suspected_ && answered_request_ < requested;
  if (!needed && !extra_list_wanted_) {
    return;
  }
  // A refused request fails at once.
  const auto delay = lost && !suspected_ ? list_retry : refused_list_retry;
  call_after(extra_list_timer_, delay, [this, alive = std::weak_ptr<int>(alive_)] {
    if (!alive.expired()) {
      request_extra_list();
    }
  });
}

void fleet_agent::schedule_second_list() {
  if (!monitor_.losing_answers(lease_now())) {
    return;
  }
  call_after(second_list_timer_, settings_.second_list_interval,
             [this, alive = std::weak_ptr<int>(alive_)] {
               if (alive.expired() || !long_poll_pending_) {
                 return;
               }
               if (table_.running() > 0 && !extra_list_pending_) {
                 request_extra_list();
               }
               schedule_second_list();
             });
}

void fleet_agent::update_worker_incarnation(std::int64_t incarnation) {
  if (incarnation != 0 && incarnation != worker_incarnation_) {
    const auto now = lease_now();
    log_.write("worker_life", "life", incarnation, "previous", worker_incarnation_);
    if (worker_incarnation_ != 0) {
      const bool had_left = departed_at_ || (is_described() && worker_->draining);
      if (worker_ && !had_left) {
        table_.worker_crashed(last_list_failed_ ? failing_since_ : now);
      }
      former_incarnations_.push_back(worker_incarnation_);
      if (former_incarnations_.size() > max_former_incarnations) {
        former_incarnations_.pop_front();
      }
      table_.worker_restarted(now);
      cold_until_ = {};
    }
    worker_incarnation_ = incarnation;
    undescribed_since_ = now;
    table_.set_accepting(accepts_tasks());
    status_dirty_ = true;
    // It may have taken a start whose lease ends at a time of its predecessor's clock. The worker
    // shortens that to its longest lease.
    lease_end_ = std::max(lease_end_, now + settings_.worker_lease);
    table_.end_numbers_reset();
  }
}

void fleet_agent::apply_lists(const run_lists& lists, monotonic_time requested) {
  const auto now = lease_now();
  if (std::find(former_incarnations_.begin(), former_incarnations_.end(), lists.incarnation) !=
      former_incarnations_.end()) {
    log_.write("lists_outdated", "life", lists.incarnation, "present", worker_incarnation_);
    return;
  }
  update_worker_incarnation(lists.incarnation);
  if (lists.incarnation != 0) { // Otherwise the lists may be those of the next incarnation.
    table_.worker_answered();
  }
  monitor_.list_answered();
  answered_request_ = std::max(answered_request_, requested);
  last_list_at_ = now;
  // An answer that was requested before the failure may be older than a restart of the worker.
  last_list_failed_ = last_list_failed_ && requested < list_failed_at_;
  connection_refused_ = false;
  crash_suspected_ = false;
  awaiting_incarnation_ = awaiting_incarnation_ && requested < list_failed_at_;
  set_worker_suspected(false, "");
  table_.observe(lists.active, lists.finished, lists.complete, requested, now);
  for (const auto& [owner, slow] : table_.slow_runs(now)) {
    if (auto* to = find_session(owner)) {
      to->outgoing.slow_runs.push_back(slow);
    }
  }
  status_dirty_ = true;
  flush_soon_();
}

void fleet_agent::list_failed(const absl::Status& status, monotonic_time now) {
  metrics_.add("parsleylead_agent_list_failures_total", {});
  list_failed_at_ = now;
  if (is_lost_answer(status)) {
    monitor_.list_lost(now);
  }
  if (!std::exchange(last_list_failed_, true)) {
    failing_since_ = now;
  }
  if (!absl::IsDeadlineExceeded(status)) {
    awaiting_incarnation_ = true;
    update_suspension();
  }
  const bool refused = absl::IsUnavailable(status);
  const bool first_refusal = refused && !connection_refused_;
  refused_since_ = first_refusal ? now : refused_since_;
  connection_refused_ = refused;
  if (worker_) {
    if (now - last_list_at_ > settings_.suspect_after || refused) {
      set_worker_suspected(true, std::string(status.message()));
    }
    if (refused && !first_refusal) {
      worker_refused(now);
    }
    // Until then a worker that refuses connections may be up and go on with its runs.
    const bool gone = now > runs_end();
    if (gone && table_.running() > 0) {
      log_.write("worker_lost", "worker", worker_->id, "refused", refused, "runs", table_.running(),
                 "cause", std::string(status.message()));
      table_.worker_lost(now, crash_suspected_ ? loss_cause::connection_refused
                                               : loss_cause::worker_silent);
    }
    if (gone && departed_at_) {
      log_.write("worker_gone", "worker", worker_->id);
      worker_.reset();
      departed_at_.reset();
      status_dirty_ = true;
    }
    flush_soon_();
  }
  schedule_list(first_refusal ? refused_list_retry
                              : (suspected_ ? suspected_list_retry : list_retry));
}

void fleet_agent::worker_refused(monotonic_time now) {
  table_.return_waiting(now);
  // A worker that leaves ends its runs itself.
  const bool leaving = departed_at_ || (is_described() && worker_->draining);
  if (!leaving && !crash_suspected_ && now - refused_since_ > settings_.suspect_after) {
    crash_suspected_ = true;
    table_.suspect_crash(refused_since_);
    log_.write("worker_crash_suspected", "worker", worker_->id, "runs", table_.running());
  }
}

void fleet_agent::send_stop(const run_id& run) {
  port_.stop(run, [this, run, alive = std::weak_ptr<int>(alive_)](bool confirmed) {
    if (alive.expired()) {
      return;
    }
    table_.stop_answered(run, confirmed, lease_now());
    if (confirmed) {
      // Only a list requested after the confirmation shows that the run has ended.
      request_extra_list();
    } else {
      flush_soon_();
    }
  });
}

void fleet_agent::send_start(const run_id& run, monotonic_time now) {
  const auto* order = table_.find_order(run);
  if (order == nullptr) {
    return;
  }
  const auto lease_end = next_lease_end(now);
  lease_end_ = std::max(lease_end_, lease_end);
  monitor_.start_sent(run, now);
  port_.start(*order, lease_end,
              [this, run, now, alive = std::weak_ptr<int>(alive_)](start_answer answer) {
                if (!alive.expired()) {
                  start_answered(run, answer, now);
                }
              });
}

void fleet_agent::start_answered(const run_id& run, start_answer answer, monotonic_time sent) {
  const auto now = lease_now();
  if (answer != start_answer::started) {
    log_.write("start_not_confirmed", "run", format_run(run), "answer", static_cast<int>(answer));
    metrics_.add("parsleylead_agent_starts_not_confirmed_total", {});
  }
  if (answer == start_answer::unknown) {
    monitor_.answer_lost(now);
    table_.start_unanswered(run, now);
    if (table_.is_starting(run) && !monitor_.awaits_check(run)) {
      request_extra_list();
    }
  } else {
    monitor_.answered(now - sent);
    monitor_.start_answered(run);
    table_.start_answered(run, answer, now);
  }
  flush_soon_();
}

void fleet_agent::schedule_start_check(monotonic_time now) {
  const auto next = monitor_.next_check();
  if (!next || std::exchange(start_check_scheduled_, true)) {
    return;
  }
  const auto delay = std::max(milliseconds{0}, std::chrono::ceil<milliseconds>(*next - now));
  call_after(start_check_timer_, delay, [this, alive = std::weak_ptr<int>(alive_)] {
    if (alive.expired()) {
      return;
    }
    start_check_scheduled_ = false;
    const auto checked = lease_now();
    if (monitor_.take_due_checks(checked)) {
      request_extra_list();
    }
    schedule_start_check(checked);
  });
}

void fleet_agent::report_resolved_starts() {
  for (const auto& [run, resolution] : table_.take_resolved_starts()) {
    log_.write("unanswered_start", "run", format_run(run), "resolution", to_string(resolution),
               "list_age_ms", (lease_now() - last_list_at_) / milliseconds(1));
    metrics_.add("parsleylead_agent_unanswered_starts_total",
                 {{"resolution", to_string(resolution)}});
  }
}

} // namespace parsleylead

#include "parsleylead/fleet/fleet_agent.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <cmath>
#include <utility>

#include "parsleylead/base/call_after.hpp"
#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Clocks of workers may be this much slow; a lease lasts longer by that.
constexpr double worker_clock_error = 0.02;
// Smaller changes of a worker's pace and failures are not reported.
constexpr double min_reported_change = 0.05;
// Time that a worker needs to end its runs.
constexpr milliseconds worker_stop_time{60};
// Pause before the next request after a lost answer, and after a refused connection or a longer
// silence: each attempt then opens a connection.
constexpr milliseconds list_retry{2};
constexpr milliseconds suspected_list_retry{100};

} // namespace

struct fleet_agent::session {
  std::string address;
  std::shared_ptr<frame_link> link;
  std::string entry;
  std::uint64_t incarnation = 0;
  owner_id owner = 0;
  bool greeted = false;
  bool lapsed = false;
  monotonic_time last_heard{};
  monotonic_time status_sent{};
  bool status_due = false;
  std::optional<worker_status> sent_status;
  fleet_frame out;
};

fleet_agent::fleet_agent(asio::io_context& io, fleet_agent_settings settings, worker_port& worker,
                         event_log& log, metrics_registry& metrics)
    : io_(io), settings_(std::move(settings)), port_(worker), log_(log), metrics_(metrics),
      tick_timer_(io), flush_soon_(io, [this] { carry_out(); }),
      dialer_(settings_.timing, settings_.name, settings_.availability_zone, "",
              settings_.max_sessions),
      table_(settings_.partitions) {}

fleet_agent::~fleet_agent() {
  for (auto& [address, each] : sessions_) {
    if (each->link) {
      each->link->close();
    }
  }
}

void fleet_agent::start() {
  last_tick_ = lease_now();
  tick();
}

void fleet_agent::add_members(const std::vector<fleet_member>& members) {
  if (dialer_.learn(members, lease_now())) {
    log_.write("members_learnt", "known", dialer_.known());
  }
}

std::size_t fleet_agent::sessions() const {
  return static_cast<std::size_t>(std::count_if(
      sessions_.begin(), sessions_.end(), [](const auto& each) { return each.second->greeted; }));
}

void fleet_agent::tick() {
  const auto now = lease_now();
  if (now - last_tick_ > settings_.timing.max_silence) {
    log_.write("process_stood_still", "ms", (now - last_tick_) / milliseconds(1));
  }
  last_tick_ = now;
  check_sessions(now);
  // Ends of durable jobs have to reach the owner, whichever entry that is.
  dialer_.set_max_links(table_.has_unclaimed_end() ? dialer_.known() : settings_.max_sessions);
  for (const auto& address : dialer_.due(now)) {
    dial(address);
  }
  status_dirty_ = true;
  carry_out();
  if (leaving_ && left_ && (table_.running() + table_.waiting() == 0 || now >= leave_limit_)) {
    std::exchange(left_, nullptr)();
  }
  call_after(tick_timer_, settings_.timing.tick, [this] { tick(); });
}

void fleet_agent::check_sessions(monotonic_time now) {
  for (auto& [address, each] : sessions_) {
    if (each->link) {
      each->last_heard = std::max(each->last_heard, each->link->last_received());
      if (now - each->link->last_received() > settings_.timing.max_silence) {
        each->link->close();
        closed(*each, "silent");
      } else if (now - each->link->last_sent() > settings_.timing.keepalive) {
        each->link->send(encode_frame(each->out));
        each->out = {};
      }
    }
    if (!each->lapsed && each->owner != 0 &&
        now - each->last_heard > settings_.timing.owner_lease) {
      each->lapsed = true;
      log_.write("entry_lease_ended", "entry", each->entry, "silent_ms",
                 (now - each->last_heard) / milliseconds(1), "cpu_millis",
                 table_.owner_cpu_millis(each->owner));
      table_.stop_owner(each->owner, now);
    }
  }
}

void fleet_agent::dial(const std::string& address) {
  connect_frame_link(io_, address, settings_.timing.connect_timeout,
                     [this, address, alive = std::weak_ptr<int>(alive_)](
                         std::shared_ptr<frame_link> link, const std::string& cause) {
                       if (alive.expired()) {
                         return;
                       }
                       if (!link) {
                         dialer_.lost(address, lease_now());
                         log_.write("entry_unreachable", "address", address, "cause", cause);
                         return;
                       }
                       opened(address, std::move(link));
                     });
}

void fleet_agent::opened(const std::string& address, std::shared_ptr<frame_link> link) {
  dialer_.linked(address, lease_now());
  auto& slot = sessions_[address];
  if (!slot) {
    slot = std::make_unique<session>();
    slot->address = address;
  }
  auto& opened = *slot;
  if (opened.link) {
    opened.link->close();
  }
  opened.link = std::move(link);
  opened.greeted = false;
  opened.out = {};
  opened.link->set_max_silence(settings_.timing.max_silence);
  opened.link->start([this, &opened](std::string_view bytes) { received(opened, bytes); },
                     [this, &opened](const std::string& cause) { closed(opened, cause); });
  fleet_frame hello;
  hello.hello =
      session_hello{{settings_.name, settings_.incarnation, "", settings_.availability_zone},
                    true,
                    opened.incarnation};
  opened.link->send(encode_frame(hello));
}

void fleet_agent::closed(session& from, const std::string& cause) {
  from.last_heard = std::max(from.last_heard, from.link->last_received());
  from.link.reset();
  from.greeted = false;
  dialer_.lost(from.address, lease_now());
  log_.write("session_lost", "entry", from.entry, "address", from.address, "cause", cause);
  metrics_.add("parsleylead_agent_sessions_lost_total", {});
}

void fleet_agent::greeted(session& from, const session_hello& hello) {
  if (from.owner == 0 || from.incarnation != hello.sender.incarnation) {
    if (from.owner != 0) {
      table_.stop_owner(from.owner, lease_now());
    }
    from.owner = next_owner_++;
  }
  from.entry = hello.sender.name;
  from.incarnation = hello.sender.incarnation;
  from.greeted = true;
  from.lapsed = false;
  from.last_heard = lease_now();
  from.status_due = true;
  from.status_sent = {};
  from.sent_status.reset();
  log_.write("session_opened", "entry", from.entry, "incarnation", from.incarnation, "address",
             from.address);
}

void fleet_agent::received(session& from, std::string_view bytes) {
  auto frame = decode_frame(bytes);
  if (!frame.ok()) {
    log_.write("frame_refused", "peer", from.address, "cause",
               std::string(frame.status().message()));
    const auto link = from.link;
    closed(from, "malformed frame");
    link->close();
    return;
  }
  const auto now = lease_now();
  if (frame->hello) {
    greeted(from, *frame->hello);
    add_members({frame->hello->sender});
  }
  if (!frame->members.empty()) {
    add_members(frame->members);
  }
  if (!from.greeted) {
    return;
  }
  if (frame->outstanding) {
    table_.reconcile(from.owner, *frame->outstanding, now);
  }
  for (const auto& claim : frame->claims) {
    log_.write("partition_claimed", "partition", claim.partition, "epoch", claim.epoch, "entry",
               from.entry);
    table_.claimed(from.owner, claim, now);
  }
  for (const auto& note : frame->notes) {
    if (note.superseded) {
      log_.write("end_superseded", "run", format_run(note.run));
    }
    table_.noted(note);
  }
  for (const auto& run : frame->stops) {
    table_.stop(from.owner, run, false, now);
  }
  for (const auto& run : frame->moves) {
    table_.stop(from.owner, run, true, now);
  }
  for (auto& order : frame->starts) {
    if (const auto later = table_.later_claim(order)) {
      // The sender does not know yet that the partition has another owner.
      from.out.claims.push_back(*later);
    }
    table_.add(from.owner, std::move(order), now);
  }
  flush_soon_();
}

void fleet_agent::worker_announced(const worker_announcement& announced) {
  const auto now = lease_now();
  // A delayed announcement may arrive after those of the worker's next life, or after it has left.
  if (newest_ && (announced.life < newest_->life ||
                  (announced.id == newest_->id && announced.life == newest_->life &&
                   announced.sequence <= newest_->sequence))) {
    log_.write("announcement_late", "worker", announced.id, "life", announced.life, "sequence",
               announced.sequence, "newest", newest_->sequence);
    return;
  }
  newest_ = announced;
  const bool other = !worker_ || worker_->id != announced.id;
  const bool fresh = other || worker_->life != announced.life;
  const bool changed = fresh || worker_->draining != announced.draining;
  worker_ = announced;
  if (other) {
    table_.worker_began(announced.capacity, now);
  }
  if (fresh) {
    note_life(announced.life);
    // A new life under the same id may already run what was started since it began: its next list
    // shows which runs are lost.
    port_.attach(announced);
    extended_ = now;
    suspect_worker(true, "new worker");
  }
  table_.set_capacity(announced.capacity);
  table_.set_accepting(!leaving_ && !announced.draining);
  if (changed) {
    log_.write("worker_announced", "worker", announced.id, "life", announced.life, "service",
               announced.service, "draining", announced.draining, "cpu_millis",
               announced.capacity.cpu_millis, "rack", announced.rack);
    status_dirty_ = true;
  }
  if (!listing_) {
    list_runs();
  }
  flush_soon_();
}

void fleet_agent::worker_left(const std::string& id) {
  if (!worker_ || worker_->id != id) {
    return;
  }
  log_.write("worker_left", "worker", id);
  worker_.reset();
  table_.set_accepting(false);
  table_.worker_lost(lease_now());
  status_dirty_ = true;
  flush_soon_();
}

void fleet_agent::suspect_worker(bool suspected, const std::string& cause) {
  table_.set_suspended(suspected || table_.has_superseded_end());
  if (suspected != suspected_) {
    suspected_ = suspected;
    status_dirty_ = true;
    log_.write(suspected ? "worker_suspected" : "worker_answers", "worker",
               worker_ ? worker_->id : "", "cause", cause);
  }
}

void fleet_agent::list_runs() {
  if (!worker_) {
    listing_ = false;
    return;
  }
  listing_ = true;
  const auto now = lease_now();
  // After a miss the lease is not extended until the worker answers, so that the time at which all
  // runs have certainly ended stays fixed.
  end_lease_if_superseded(now);
  const bool extend = !list_missed_ && !ending_lease_;
  if (extend) {
    extended_ = now;
  }
  const auto wait = extend ? settings_.list_interval : milliseconds{0};
  // After a miss the worker may have begun a new life, whose ends nobody has seen yet.
  const auto confirmed = list_missed_ ? 0 : table_.confirmable_end();
  port_.list_runs(confirmed, extend, wait,
                  [this, now, alive = std::weak_ptr<int>(alive_)](absl::StatusOr<run_lists> lists) {
                    if (alive.expired()) {
                      return;
                    }
                    if (!lists.ok()) {
                      list_failed(lists.status(), lease_now());
                      return;
                    }
                    take_lists(*lists, now);
                    if (table_.holds_ends() || ending_lease_) {
                      list_runs_after(settings_.held_list_interval);
                    } else {
                      list_runs();
                    }
                  });
}

void fleet_agent::list_runs_after(milliseconds delay) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([this, timer, alive = std::weak_ptr<int>(alive_)](const asio::error_code&) {
    if (!alive.expired()) {
      list_runs();
    }
  });
}

monotonic_time fleet_agent::lease_end() const {
  return extended_ +
         std::chrono::round<milliseconds>(settings_.worker_lease * (1 + worker_clock_error)) +
         worker_stop_time;
}

void fleet_agent::end_lease_if_superseded(monotonic_time now) {
  if (!table_.has_superseded_end()) {
    ending_lease_ = false;
    return;
  }
  // Nothing is started from here on, so that nothing but `extended_` keeps the lease.
  table_.set_suspended(true);
  if (ending_lease_ && now > lease_end()) {
    ending_lease_ = false;
    table_.release_superseded();
    table_.set_suspended(suspected_);
    log_.write("superseded_ends_released", "worker", worker_->id);
  } else if (!ending_lease_ && table_.running() == 0) {
    ending_lease_ = true;
    log_.write("lease_not_extended", "worker", worker_->id, "cause", "superseded ends");
  }
}

void fleet_agent::look() {
  if (!worker_ || std::exchange(looking_, true)) {
    look_again_ = true;
    return;
  }
  look_again_ = false;
  port_.list_runs(0, false, milliseconds{0},
                  [this, now = lease_now(),
                   alive = std::weak_ptr<int>(alive_)](absl::StatusOr<run_lists> lists) {
                    if (alive.expired()) {
                      return;
                    }
                    looking_ = false;
                    if (lists.ok()) {
                      take_lists(*lists, now);
                    }
                    if (look_again_ || (!lists.ok() && !suspected_)) {
                      look();
                    }
                  });
}

void fleet_agent::note_life(std::int64_t life) {
  if (life != 0 && life != life_) {
    log_.write("worker_life", "life", life, "previous", life_);
    life_ = life;
    table_.ends_restarted();
  }
}

void fleet_agent::take_lists(const run_lists& lists, monotonic_time requested) {
  const auto now = lease_now();
  note_life(lists.life);
  last_listed_ = now;
  list_missed_ = false;
  refused_once_ = false;
  suspect_worker(false, "");
  table_.observe(lists.active, lists.finished, lists.complete, requested, now);
  for (const auto& [owner, slow] : table_.slow_runs(now)) {
    if (auto* to = session_of(owner)) {
      to->out.slow.push_back(slow);
    }
  }
  status_dirty_ = true;
  flush_soon_();
}

void fleet_agent::list_failed(const absl::Status& status, monotonic_time now) {
  metrics_.add("parsleylead_agent_list_failures_total", {});
  list_missed_ = true;
  if (worker_) {
    if (now - last_listed_ > settings_.suspect_after || absl::IsUnavailable(status)) {
      suspect_worker(true, std::string(status.message()));
    }
    const bool crashed = absl::IsUnavailable(status) && std::exchange(refused_once_, true);
    if ((crashed || now > lease_end()) && table_.running() > 0) {
      log_.write("worker_lost", "worker", worker_->id, "crashed", crashed, "runs", table_.running(),
                 "cause", std::string(status.message()));
      table_.worker_lost(now);
    }
    flush_soon_();
  }
  list_runs_after(suspected_ ? suspected_list_retry : list_retry);
}

fleet_agent::session* fleet_agent::session_of(owner_id owner) {
  for (auto& [address, each] : sessions_) {
    if (each->owner == owner) {
      return each.get();
    }
  }
  return nullptr;
}

void fleet_agent::carry_out() {
  const auto now = lease_now();
  if (worker_) {
    table_.pump(now);
  }
  for (const auto& call : table_.take_calls()) {
    const std::weak_ptr<int> alive = alive_;
    if (call.what == worker_call::kind::stop) {
      port_.stop(call.run, [this, run = call.run, alive](bool confirmed) {
        if (!alive.expired()) {
          table_.stop_answered(run, confirmed, lease_now());
          if (confirmed) {
            look(); // Only a list taken after the confirmation shows that the run has ended.
          }
        }
      });
      continue;
    }
    const auto* order = table_.find_order(call.run);
    if (order == nullptr) {
      continue;
    }
    extended_ = now; // The order extends the lease of everything on the worker.
    port_.start(*order, [this, run = call.run, alive](start_answer answer) {
      if (alive.expired()) {
        return;
      }
      if (answer != start_answer::started) {
        log_.write("start_not_confirmed", "run", format_run(run), "answer",
                   static_cast<int>(answer));
        metrics_.add("parsleylead_agent_starts_not_confirmed_total", {});
      }
      table_.start_answered(run, answer, lease_now());
      flush_soon_();
    });
  }
  for (auto& [owner, end] : table_.take_ends()) {
    log_.write("run_ended", "run", format_run(end.run), "outcome", to_string(end.outcome), "ran_ms",
               end.ran.count(), "waited_ms", end.waited.count());
    metrics_.add("parsleylead_agent_runs_total", {{"outcome", to_string(end.outcome)}});
    if (auto* to = session_of(owner)) {
      to->out.ends.push_back(end);
    }
    status_dirty_ = true;
  }
  send_reports();
}

worker_status fleet_agent::status_for(const session& to) const {
  worker_status status;
  status.present = worker_.has_value() && !suspected_;
  if (!worker_) {
    return status;
  }
  status.accepting = !leaving_ && !worker_->draining;
  status.about = {worker_->id, worker_->service, worker_->rack, worker_->labels, table_.capacity()};
  status.committed = table_.committed();
  status.queued_cpu_millis = table_.queued_cpu_millis();
  status.own_cpu_millis = table_.owner_cpu_millis(to.owner);
  status.slowdown = table_.pace().slowdown();
  status.failure_share = table_.failure_share();
  return status;
}

bool fleet_agent::worth_sending(const worker_status& status, const session& to) {
  if (!to.sent_status) {
    return true;
  }
  const auto& sent = *to.sent_status;
  return status.present != sent.present || status.accepting != sent.accepting ||
         status.about != sent.about || status.committed != sent.committed ||
         status.queued_cpu_millis != sent.queued_cpu_millis ||
         status.own_cpu_millis != sent.own_cpu_millis ||
         std::abs(status.slowdown - sent.slowdown) > min_reported_change * sent.slowdown ||
         std::abs(status.failure_share - sent.failure_share) > min_reported_change;
}

void fleet_agent::add_status(session& to, monotonic_time now) {
  auto status = status_for(to);
  to.status_due = false;
  if (!worth_sending(status, to)) {
    return;
  }
  status.has_description = !to.sent_status || to.sent_status->about != status.about;
  to.status_sent = now;
  to.sent_status = status;
  to.out.status = std::move(status);
}

void fleet_agent::send_reports() {
  const auto now = lease_now();
  if (std::exchange(status_dirty_, false)) {
    for (auto& [address, each] : sessions_) {
      each->status_due = true;
    }
  }
  for (auto& [address, each] : sessions_) {
    if (!each->link || !each->greeted) {
      continue;
    }
    const bool carries_news = !each->out.empty();
    if (each->status_due &&
        (carries_news || now - each->status_sent >= settings_.timing.status_interval)) {
      add_status(*each, now);
    }
    if (!each->out.empty()) {
      each->out.leaving = leaving_;
      each->link->send(encode_frame(each->out));
      each->out = {};
    }
  }
}

void fleet_agent::leave(std::chrono::milliseconds limit, std::function<void()> done) {
  leaving_ = true;
  left_ = std::move(done);
  leave_limit_ = lease_now() + limit;
  table_.set_accepting(false);
  status_dirty_ = true;
  log_.write("leaving", "runs", table_.running(), "waiting", table_.waiting());
  flush_soon_();
}

} // namespace parsleylead

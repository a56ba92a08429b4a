#include "parsleylead/fleet/fleet_agent.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <cmath>
#include <utility>

#include "fleet_agent_session.hpp"
#include "parsleylead/base/call_after.hpp"
#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Smaller changes of slowdown (relative) and failure share (absolute) are not reported.
constexpr double min_reported_change = 0.05;
// Announcements may be this much late. A worker announces itself several times in this time.
constexpr milliseconds late_announcement_limit{10'000};
// Largest difference between the sequence numbers of two announcements within that time.
constexpr std::uint64_t max_sequence_step = 1'000;
// A worker that has deregistered ends within this time. One that still answers then has not left.
constexpr milliseconds departed_worker_retention{3'000};

/// The partitions and epochs, as "3:12 5:14".
std::string format_claims(const std::vector<partition_claim>& claims) {
  std::string text;
  for (const auto& claim : claims) {
    text += (text.empty() ? "" : " ") + std::to_string(claim.partition) + ":" +
            std::to_string(claim.epoch);
  }
  return text;
}

} // namespace

fleet_agent::fleet_agent(asio::io_context& io, fleet_agent_settings settings, worker_port& worker,
                         event_log& log, metrics_registry& metrics)
    : io_(io), settings_(std::move(settings)), port_(worker), log_(log), metrics_(metrics),
      tick_timer_(io), extra_list_timer_(io), second_list_timer_(io), start_check_timer_(io),
      flush_soon_(io, [this] { flush(); }),
      dialer_(settings_.timing, settings_.name, settings_.availability_zone, "",
              settings_.max_sessions),
      table_(settings_.partitions), candidates_(io, worker, log, [this](const auto& announcement) {
        worker_confirmed(announcement);
      }) {}

fleet_agent::~fleet_agent() {
  for (auto& [address, peer] : sessions_) {
    if (peer->link) {
      peer->link->close();
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
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](const auto& entry) { return entry.second->established; }));
}

bool fleet_agent::has_session(const std::string& entry) const {
  return std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& each) {
    return each.second->established && each.second->entry == entry;
  });
}

void fleet_agent::tick() {
  const auto now = lease_now();
  if (now - last_tick_ > settings_.timing.max_silence) {
    log_.write("process_stood_still", "ms", (now - last_tick_) / milliseconds(1));
  }
  last_tick_ = now;
  check_sessions(now);
  if (now - last_surplus_check_ >= settings_.timing.surplus_check_interval) {
    last_surplus_check_ = now;
    close_surplus_sessions(now);
  }
  // Any entry may own the partitions of unclaimed ends, so connect to all of them.
  dialer_.set_max_links(table_.has_unclaimed_end() ? dialer_.known() : settings_.max_sessions);
  dial_due(now);
  status_dirty_ = true;
  flush();
  if (table_.running() + table_.waiting() > 0) {
    last_busy_ = now;
  }
  if (leaving_ && on_left_ &&
      (now - last_busy_ >= settings_.timing.leave_notice || now >= leave_deadline_)) {
    std::exchange(on_left_, nullptr)();
  }
  if (now - last_traffic_report_ >= settings_.timing.traffic_report_interval) {
    last_traffic_report_ = now;
    traffic_.report(log_, metrics_, now);
  }
  call_after(tick_timer_, settings_.timing.tick_interval,
             [this, alive = std::weak_ptr<int>(alive_)] {
               if (!alive.expired()) {
                 tick();
               }
             });
}

void fleet_agent::check_sessions(monotonic_time now) {
  for (auto& [address, peer] : sessions_) {
    if (peer->link) {
      peer->last_heard = std::max(peer->last_heard, peer->link->last_received());
      if (now - peer->link->last_received() > settings_.timing.max_silence) {
        peer->link->close();
        session_closed(*peer, "silent");
      } else if (peer->established && is_unheard(*peer, now)) {
        peer->link->close();
        session_closed(*peer, "does not hear this agent");
      } else if (now - peer->link->last_sent() > settings_.timing.keepalive_interval) {
        send(*peer, std::exchange(peer->outgoing, {}));
      }
    }
    if (!peer->lease_expired && peer->owner != 0 &&
        (now - peer->last_heard > settings_.timing.owner_lease || is_unheard(*peer, now))) {
      peer->lease_expired = true;
      log_.write("entry_lease_ended", "entry", peer->entry, "silent_ms",
                 (now - peer->last_heard) / milliseconds(1), "cpu_millis",
                 table_.owner_cpu_millis(peer->owner));
      table_.stop_owner(peer->owner, now);
    }
  }
}

bool fleet_agent::is_unheard(const session& peer, monotonic_time now) const {
  return peer.heard_by_entry && now - *peer.heard_by_entry > settings_.timing.unheard_limit;
}

void fleet_agent::close_surplus_sessions(monotonic_time now) {
  const auto surplus = dialer_.surplus(now);
  for (auto& [address, peer] : sessions_) {
    if (!peer->link || !peer->established) {
      continue;
    }
    if (std::find(surplus.begin(), surplus.end(), address) == surplus.end()) {
      peer->status_due = peer->status_due || peer->closing_since.has_value();
      peer->closing_since.reset();
      continue;
    }
    if (!peer->closing_since) {
      peer->closing_since = now;
      peer->status_due = true;
      continue;
    }
    const bool entry_knows = peer->link->last_received() >
                             *peer->closing_since + settings_.timing.surplus_check_interval / 2;
    // Held ends may have to be reported to any entry.
    if (entry_knows && table_.owner_cpu_millis(peer->owner) == 0 &&
        !table_.has_started_runs(peer->owner) && !table_.has_held_ends()) {
      const auto link = peer->link;
      session_closed(*peer, "more sessions than needed");
      link->close();
    }
  }
}

void fleet_agent::session_requested(const session_request& request, monotonic_time now) {
  if (suspected_ || !accepts_tasks()) {
    return;
  }
  const auto& entry = request.entry;
  const bool accepted =
      dialer_.request(entry, now + settings_.requested_session_time, max_requested(request), now);
  log_.write("session_requested", "entry", entry.name, "address", entry.address, "accepted",
             accepted, "idle", request.idle, "requested_sessions", dialer_.requests(now));
  metrics_.add("parsleylead_agent_session_requests_total",
               {{"accepted", accepted ? "true" : "false"}});
  dial_due(now);
}

std::size_t fleet_agent::max_requested(const session_request& request) const {
  if (!request.idle) {
    return settings_.max_requested_sessions;
  }
  const std::uint64_t used =
      std::uint64_t{table_.committed().cpu_millis} + table_.queued_cpu_millis();
  return 2 * used < table_.capacity().cpu_millis ? settings_.max_mostly_idle_requested_sessions
                                                 : settings_.max_idle_requested_sessions;
}

void fleet_agent::dial_due(monotonic_time now) {
  for (const auto& address : dialer_.due(now)) {
    dial(address);
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
                       link_opened(address, std::move(link));
                     });
}

void fleet_agent::link_opened(const std::string& address, std::shared_ptr<frame_link> link) {
  dialer_.linked(address, lease_now());
  auto& slot = sessions_[address];
  if (!slot) {
    slot = std::make_unique<session>();
    slot->address = address;
  }
  auto& peer = *slot;
  if (peer.link) {
    peer.link->close();
  }
  peer.link = std::move(link);
  peer.established = false;
  peer.outgoing = {};
  peer.link->set_max_silence(settings_.timing.max_silence);
  peer.link->start([this, &peer](std::string_view bytes) { frame_received(peer, bytes); },
                   [this, &peer](const std::string& cause) { session_closed(peer, cause); });
  fleet_frame hello;
  hello.hello =
      session_hello{{settings_.name, settings_.incarnation, "", settings_.availability_zone},
                    true,
                    peer.incarnation,
                    !dialer_.is_preferred(address)};
  // An entry that has just started, without the store or a link to others, learns them here.
  hello.evacuations = evacuations_.state();
  send(peer, hello);
}

void fleet_agent::session_closed(session& from, const std::string& cause) {
  from.last_heard = std::max(from.last_heard, from.link->last_received());
  from.link.reset();
  from.established = false;
  dialer_.lost(from.address, lease_now());
  log_.write("session_lost", "entry", from.entry, "address", from.address, "cause", cause);
  metrics_.add("parsleylead_agent_sessions_lost_total", {});
}

void fleet_agent::hello_received(session& from, const session_hello& hello) {
  if (from.owner == 0 || from.incarnation != hello.sender.incarnation) {
    if (from.owner != 0) {
      table_.stop_owner(from.owner, lease_now());
    }
    from.owner = next_owner_++;
  }
  from.entry = hello.sender.name;
  from.incarnation = hello.sender.incarnation;
  from.established = true;
  from.lease_expired = false;
  from.last_heard = lease_now();
  from.status_due = true;
  from.closing_since.reset();
  from.status_sent = {};
  from.sent_status.reset();
  log_.write("session_opened", "entry", from.entry, "incarnation", from.incarnation, "address",
             from.address);
}

void fleet_agent::frame_received(session& from, std::string_view bytes) {
  auto frame = decode_frame(bytes);
  if (!frame.ok()) {
    refuse_frame(from, std::string(frame.status().message()));
    return;
  }
  try {
    apply_frame(from, *frame);
  } catch (const std::exception& error) {
    // The next session with the entry reconciles what this frame has left undone.
    refuse_frame(from, error.what());
  }
}

void fleet_agent::refuse_frame(session& from, const std::string& cause) {
  log_.write("frame_refused", "peer", from.address, "cause", cause);
  metrics_.add("parsleylead_frames_refused_total", {});
  if (const auto link = from.link) {
    session_closed(from, "malformed frame");
    link->close();
  }
}

void fleet_agent::apply_frame(session& from, fleet_frame& frame) {
  const auto now = lease_now();
  if (frame.hello) {
    from.heard_by_entry.reset();
  }
  if (frame.heard.count() > 0) { // Entries of earlier versions do not state it.
    const auto latest = std::chrono::floor<milliseconds>(now.time_since_epoch());
    from.heard_by_entry = monotonic_time(std::min(frame.heard, latest));
  }
  if (frame.hello) {
    hello_received(from, *frame.hello);
    dialer_.confirm(frame.hello->sender, now);
  }
  if (!frame.members.empty()) {
    add_members(frame.members);
  }
  if (!from.established) {
    return;
  }
  if (frame.evacuations) {
    evacuations_reported(*frame.evacuations, from.entry);
  }
  if (frame.keep_session) {
    dialer_.extend_request(from.address, now + settings_.requested_session_time, now);
  }
  for (const auto& request : frame.session_requests) {
    session_requested(request, now);
  }
  if (frame.outstanding) {
    table_.reconcile(from.owner, *frame.outstanding, now);
  }
  if (!frame.claims.empty()) {
    log_.write("partitions_claimed", "entry", from.entry, "claims", format_claims(frame.claims));
  }
  for (const auto& claim : frame.claims) {
    if (claim.epoch == withdrawn_epoch) {
      table_.claim_withdrawn(from.owner, claim.partition);
    } else {
      table_.partition_claimed(from.owner, claim, now);
    }
  }
  for (const auto& ack : frame.end_acks) {
    if (ack.superseded) {
      log_.write("end_superseded", "run", format_run(ack.run));
      status_dirty_ = true;
    }
    table_.acknowledge_end(ack);
  }
  for (const auto& run : frame.stops) {
    table_.stop(from.owner, run, false, now);
  }
  for (const auto& run : frame.moves) {
    table_.stop(from.owner, run, true, now);
  }
  const bool outdated =
      frame.worker_incarnation != 0 && worker_ && frame.worker_incarnation != worker_->incarnation;
  if (outdated && !frame.starts.empty()) {
    log_.write("starts_outdated", "entry", from.entry, "starts", frame.starts.size(), "placed_for",
               frame.worker_incarnation, "life", worker_->incarnation);
  }
  for (auto& order : frame.starts) {
    if (outdated) {
      table_.refuse(from.owner, order);
      continue;
    }
    if (const auto later = table_.later_claim(order)) {
      // Inform the sender that the partition has a newer owner.
      from.outgoing.claims.push_back(*later);
    }
    table_.add(from.owner, std::move(order), now);
  }
  flush_soon_();
}

bool fleet_agent::is_of_worker(const worker_announcement& announcement) const {
  const auto known =
      worker_ && worker_incarnation_ == 0 ? worker_->incarnation : worker_incarnation_;
  return worker_ && announcement.id == worker_->id && announcement.incarnation == known;
}

void fleet_agent::worker_announced(const worker_announcement& announcement,
                                   std::function<void(const absl::Status&)> done) {
  if (is_of_worker(announcement)) {
    done(update_worker(announcement));
  } else {
    candidates_.add(announcement, std::move(done));
  }
}

absl::Status fleet_agent::update_worker(const worker_announcement& announcement) {
  if (announcement.incarnation != worker_->incarnation) {
    worker_confirmed(announcement); // The worker's lists named this incarnation before.
    return absl::OkStatus();
  }
  const auto now = lease_now();
  const bool late = announcement.sequence <= worker_->sequence;
  const bool departed =
      departed_at_ && (suspected_ || now - *departed_at_ < departed_worker_retention);
  // An odd announcement under the worker's id must not make its true ones late for good.
  const bool comparable = now - announced_at_ < late_announcement_limit;
  if ((comparable && late) || departed) {
    log_.write("announcement_late", "worker", announcement.id, "life", announcement.incarnation,
               "sequence", announcement.sequence, "newest", worker_->sequence, "departed",
               departed);
    return absl::OkStatus();
  }
  if (comparable && announcement.sequence - worker_->sequence > max_sequence_step) {
    return absl::InvalidArgumentError("sequence: far above the latest one");
  }
  if (comparable && announcement.service != worker_->service) {
    return absl::InvalidArgumentError("service: not that of the worker");
  }
  if (comparable && announcement.labels != worker_->labels) {
    return absl::InvalidArgumentError("labels: not those of the worker");
  }
  departed_at_.reset();
  apply_announcement(announcement);
  return absl::OkStatus();
}

void fleet_agent::worker_confirmed(const worker_announcement& announcement) {
  const auto now = lease_now();
  const bool other_worker = !worker_ || worker_->id != announcement.id;
  // Lists of this incarnation have shown what it runs.
  const bool is_listed = !other_worker && worker_incarnation_ != 0 &&
                         worker_incarnation_ == announcement.incarnation && !suspected_ &&
                         !awaiting_incarnation_;
  // A worker that leaves says so first.
  const bool replaces_lost_worker = worker_ && !worker_->draining && !departed_at_;
  if (other_worker) {
    if (replaces_lost_worker) {
      table_.worker_crashed(last_list_failed_ ? failing_since_ : now);
    }
    table_.worker_replaced(announcement.capacity, now);
    former_incarnations_.clear();
  }
  worker_ = announcement;
  update_worker_incarnation(announcement.incarnation);
  departed_at_.reset();
  if (!is_listed) {
    // A restarted worker with the same id may already execute orders that were sent since its
    // restart. Its next list shows which runs are lost.
    port_.attach(announcement);
    lease_end_ = now + settings_.worker_lease;
    set_worker_suspected(true, "new worker");
  }
  apply_announcement(announcement);
  log_worker();
  status_dirty_ = true;
}

void fleet_agent::apply_announcement(const worker_announcement& announcement) {
  const bool changed = worker_->draining != announcement.draining;
  worker_ = announcement;
  announced_at_ = lease_now();
  cold_until_ = announced_at_ + announcement.cold_for;
  table_.set_capacity(announcement.capacity);
  table_.set_accepting(accepts_tasks());
  if (changed) {
    log_worker();
    status_dirty_ = true;
  }
  if (!listing_) {
    list_runs();
  }
  flush_soon_();
}

bool fleet_agent::is_described() const {
  return worker_ && (worker_incarnation_ == 0 || worker_->incarnation == worker_incarnation_);
}

bool fleet_agent::accepts_tasks() const {
  return is_described() && !worker_->draining && !departed_at_ && !leaving_ &&
         !evacuations_.is_evacuated(settings_.availability_zone);
}

void fleet_agent::evacuations_reported(const evacuation_state& state, const std::string& entry) {
  for (const auto& change : evacuations_.merge(state)) {
    if (change.zone == settings_.availability_zone) {
      log_.write(change.evacuated ? "zone_evacuated" : "zone_evacuation_ended", "zone", change.zone,
                 "offset", state.as_of, "source", entry, "runs", table_.running(), "waiting",
                 table_.waiting());
      metrics_.set("parsleylead_evacuated_zones", {}, change.evacuated ? 1 : 0);
    }
  }
  table_.set_accepting(accepts_tasks());
  status_dirty_ = true;
}

void fleet_agent::log_worker() {
  log_.write("worker_announced", "worker", worker_->id, "life", worker_->incarnation, "service",
             worker_->service, "draining", worker_->draining, "cpu_millis",
             worker_->capacity.cpu_millis, "rack", worker_->rack);
}

void fleet_agent::worker_left(const std::string& id, std::int64_t incarnation) {
  const bool other_incarnation = worker_ && worker_->id == id && incarnation != 0 &&
                                 worker_incarnation_ != 0 && incarnation != worker_incarnation_;
  if (other_incarnation) {
    log_.write("departure_late", "worker", id, "life", incarnation, "present", worker_incarnation_);
    return;
  }
  candidates_.remove(id);
  if (!worker_ || worker_->id != id || departed_at_) {
    return;
  }
  log_.write("worker_left", "worker", id);
  departed_at_ = lease_now();
  table_.set_accepting(accepts_tasks());
  status_dirty_ = true;
  flush_soon_();
}

void fleet_agent::set_worker_suspected(bool suspected, const std::string& cause) {
  const bool changed = std::exchange(suspected_, suspected) != suspected;
  update_suspension();
  if (changed) {
    status_dirty_ = true;
    log_.write(suspected ? "worker_suspected" : "worker_answers", "worker",
               worker_ ? worker_->id : "", "runs", table_.running(), "list_age_ms",
               (lease_now() - last_list_at_) / milliseconds(1), "cause", cause);
  }
}

void fleet_agent::update_suspension() {
  table_.set_suspended(suspected_ || awaiting_incarnation_ || table_.has_superseded_end());
}

fleet_agent::session* fleet_agent::find_session(owner_id owner) {
  for (auto& [address, peer] : sessions_) {
    if (peer->owner == owner) {
      return peer.get();
    }
  }
  return nullptr;
}

void fleet_agent::flush() {
  const auto now = lease_now();
  if (worker_) {
    table_.start_waiting(now);
  }
  for (const auto& call : table_.take_calls()) {
    if (call.call_kind == worker_call::kind::stop) {
      send_stop(call.run);
    } else {
      send_start(call.run, now);
    }
  }
  schedule_start_check(now);
  report_resolved_starts();
  for (auto& [owner, end] : table_.take_ends()) {
    log_.write("run_ended", "run", format_run(end.run), "outcome", to_string(end.outcome), "ran_ms",
               end.ran.count(), "waited_ms", end.waited.count(), "worker_crashed",
               end.worker_crashed, "suspect", end.suspect, "cause", to_string(end.cause));
    metrics_.add("parsleylead_agent_runs_total", {{"outcome", to_string(end.outcome)}});
    if (auto* to = find_session(owner)) {
      to->outgoing.ends.push_back(end);
    }
    status_dirty_ = true;
  }
  for (auto& [owner, end] : table_.take_loss_reports()) {
    log_.write("loss_explained", "run", format_run(end.run), "worker_crashed", end.worker_crashed,
               "suspect", end.suspect);
    if (auto* to = find_session(owner)) {
      to->outgoing.ends.push_back(end);
    }
  }
  for (const auto& crash : table_.take_crashes()) {
    log_.write("worker_crashed", "queue", crash.queue, "isolated", crash.isolated);
    for (auto& [address, peer] : sessions_) {
      if (peer->established) {
        peer->outgoing.crashes.push_back(crash);
      }
    }
  }
  send_reports();
}

void fleet_agent::send(session& to, fleet_frame frame) {
  frame.sent = std::chrono::duration_cast<milliseconds>(lease_now().time_since_epoch());
  const auto bytes = encode_frame(frame);
  traffic_.count(content_of(frame), bytes.size());
  to.link->send(bytes);
}

worker_status fleet_agent::status_for(const session& to) const {
  worker_status status;
  status.present = worker_.has_value() && !suspected_;
  if (!worker_) {
    return status;
  }
  status.accepting = accepts_tasks() && !to.closing_since;
  status.cold = lease_now() < cold_until_;
  status.undescribed =
      !is_described() && lease_now() - undescribed_since_ < settings_.description_wait;
  status.description = {worker_->id,     worker_->service,  worker_->rack,
                        worker_->labels, table_.capacity(), worker_->incarnation};
  status.committed = table_.committed();
  status.queued_cpu_millis = table_.queued_cpu_millis();
  status.own_cpu_millis = table_.owner_cpu_millis(to.owner);
  status.slowdown = table_.pace().slowdown();
  status.failure_share = table_.failure_share();
  return status;
}

bool fleet_agent::has_reportable_change(const worker_status& status, const session& to) {
  if (!to.sent_status) {
    return true;
  }
  const auto& sent = *to.sent_status;
  return status.present != sent.present || status.accepting != sent.accepting ||
         status.cold != sent.cold || status.undescribed != sent.undescribed ||
         status.description != sent.description || status.committed != sent.committed ||
         status.queued_cpu_millis != sent.queued_cpu_millis ||
         status.own_cpu_millis != sent.own_cpu_millis ||
         std::abs(status.slowdown - sent.slowdown) > min_reported_change * sent.slowdown ||
         std::abs(status.failure_share - sent.failure_share) > min_reported_change;
}

void fleet_agent::add_status(session& to, monotonic_time now) {
  auto status = status_for(to);
  to.status_due = false;
  if (!has_reportable_change(status, to)) {
    return;
  }
  status.has_description = !to.sent_status || to.sent_status->description != status.description;
  to.status_sent = now;
  to.sent_status = status;
  to.outgoing.status = std::move(status);
}

void fleet_agent::send_reports() {
  const auto now = lease_now();
  if (std::exchange(status_dirty_, false)) {
    for (auto& [address, peer] : sessions_) {
      peer->status_due = true;
    }
  }
  for (auto& [address, peer] : sessions_) {
    if (!peer->link || !peer->established) {
      continue;
    }
    const bool has_content = !peer->outgoing.empty();
    if (peer->status_due &&
        (has_content || now - peer->status_sent >= settings_.timing.status_interval)) {
      add_status(*peer, now);
    }
    if (!peer->outgoing.empty()) {
      peer->outgoing.leaving = leaving_;
      send(*peer, std::exchange(peer->outgoing, {}));
    }
  }
}

void fleet_agent::leave(std::chrono::milliseconds limit, std::function<void()> done) {
  leaving_ = true;
  on_left_ = std::move(done);
  last_busy_ = lease_now(); // Orders may be on their way.
  leave_deadline_ = last_busy_ + limit;
  table_.set_accepting(accepts_tasks());
  status_dirty_ = true;
  log_.write("leaving", "runs", table_.running(), "waiting", table_.waiting());
  flush_soon_();
}

} // namespace parsleylead

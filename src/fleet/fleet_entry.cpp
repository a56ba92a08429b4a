#include <algorithm>
#include <asio/post.hpp>
#include <cmath>
#include <utility>

#include "fleet_entry_session.hpp"
#include "parsleylead/base/call_after.hpp"
#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// A backlog that lasts this long is logged, with this entry's view of the workers.
constexpr milliseconds backlog_notice{1'000};
constexpr milliseconds reach_report_interval{1'000};
// Shortest interval between two counts of this entry's waiting durable jobs.
constexpr milliseconds count_interval{100};
// A connection without a hello is closed after this time.
constexpr milliseconds hello_timeout{2'000};

} // namespace

/// Runs durable jobs on the scheduler of the entry.
struct fleet_entry::durable_job_port : durable_port {
  explicit durable_job_port(fleet_entry& owning_entry) : entry(owning_entry) {}

  void run_job(fleet_job job) override {
    // A caller may have submitted a job with the same id that is not durable.
    entry.cancel(job.id);
    entry.scheduler_.submit(std::move(job), lease_now());
    entry.flush_soon_();
  }
  void drop_job(std::uint64_t job) override {
    entry.scheduler_.cancel(job, lease_now());
    entry.flush_soon_();
  }
  void suspend_job(std::uint64_t job) override {
    if (entry.scheduler_.is_open(job)) {
      entry.scheduler_.suspend(job);
      entry.flush_soon_();
    }
  }
  void restart_task(const run_id& lost) override {
    entry.scheduler_.restart_task(lost, lease_now());
    entry.flush_soon_();
  }
  void failure_counted(const run_id& failed) override { entry.scheduler_.failure_counted(failed); }
  void crash_counted(const run_id& crashed) override {
    entry.scheduler_.crash_counted(crashed, lease_now());
    entry.flush_soon_();
  }
  bool is_placed(std::uint64_t job) const override { return entry.scheduler_.is_placed(job); }
  bool has_begun(std::uint64_t job) const override { return entry.scheduler_.has_begun(job); }
  void announce_claims(const std::vector<partition_claim>& claims) override {
    for (const auto& [index, agent] : entry.agents_) {
      auto& out = agent->outgoing.claims;
      out.insert(out.end(), claims.begin(), claims.end());
    }
    entry.flush_soon_();
  }
  void acknowledge_end(worker_index worker, const end_ack& ack) override {
    if (const auto found = entry.agents_.find(worker); found != entry.agents_.end()) {
      found->second->outgoing.end_acks.push_back(ack);
      entry.flush_soon_();
    }
  }

  fleet_entry& entry;
};

fleet_entry::fleet_entry(asio::io_context& io, fleet_entry_settings settings, event_log& log,
                         metrics_registry& metrics,
                         std::function<void(const route_update&)> on_routes)
    : io_(io), settings_(std::move(settings)), log_(log), metrics_(metrics),
      on_routes_(std::move(on_routes)), self_{settings_.name, settings_.incarnation,
                                              to_string(
                                                  settings_.advertised.value_or(settings_.listen)),
                                              settings_.availability_zone},
      tick_timer_(io), flush_soon_(io, [this] { flush(); }),
      acceptor_(io, [this](auto link) { link_accepted(std::move(link)); }),
      dialer_(settings_.timing, settings_.name, settings_.availability_zone, self_.address,
              settings_.max_peers, link_preference::all_zones),
      scheduler_(settings_.policy, settings_.availability_zone, settings_.incarnation) {
  // Stored jobs are restored regardless of callers, and perhaps before the evacuations are known.
  scheduler_.hold_placement(true);
}

fleet_entry::~fleet_entry() {
  for (auto& peer : sessions_) {
    peer->link->close();
  }
}

absl::Status fleet_entry::start() {
  if (auto status = acceptor_.listen(settings_.listen); !status.ok()) {
    return status;
  }
  last_tick_ = lease_now();
  tick();
  return absl::OkStatus();
}

void fleet_entry::add_members(const std::vector<fleet_member>& members) {
  if (dialer_.learn(members, lease_now())) {
    log_.write("members_learnt", "known", dialer_.known());
  }
}

void fleet_entry::enable_durable_jobs(durable_settings settings, partition_log& log) {
  waiting_counts_ = waiting_counts(settings.partitions);
  durable_job_port_ = std::make_unique<durable_job_port>(*this);
  durable_ =
      std::make_unique<durable_jobs>(std::move(settings), log, *durable_job_port_, log_, metrics_);
}

durable_jobs& fleet_entry::durable() {
  // The lease may have expired while this process was stalled.
  durable_->check_lease(lease_now());
  return *durable_;
}

std::size_t fleet_entry::waiting_durable_jobs(const std::string& queue) {
  if (const auto now = lease_now(); durable_ && now - waiting_jobs_counted_ >= count_interval) {
    count_waiting_jobs(now);
  }
  return waiting_counts_.of_queue(queue);
}

void fleet_entry::count_waiting_jobs(monotonic_time now) {
  waiting_jobs_counted_ = now;
  waiting_counts_.set_own(durable().waiting_jobs());
}

void fleet_entry::report_waiting_jobs(monotonic_time now) {
  if (!durable_ || now - waiting_jobs_reported_ < settings_.timing.peer_keepalive_interval) {
    return;
  }
  waiting_jobs_reported_ = now;
  count_waiting_jobs(now);
  for (const auto& peer : peers()) {
    send_waiting_jobs(*peer);
  }
}

void fleet_entry::send_waiting_jobs(session& to) {
  fleet_frame frame;
  frame.waiting_durable_jobs = waiting_counts_.news_for(to.waiting_jobs_known);
  if (!frame.waiting_durable_jobs.empty()) {
    frame.routes_version = routes_.version;
    send(to, std::move(frame));
  }
}

void fleet_entry::set_routes(const route_update& routes) {
  if (routes.version <= routes_.version) {
    return;
  }
  routes_ = routes;
  announce_routes();
}

void fleet_entry::evacuations_read(std::uint64_t as_of, bool complete,
                                   const std::vector<zone_change>& records) {
  evacuations_changed(evacuations_.apply_records(as_of, complete, records), true, "store");
}

void fleet_entry::evacuations_changed(const std::vector<zone_change>& changes, bool authoritative,
                                      const std::string& source) {
  const bool first_known = authoritative && !knows_evacuations_;
  if (!first_known && changes.empty()) {
    return;
  }
  const auto& state = *evacuations_.state();
  if (first_known) {
    log_.write("evacuations_known", "offset", state.as_of, "zones", state.zones.size(), "source",
               source);
    knows_evacuations_ = true;
    scheduler_.hold_placement(false);
  }
  for (const auto& change : changes) {
    log_.write(change.evacuated ? "zone_evacuated" : "zone_evacuation_ended", "zone", change.zone,
               "offset", state.as_of, "source", source);
  }
  metrics_.set("parsleylead_evacuated_zones", {}, static_cast<double>(state.zones.size()));
  scheduler_.set_evacuated_zones(state.zones);
  for (const auto& peer : sessions_) {
    fleet_frame frame;
    frame.evacuations = evacuations_for(peer->is_agent);
    frame.routes_version = routes_.version;
    if (peer->established && frame.evacuations) {
      send(*peer, std::move(frame));
    }
  }
  flush_soon_();
}

std::optional<evacuation_state> fleet_entry::evacuations_for(bool agent) const {
  return agent || knows_evacuations_ ? evacuations_.state() : std::nullopt;
}

placement_explanation fleet_entry::explain(const fleet_job& job) const {
  return scheduler_.explain(job, lease_now());
}

void fleet_entry::tick() {
  const auto now = lease_now();
  const auto before = std::exchange(last_tick_, now);
  const auto passed = now - before;
  if (passed > settings_.timing.max_silence) {
    log_.write("process_stood_still", "ms", passed / milliseconds(1), "open_jobs",
               scheduler_.open_jobs());
    scheduler_.process_stalled(before);
  }
  scheduler_.loop_delayed(std::chrono::round<milliseconds>(passed) - settings_.timing.tick_interval,
                          now);
  if (durable_) {
    durable_->tick(now);
  }
  check_sessions(now);
  for (const auto& address : dialer_.due(now)) {
    dial(address);
  }
  close_surplus_links(now);
  gossip(now);
  report_waiting_jobs(now);
  request_newer_routes(now);
  relay_requests(now);
  scheduler_.tick(now);
  readiness_.update(scheduler_.usable_workers(), now);
  flush();
  log_confined_queues();
  log_lasting_backlog(now);
  if (now - last_traffic_report_ >= settings_.timing.traffic_report_interval) {
    last_traffic_report_ = now;
    traffic_.report(log_, metrics_, now);
  }
  report_reach(now);
  call_after(tick_timer_, settings_.timing.tick_interval,
             [this, alive = std::weak_ptr<int>(alive_)] {
               if (!alive.expired()) {
                 tick();
               }
             });
}

void fleet_entry::report_reach(monotonic_time now) {
  if (now - reach_reported_ < reach_report_interval) {
    return;
  }
  reach_reported_ = now;
  const auto reach = scheduler_.measure_reach({});
  metrics_.set("parsleylead_entry_reach_cpu_millis", {{"kind", "total"}}, reach.total);
  metrics_.set("parsleylead_entry_reach_cpu_millis", {{"kind", "free"}}, reach.free);
}

void fleet_entry::log_confined_queues() {
  auto confined = scheduler_.confined_queues();
  if (confined == confined_queues_) {
    return;
  }
  for (const auto& queue : confined) {
    if (!confined_queues_.contains(queue)) {
      log_.write("queue_confined", "queue", queue);
    }
  }
  for (const auto& queue : confined_queues_) {
    if (!confined.contains(queue)) {
      log_.write("queue_released", "queue", queue);
    }
  }
  confined_queues_ = std::move(confined);
  metrics_.set("parsleylead_entry_confined_queues", {},
               static_cast<double>(confined_queues_.size()));
}

void fleet_entry::log_lasting_backlog(monotonic_time now) {
  if (scheduler_.backlog() == 0) {
    backlog_since_ = now;
  } else if (now - backlog_since_ > backlog_notice) {
    backlog_since_ = now;
    log_.write("backlog_lasts", "tasks", scheduler_.backlog(), "jobs", scheduler_.open_jobs(),
               "requirements", scheduler_.describe_backlog(now), "workers",
               scheduler_.describe_workers());
  }
}

void fleet_entry::check_sessions(monotonic_time now) {
  const auto open_sessions = sessions_;
  for (const auto& peer : open_sessions) {
    const bool is_entry = peer->established && !peer->is_agent;
    const auto& timing = settings_.timing;
    const bool silent = now - peer->link->last_received() >
                        (is_entry ? timing.peer_max_silence : timing.max_silence);
    const bool hello_overdue = !peer->established && now - peer->opened > hello_timeout;
    if (silent || hello_overdue) {
      peer->link->close();
      session_closed(peer, silent ? "silent" : "no hello within the time limit");
    } else if (peer->established &&
               now - peer->link->last_sent() >
                   (is_entry ? timing.peer_keepalive_interval : timing.keepalive_interval)) {
      peer->outgoing.routes_version = routes_.version;
      send(*peer, std::exchange(peer->outgoing, {}));
    }
  }
}

void fleet_entry::send(session& to, fleet_frame frame) {
  frame.heard = to.newest_sent;
  frame.keep_session = to.is_agent && to.established && scheduler_.is_needed(to.worker);
  const auto bytes = encode_frame(frame);
  traffic_.count(content_of(frame), bytes.size());
  to.link->send(bytes);
}

fleet_frame fleet_entry::member_frame() const {
  fleet_frame frame;
  frame.members = dialer_.linked_members();
  frame.members.push_back(self_);
  frame.routes_version = routes_.version;
  frame.evacuations = evacuations_for(false);
  return frame;
}

void fleet_entry::gossip(monotonic_time now) {
  // The member list grows with the site, so changes are sent as such, and only by the entries that
  // the new one has a link to.
  if (!news_.empty() && now - news_sent_ >= settings_.timing.news_interval) {
    news_sent_ = now;
    fleet_frame frame;
    frame.members = std::exchange(news_, {});
    frame.routes_version = routes_.version;
    for (const auto& peer : sessions_) {
      if (peer->established) {
        send(*peer, frame);
      }
    }
  }
  if (now - last_gossip_ < settings_.timing.gossip_interval) {
    return;
  }
  last_gossip_ = now;
  const auto frame = member_frame();
  for (const auto& peer : sessions_) {
    if (peer->established && !peer->is_agent && !peer->dialled.empty()) {
      send(*peer, frame);
    }
  }
}

void fleet_entry::close_surplus_links(monotonic_time now) {
  if (now - last_surplus_check_ < settings_.timing.surplus_check_interval) {
    return;
  }
  last_surplus_check_ = now;
  const auto surplus = dialer_.surplus(now);
  const auto open_sessions = sessions_;
  for (const auto& peer : open_sessions) {
    if (std::find(surplus.begin(), surplus.end(), peer->dialled) != surplus.end()) {
      peer->link->close();
      session_closed(peer, "more links than needed");
    }
  }
}

void fleet_entry::request_newer_routes(monotonic_time now) {
  const auto newest =
      std::max_element(sessions_.begin(), sessions_.end(), [](const auto& a, const auto& b) {
        return a->routes_version < b->routes_version;
      });
  if (newest == sessions_.end() || (*newest)->routes_version <= routes_.version) {
    newer_routes_since_.reset();
    return;
  }
  // Most entries get the routes from the store at the same time; without any, the entry is not
  // ready.
  const bool waits_for_store = routes_.version >= 0 || newer_routes_since_;
  if (!newer_routes_since_) {
    newer_routes_since_ = now;
  }
  if (waits_for_store && now - *newer_routes_since_ < settings_.timing.routes_request_delay) {
    return;
  }
  newer_routes_since_ = now;
  log_.write("routes_requested", "peer", (*newest)->peer.name, "version", (*newest)->routes_version,
             "own", routes_.version);
  fleet_frame request;
  request.routes_version = routes_.version;
  request.routes_wanted = true;
  send(**newest, request);
}

void fleet_entry::announce_routes() {
  fleet_frame frame;
  frame.routes_version = routes_.version;
  for (const auto& peer : sessions_) {
    if (peer->established && !peer->is_agent) {
      send(*peer, frame);
    }
  }
}

void fleet_entry::dial(const std::string& address) {
  connect_frame_link(io_, address, settings_.timing.connect_timeout,
                     [this, address, alive = std::weak_ptr<int>(alive_)](
                         std::shared_ptr<frame_link> link, const std::string& cause) {
                       if (alive.expired()) {
                         return;
                       }
                       if (!link) {
                         log_.write("entry_unreachable", "address", address, "cause", cause);
                         dialer_.lost(address, lease_now());
                         return;
                       }
                       auto created = std::make_shared<session>();
                       created->link = std::move(link);
                       created->dialled = address;
                       dialer_.linked(address, lease_now());
                       start_session(created);
                       auto hello = member_frame();
                       hello.hello = session_hello{self_, false, 0};
                       send(*created, hello);
                     });
}

void fleet_entry::link_accepted(std::shared_ptr<frame_link> link) {
  auto created = std::make_shared<session>();
  created->link = std::move(link);
  start_session(created);
}

void fleet_entry::start_session(const std::shared_ptr<session>& created) {
  created->opened = lease_now();
  created->link->set_max_silence(settings_.timing.max_silence);
  sessions_.push_back(created);
  created->link->start(
      [this, weak = std::weak_ptr(created)](std::string_view bytes) {
        if (const auto from = weak.lock()) {
          frame_received(from, bytes);
        }
      },
      [this, weak = std::weak_ptr(created)](const std::string& cause) {
        if (const auto from = weak.lock()) {
          session_closed(from, cause);
        }
      });
}

void fleet_entry::session_closed(const std::shared_ptr<session>& from, const std::string& cause) {
  if (std::exchange(from->closed, true)) {
    return;
  }
  std::erase(sessions_, from);
  const auto now = lease_now();
  if (!from->dialled.empty()) {
    dialer_.lost(from->dialled, now);
  }
  const auto current = from->is_agent ? agents_.find(from->worker) : agents_.end();
  if (current != agents_.end() && current->second == from) {
    agents_.erase(current);
    scheduler_.session_lost(from->worker, from->link->last_received(), now);
    flush_soon_();
  }
  log_.write("session_lost", "peer", from->peer.name, "agent", from->is_agent, "cause", cause);
  metrics_.add("parsleylead_entry_sessions_lost_total", {});
}

void fleet_entry::hello_received(const std::shared_ptr<session>& from, const session_hello& hello) {
  from->peer = hello.sender;
  from->is_agent = hello.is_agent;
  from->established = true;
  if (!hello.is_agent) {
    from->link->set_max_silence(settings_.timing.peer_max_silence);
  }
  if (hello.is_agent) {
    agent_hello_received(from, hello);
    return;
  }
  if (dialer_.confirm(hello.sender, lease_now())) {
    news_.push_back(hello.sender);
  }
  if (from->dialled.empty()) {
    auto reply = member_frame();
    reply.hello = session_hello{self_, false, 0};
    send(*from, reply);
  }
  // An entry that has just started learns the counts as soon as it has a link.
  send_waiting_jobs(*from);
}

void fleet_entry::agent_hello_received(const std::shared_ptr<session>& from,
                                       const session_hello& hello) {
  // Orders that are placed but not sent must not arrive after the list of outstanding runs: the
  // agent reports listed runs that it does not know as not started, and would start them later.
  flush();
  const auto now = lease_now();
  from->worker = scheduler_.worker_for(hello.sender.name, hello.sender.availability_zone);
  const auto older = agents_.find(from->worker);
  if (older != agents_.end()) {
    const auto replaced = older->second;
    replaced->link->close();
    session_closed(replaced, "replaced by a new connection of the agent");
  }
  auto& known = agent_incarnations_[from->worker];
  const bool same_agent = known == hello.sender.incarnation;
  known = hello.sender.incarnation;
  agents_[from->worker] = from;
  scheduler_.session_opened(from->worker, same_agent, now);
  if (hello.requested) {
    scheduler_.session_is_requested(from->worker);
  }
  auto reply = member_frame();
  reply.hello = session_hello{self_, false, 0};
  reply.evacuations = evacuations_for(true);
  reply.outstanding = same_agent ? scheduler_.outstanding(from->worker) : std::vector<run_id>{};
  if (durable_) {
    reply.claims = durable_->claims();
  }
  send(*from, reply);
  log_.write("session_opened", "agent", hello.sender.name, "incarnation", hello.sender.incarnation,
             "same_agent", same_agent, "requested", hello.requested, "outstanding",
             reply.outstanding->size());
}

void fleet_entry::routes_received(session& from, const fleet_frame& frame) {
  from.routes_version = frame.routes_version;
  if (!frame.routes.empty() && frame.routes_version > routes_.version) {
    log_.write("routes_from_peer", "peer", from.peer.name, "version", frame.routes_version,
               "previous", routes_.version);
    on_routes_({frame.routes_version, frame.routes});
  }
  if (frame.routes_wanted && frame.routes_version < routes_.version) {
    fleet_frame update;
    update.routes_version = routes_.version;
    update.routes = routes_.text;
    // The receiver serves with these routes at once.
    update.evacuations = evacuations_for(false);
    send(from, update);
  }
}

void fleet_entry::frame_received(const std::shared_ptr<session>& from, std::string_view bytes) {
  auto frame = decode_frame(bytes);
  if (!frame.ok()) {
    refuse_frame(from, std::string(frame.status().message()));
    return;
  }
  try {
    apply_frame(from, *frame);
  } catch (const std::exception& error) {
    // The next session of the peer reconciles what this frame has left undone.
    refuse_frame(from, error.what());
  }
}

void fleet_entry::refuse_frame(const std::shared_ptr<session>& from, const std::string& cause) {
  log_.write("frame_refused", "peer", from->peer.name, "cause", cause);
  metrics_.add("parsleylead_frames_refused_total", {});
  from->link->close();
  session_closed(from, "malformed frame");
}

void fleet_entry::apply_frame(const std::shared_ptr<session>& from, fleet_frame& frame) {
  const auto now = lease_now();
  from->newest_sent = std::max(from->newest_sent, frame.sent);
  if (frame.hello) {
    hello_received(from, *frame.hello);
  }
  if (!from->established) {
    return;
  }
  if (frame.evacuations) {
    evacuations_changed(evacuations_.merge(*frame.evacuations), !from->is_agent, from->peer.name);
  }
  if (!from->is_agent) {
    add_members(frame.members);
    routes_received(*from, frame);
    waiting_counts_.learn(frame.waiting_durable_jobs, from->waiting_jobs_known);
    for (auto& request : frame.worker_requests) {
      worker_requested(from, std::move(request), now);
    }
    return;
  }
  if (frame.status) {
    scheduler_.worker_reported(from->worker, *frame.status, now);
  }
  for (const auto& claim : frame.claims) {
    if (durable_) {
      durable_->claim_seen(claim, now);
    }
  }
  for (const auto& end : frame.ends) {
    run_ended(*from, end, now);
  }
  for (const auto& slow : frame.slow_runs) {
    scheduler_.run_is_slow(from->worker, slow, now);
  }
  for (const auto& crash : frame.crashes) {
    metrics_.add("parsleylead_entry_worker_crashes_total",
                 {{"isolated", crash.isolated ? "true" : "false"}});
    scheduler_.worker_crashed(crash, now);
  }
  flush_soon_();
}

void fleet_entry::run_ended(session& from, const run_end& end, monotonic_time now) {
  const bool current = scheduler_.run_ended(from.worker, end, now);
  if (end.held && durable_) {
    durable_->run_ended(from.worker, end, current, now);
  } else if (end.worker_crashed && durable_) {
    durable_->crash_reported(from.worker, end.run, current, now);
  }
}

fleet_entry::caller_id fleet_entry::submit(fleet_job job, result_handler done) {
  const auto id = job.id;
  const auto caller = next_caller_id_++;
  if (scheduler_.is_open(id) && !has_callers(id)) {
    // A durable job has this id. If the caller were added to it, the job would be cancelled when
    // the caller disconnects.
    log_.write("job_id_in_use", "job", format_job(id));
    job_result rejected;
    rejected.id = id;
    rejected.verdict = job_verdict::unknown;
    asio::post(io_, [done = std::move(done), rejected] { done(rejected); });
    return caller;
  }
  auto& callers = callers_[id];
  callers.emplace(caller, std::move(done));
  if (scheduler_.is_open(id)) {
    log_.write("job_joined", "job", format_job(id), "callers", callers.size());
    return caller;
  }
  scheduler_.submit(std::move(job), lease_now());
  flush_soon_();
  return caller;
}

void fleet_entry::remove_caller(std::uint64_t id, caller_id caller) {
  const auto found = callers_.find(id);
  if (found == callers_.end() || found->second.erase(caller) == 0 || !found->second.empty()) {
    return;
  }
  log_.write("job_abandoned", "job", format_job(id));
  metrics_.add("parsleylead_entry_jobs_total", {{"verdict", "abandoned"}, {"cause", "none"}});
  callers_.erase(found);
  scheduler_.cancel(id, lease_now());
  flush_soon_();
}

bool fleet_entry::cancel(std::uint64_t id) {
  if (!has_callers(id)) {
    return false;
  }
  scheduler_.cancel(id, lease_now());
  job_result result;
  result.id = id;
  result.verdict = job_verdict::cancelled;
  answer_callers(result);
  flush_soon_();
  return true;
}

void fleet_entry::end_open_jobs(job_cause cause) {
  scheduler_.end_open_jobs(cause, lease_now());
  flush(); // The process may exit next, so stops and answers are sent at once.
}

void fleet_entry::flush() {
  const auto now = lease_now();
  if (durable_) {
    durable_->check_lease(now);
  }
  scheduler_.place_waiting(now);
  request_workers(now);
  for (auto& [index, order] : scheduler_.take_starts()) {
    if (const auto found = agents_.find(index); found != agents_.end()) {
      auto& out = found->second->outgoing;
      out.starts.push_back(std::move(order));
      out.worker_incarnation = scheduler_.incarnation_of(index);
    }
  }
  for (const auto& [index, run, report_end] : scheduler_.take_stops()) {
    const auto found = agents_.find(index);
    if (found != agents_.end()) {
      auto& out = found->second->outgoing;
      (report_end ? out.moves : out.stops).push_back(run);
    }
  }
  for (const auto& [index, agent] : agents_) {
    if (!agent->outgoing.empty()) {
      agent->outgoing.routes_version = routes_.version;
      send(*agent, std::exchange(agent->outgoing, {}));
    }
  }
  for (const auto& lost : scheduler_.take_given_up_runs()) {
    log_.write("run_given_up", "run", format_run(lost.run), "agent", lost.agent, "cause",
               to_string(lost.cause), "worker_crashed", lost.worker_crashed);
    metrics_.add("parsleylead_entry_runs_given_up_total", {{"cause", to_string(lost.cause)}});
  }
  for (const auto& lost : scheduler_.take_lost_runs()) {
    durable_->run_lost(lost, now); // Only durable jobs report lost runs.
  }
  for (const auto& result : scheduler_.take_results()) {
    answer_callers(result);
  }
}

void fleet_entry::answer_callers(const job_result& result) {
  log_.write("job_ended", "job", format_job(result.id), "verdict", to_string(result.verdict),
             "cause", to_string(result.cause), "ms", result.elapsed.count(), "objective_ms",
             result.objective.count(), "priority", result.priority, "work_cpu_ms",
             std::llround(result.work_cpu_ms), "expected_wait_ms", result.expected_wait.count(),
             "slack_ms", result.slack.count(), "tasks", result.tasks, "starts", result.starts,
             "failed_runs", result.failed_runs, "lost_runs", result.lost_runs, "crashed_runs",
             result.crashed_runs, "moved_runs", result.moved_runs, "longest_wait_ms",
             result.longest_wait.count(), "last_worker", result.last_worker, "routes_version",
             routes_.version);
  metrics_.add("parsleylead_entry_jobs_total",
               {{"verdict", to_string(result.verdict)}, {"cause", to_string(result.cause)}});
  metrics_.observe("parsleylead_entry_job_seconds", {{"verdict", to_string(result.verdict)}},
                   result.elapsed);
  const auto found = callers_.find(result.id);
  if (found == callers_.end()) {
    if (durable_) {
      durable_->job_ended(result, lease_now()); // Durable jobs have no callers.
    }
    return;
  }
  const auto callers = std::move(found->second);
  callers_.erase(found);
  for (const auto& [caller, done] : callers) {
    done(result);
  }
}

} // namespace parsleylead

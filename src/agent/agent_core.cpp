#include "agent_core.hpp"

#include <spdlog/logger.h>

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "parsleylead/transport/rpc_connection.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds tick_interval{50};
// A longer gap between two ticks counts as a pause of the process.
constexpr milliseconds pause_threshold{250};
constexpr milliseconds expiry_interval{1000};
constexpr milliseconds announce_timeout{500};
// Credits of an unanswered recall count as returned. If the entry spends one later, its dispatch is
// refused with no_free_slot and it places the task again.
constexpr milliseconds recall_timeout{1000};
// Entries probe idle sessions every 30 s, so three were missed.
constexpr milliseconds session_silence_limit{90'000};
// The HTTP client's read timeout usually ends the call first. It restarts with each byte received,
// so this one ends calls whose answer arrives slowly.
constexpr milliseconds deadline_grace{20};
// How long a drain waits for entries without a session. Entries try to resume a session for 3 s.
constexpr milliseconds drain_resume_timeout{5000};
constexpr milliseconds leaving_interval{200};
// A session that does not answer `leaving` for this long is closed, so that an unresponsive
// connection doesn't delay the shutdown. Longer than a reply takes over a slow network path.
constexpr milliseconds leaving_timeout{1000};
// Time to deliver outcomes to the entries after running tasks were aborted.
constexpr milliseconds outcome_flush_time{300};

wire::TaskState wire_state(task_end end) {
  switch (end) {
  case task_end::finished:
    return wire::TaskState::FINISHED;
  case task_end::failed:
    return wire::TaskState::FAILED;
  case task_end::not_run:
    return wire::TaskState::NOT_RUN;
  }
  return wire::TaskState::UNKNOWN;
}

// Whether a text received from an entry may be sent as an HTTP header value.
bool is_header_value(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char character) {
    return character >= 0x20 && character != 0x7f;
  });
}

} // namespace

class agent_core::error_handler : public kj::TaskSet::ErrorHandler {
public:
  explicit error_handler(std::shared_ptr<spdlog::logger> log) : log_(std::move(log)) {}

  void taskFailed(kj::Exception&& exception) override {
    log_->debug("RPC call to an entry failed: {}", exception.getDescription().cStr());
  }

private:
  std::shared_ptr<spdlog::logger> log_;
};

agent_core::agent_core(rpc_loop& loop, const agent_settings& settings, std::uint64_t incarnation,
                       endpoint operations_address, std::shared_ptr<spdlog::logger> log,
                       std::function<void()> on_drained)
    : loop_(loop), settings_(settings), log_(std::move(log)), incarnation_(incarnation),
      operations_address_(std::move(operations_address)), on_drained_(std::move(on_drained)),
      commit_table_(incarnation, commit_table_limits{.state_retention = settings.state_retention}),
      announce_schedule_(settings.announce_interval, settings.max_announce_interval),
      spans_(settings.traces.path, settings.name), error_handler_(kj::heap<error_handler>(log_)),
      background_(kj::heap<kj::TaskSet>(*error_handler_)) {
  for (const auto& seed : settings_.seeds) {
    announce_schedule_.add_seed(seed);
  }
  const upstream_caller_limits limits{settings_.upstream.connect_timeout,
                                      settings_.upstream.max_answer_bytes};
  upstream_caller_ = std::make_unique<upstream_caller>(
      limits, [this, alive = alive_flag_, &io = loop_.io()](std::uint64_t ticket,
                                                            upstream_outcome outcome) {
        asio::post(io, [this, alive, ticket, outcome = std::move(outcome)]() mutable {
          if (*alive) {
            end_call(ticket, std::move(outcome));
          }
        });
      });
  last_tick_ = steady_clock::now();
  background_->add(tick_forever());
}

agent_core::~agent_core() {
  *alive_flag_ = false;
}

// Sessions

session_answer agent_core::open_session(const session_request& request,
                                        wire::SessionReceiver::Client receiver) {
  const auto now = steady_clock::now();
  ++account_.messages;
  session_answer answer;
  const auto opening = commit_table_.open_session(request.key, request.previous_agent,
                                                  request.outstanding, request.acknowledged, now);
  if (!opening.accepted) {
    ++account_.sessions_refused;
    answer.refusal = {opening.refusal, step::resume, settings_.name,
                      "a session with a higher counter was opened before"};
    log_->info("session of entry {} refused: {}", request.key.entry.name,
               to_string(answer.refusal));
    return answer;
  }
  ++account_.sessions_opened;
  reject_waiting_calls(request.key.entry);
  refuse_sealed_tasks(request.key.entry, opening.sealed);
  if (auto* earlier = session_of(request.key.entry); earlier != nullptr) {
    close_session(*earlier, "replaced by a later session");
  }
  if (request.entry_address.has_value()) {
    announce_schedule_.add(*request.entry_address);
    unresponsive_entries_.erase(*request.entry_address);
  }
  answer.session = next_session_++;
  sessions_.emplace(answer.session, open_session_state{answer.session,
                                                       request.key,
                                                       request.entry_address,
                                                       kj::mv(receiver),
                                                       now,
                                                       false,
                                                       {},
                                                       false});
  const auto actions = slot_ledger_.open(answer.session, expected_sessions());
  answer.credits = actions.reply_credits;
  for (const auto& task : opening.tasks) {
    auto reply = reply_for(request.key.entry, task.sequence);
    if (task.state == resume_state::sealed) {
      reply.state = wire::TaskState::NOT_RUN;
      reply.outcome.error = {reason::sealed, step::resume, settings_.name,
                             "the dispatch had not started and never will"};
    }
    answer.resumed.push_back(std::move(reply));
  }
  log_->info("session {} of entry {} opened, outstanding dispatches: {}", request.key.counter,
             request.key.entry.name, request.outstanding.size());
  return answer;
}

void agent_core::release_session(session_id session) {
  auto* state = find_session(session);
  if (state == nullptr) {
    return;
  }
  ++account_.sessions_lost;
  const auto key = state->key;
  const auto address = state->address;
  const auto dropped = commit_table_.disconnect_session(key, steady_clock::now());
  refuse_sealed_tasks(key.entry, dropped);
  close_session(*state, "connection closed or silent");
  if (address.has_value()) {
    announce_schedule_.reset(*address);
  }
}

agent_core::open_session_state* agent_core::find_session(session_id session) {
  const auto position = sessions_.find(session);
  return position == sessions_.end() ? nullptr : &position->second;
}

agent_core::open_session_state* agent_core::session_of(const entry_key& entry) {
  for (auto& [id, session] : sessions_) {
    if (session.key.entry == entry) {
      return &session;
    }
  }
  return nullptr;
}

void agent_core::close_session(open_session_state& session, const char* cause) {
  log_->info("session {} of entry {} closed: {}", session.key.counter, session.key.entry.name,
             cause);
  const auto id = session.id;
  sessions_.erase(id);
  apply(slot_ledger_.close(id));
}

// Fails the pending calls of earlier sessions; the entry collects the outcomes in its new session.
void agent_core::reject_waiting_calls(const entry_key& entry) {
  for (auto& [ticket, task] : tasks_) {
    if (task.session.entry != entry) {
      continue;
    }
    for (auto& fulfiller : task.fulfillers) {
      fulfiller->reject(KJ_EXCEPTION(DISCONNECTED, "stale_session: a later session was opened"));
    }
    task.fulfillers.clear();
  }
}

void agent_core::refuse_sealed_tasks(const entry_key& entry,
                                     const std::vector<std::uint64_t>& sequences) {
  for (const auto sequence : sequences) {
    const auto position = tickets_.find({entry, sequence});
    if (position != tickets_.end()) {
      const auto ticket = position->second;
      slot_ledger_.remove_queued(ticket);
      refuse_task(ticket, reason::stale_session, "the session ended before the task started");
    }
  }
}

// Dispatches

kj::Promise<dispatch_reply> agent_core::dispatch(session_id session, received_dispatch request) {
  ++account_.dispatches;
  ++account_.messages;
  auto* state = find_session(session);
  if (state == nullptr || !commit_table_.is_current(state->key)) {
    return refuse(session, request, reason::stale_session, "a later session was opened");
  }
  state->last_received = steady_clock::now();
  request.budget -= pause_length(state->last_received);
  if (auto refusal = check_dispatch(session, request); refusal.has_value()) {
    return std::move(*refusal);
  }
  const auto key = state->key;
  const auto sequence = request.sequence;
  if (const auto cause = commit_table_.accept(key, sequence); cause != reason::none) {
    return refuse(session, request, cause, "the sequence number cannot be used");
  }
  const auto trace = trace_context::continue_from(request.call.traceparent);
  if (spans_.enabled() || !request.call.traceparent.empty()) {
    request.call.traceparent = trace.traceparent();
  }
  const auto ticket = next_ticket_++;
  slot_actions actions;
  const auto result =
      slot_ledger_.dispatch(session, ticket, request.demand, request.queue_if_busy, actions);
  if (result == slot_result::no_free_slot) {
    commit_table_.cancel(key, sequence);
    apply(actions);
    return refuse(session, request, reason::no_free_slot, "all slots are in use or granted");
  }
  auto pending = kj::newPromiseAndFulfiller<dispatch_reply>();
  task_state task{key, sequence, std::move(request.call), trace, {}, false, reason::none, {}};
  task.call.ticket = ticket;
  task.call.deadline = steady_clock::now() + request.budget;
  task.fulfillers.push_back(kj::mv(pending.fulfiller));
  tasks_.emplace(ticket, std::move(task));
  tickets_.emplace(task_key{key.entry, sequence}, ticket);
  if (result == slot_result::slot_taken) {
    start_task(ticket);
  }
  apply(actions);
  return kj::mv(pending.promise);
}

std::optional<dispatch_reply> agent_core::check_dispatch(session_id session,
                                                         const received_dispatch& request) {
  const auto& call = request.call;
  if (!is_header_value(call.submission) || !is_header_value(call.traceparent)) {
    return refuse(session, request, reason::malformed_request, "control characters in a header");
  }
  if (draining_) {
    return refuse(session, request, reason::agent_leaving, "the agent is stopping");
  }
  if (!upstream_present(steady_clock::now())) {
    return refuse(session, request, reason::upstream_absent, "no upstream is announced");
  }
  if (!serves(call.kind)) {
    return refuse(session, request, reason::kind_not_served,
                  "the upstream does not serve " + call.kind);
  }
  if (request.revision < revisions_[call.kind]) {
    auto reply = refuse(session, request, reason::stale_revision, "a newer revision is known");
    reply.newer_revision = revisions_[call.kind];
    return reply;
  }
  revisions_[call.kind] = request.revision;
  if (request.budget <= milliseconds::zero()) {
    return refuse(session, request, reason::budget_exhausted, "no time is left for the task");
  }
  return std::nullopt;
}

dispatch_reply agent_core::refuse(session_id session, const received_dispatch& request,
                                  reason cause, std::string detail) {
  ++account_.refused[cause];
  if (auto* state = find_session(session); state != nullptr) {
    ++state->refusals;
    state->leaving_acknowledged = false;
  }
  dispatch_reply reply;
  reply.sequence = request.sequence;
  reply.state = wire::TaskState::NOT_RUN;
  reply.outcome.error = {cause, step::dispatch, settings_.name, std::move(detail)};
  if (cause != reason::no_free_slot) {
    reply.credits = slot_ledger_.refundable_credits(session);
  }
  log_->info("dispatch of submission {} task {} refused: {}", request.call.submission,
             request.call.task, to_string(reply.outcome.error));
  return reply;
}

kj::Promise<dispatch_reply> agent_core::collect(session_id session, std::uint64_t sequence) {
  auto* state = find_session(session);
  if (state == nullptr || !commit_table_.is_current(state->key)) {
    return KJ_EXCEPTION(DISCONNECTED, "stale_session: a later session was opened");
  }
  ++account_.messages;
  state->last_received = steady_clock::now();
  const auto position = tickets_.find({state->key.entry, sequence});
  if (position != tickets_.end()) {
    auto pending = kj::newPromiseAndFulfiller<dispatch_reply>();
    tasks_.at(position->second).fulfillers.push_back(kj::mv(pending.fulfiller));
    return kj::mv(pending.promise);
  }
  return reply_for(state->key.entry, sequence);
}

// The state of a dispatch, for an entry that resumes or collects it.
dispatch_reply agent_core::reply_for(const entry_key& entry, std::uint64_t sequence) {
  dispatch_reply reply;
  reply.sequence = sequence;
  if (commit_table_.is_running(entry, sequence)) {
    reply.state = wire::TaskState::RUNNING;
    return reply;
  }
  const auto* outcome = commit_table_.outcome(entry, sequence);
  if (outcome == nullptr) {
    reply.outcome.error = {reason::agent_restarted, step::resume, settings_.name,
                           "the agent knows nothing of the dispatch"};
    return reply;
  }
  reply.outcome = *outcome;
  reply.state = wire_state(outcome->end);
  if (commit_table_.mark_sent(entry, sequence)) {
    ++account_.duplicate_results;
  }
  return reply;
}

bool agent_core::start_task(std::uint64_t ticket) {
  auto& task = tasks_.at(ticket);
  const auto now = steady_clock::now();
  if (upstream_present(now) &&
      commit_table_.start(task.session, task.sequence, now, task.call.deadline)) {
    ++account_.starts;
    task.started = true;
    task.started_at = std::chrono::system_clock::now();
    task.call.upstream = upstream_->address;
    // Only the copy that is sent needs the payload; it can be large.
    auto call = task.call;
    task.call.payload.clear();
    upstream_caller_->submit(std::move(call));
    return true;
  }
  const auto* session = session_of(task.session.entry);
  const auto actions = slot_ledger_.end_task(session == nullptr ? 0 : session->id);
  const auto cause = now >= task.call.deadline ? reason::budget_exhausted : reason::upstream_absent;
  refuse_task(ticket, cause, "the task could not start any more", actions.reply_credits);
  apply(actions);
  return false;
}

void agent_core::end_call(std::uint64_t ticket, upstream_outcome outcome) {
  auto node = tasks_.extract(ticket);
  if (node.empty()) {
    return;
  }
  auto& task = node.mapped();
  const auto& entry = task.session.entry;
  tickets_.erase({entry, task.sequence});
  count_outcome(outcome);
  metrics_.observe("parsleylead_agent_call_seconds", {{"kind", task.call.kind}}, outcome.run_time);
  write_span(task, outcome);
  if (outcome.end != task_end::finished) {
    log_->info("submission {} task {} {}: {}", task.call.submission, task.call.task,
               outcome.end == task_end::failed ? "failed" : "not run", to_string(outcome.error));
  }
  commit_table_.finish(entry, task.sequence, std::move(outcome));
  const auto* session = session_of(entry);
  const auto actions = slot_ledger_.end_task(session == nullptr ? 0 : session->id);
  auto credits = actions.reply_credits;
  for (auto& fulfiller : task.fulfillers) {
    if (fulfiller->isWaiting()) {
      auto reply = reply_for(entry, task.sequence);
      reply.credits = std::exchange(credits, 0);
      fulfiller->fulfill(kj::mv(reply));
    }
  }
  if (credits > 0 && session != nullptr) {
    send_grant(session->id, credits);
  }
  apply(actions);
}

void agent_core::write_span(const task_state& task, const upstream_outcome& outcome) {
  if (!spans_.enabled()) {
    return;
  }
  span call{task.trace,
            "upstream call",
            span_kind::client,
            task.started_at,
            std::chrono::system_clock::now(),
            {},
            {}};
  call.attributes = {{"kind", task.call.kind},
                     {"submission", task.call.submission},
                     {"task", std::to_string(task.call.task)},
                     {"upstream", to_string(task.call.upstream)}};
  if (outcome.end != task_end::finished) {
    call.error = to_string(outcome.error.cause);
  }
  spans_.write(std::move(call));
}

void agent_core::count_outcome(const upstream_outcome& outcome) {
  switch (outcome.end) {
  case task_end::finished:
    ++account_.finished;
    break;
  case task_end::failed:
    ++account_.failed[outcome.error.cause];
    break;
  case task_end::not_run:
    ++account_.not_run[outcome.error.cause];
    break;
  }
}

// Replies "not run" to an accepted task that has not started.
void agent_core::refuse_task(std::uint64_t ticket, reason cause, std::string detail,
                             std::uint32_t credits) {
  auto node = tasks_.extract(ticket);
  auto& task = node.mapped();
  tickets_.erase({task.session.entry, task.sequence});
  commit_table_.cancel(task.session, task.sequence);
  ++account_.refused[cause];
  dispatch_reply reply;
  reply.sequence = task.sequence;
  reply.state = wire::TaskState::NOT_RUN;
  reply.outcome.error = {cause, step::start, settings_.name, std::move(detail)};
  log_->info("submission {} task {} not run: {}", task.call.submission, task.call.task,
             to_string(reply.outcome.error));
  for (auto& fulfiller : task.fulfillers) {
    auto copy = reply;
    copy.credits = std::exchange(credits, 0);
    fulfiller->fulfill(kj::mv(copy));
  }
}

void agent_core::refuse_unstarted_tasks(
    reason cause, const std::string& detail,
    const std::function<bool(const std::string& kind)>& is_refused) {
  std::vector<std::uint64_t> waiting;
  for (const auto& [ticket, task] : tasks_) {
    if (!task.started && is_refused(task.call.kind)) {
      waiting.push_back(ticket);
    }
  }
  for (const auto ticket : waiting) {
    slot_ledger_.remove_queued(ticket);
    refuse_task(ticket, cause, detail);
  }
}

bool agent_core::serves(const std::string& kind) const {
  return std::binary_search(upstream_->kinds.begin(), upstream_->kinds.end(), kind);
}

void agent_core::refuse_unserved_tasks() {
  refuse_unstarted_tasks(reason::kind_not_served, "the upstream no longer serves the kind",
                         [this](const std::string& kind) { return !serves(kind); });
}

void agent_core::cancel(session_id session, const std::vector<std::uint64_t>& sequences) {
  auto* state = find_session(session);
  if (state == nullptr) {
    return;
  }
  ++account_.messages;
  state->last_received = steady_clock::now();
  const auto key = state->key;
  for (const auto sequence : sequences) {
    const auto result = commit_table_.cancel(key, sequence);
    const auto position = tickets_.find({key.entry, sequence});
    if (position == tickets_.end()) {
      continue;
    }
    const auto ticket = position->second;
    if (result == cancel_result::sealed) {
      slot_ledger_.remove_queued(ticket);
      refuse_task(ticket, reason::cancelled, "cancelled before the start");
    } else if (result == cancel_result::running) {
      tasks_.at(ticket).abort_cause = reason::cancelled;
      upstream_caller_->abort(ticket, reason::cancelled);
    }
  }
}

void agent_core::acknowledge(session_id session, const std::vector<std::uint64_t>& sequences) {
  const auto* state = find_session(session);
  if (state != nullptr && !sequences.empty()) {
    commit_table_.acknowledge(state->key.entry, sequences);
  }
}

// Credits

std::uint32_t agent_core::request_credits(session_id session, slot_demand demand) {
  auto* state = find_session(session);
  if (state == nullptr) {
    return 0;
  }
  state->last_received = steady_clock::now();
  ++account_.wants;
  ++account_.messages;
  const auto actions = slot_ledger_.request_credits(session, demand);
  if (actions.reply_credits == 0) {
    ++account_.wants_without_grant;
  }
  apply(actions);
  return actions.reply_credits;
}

void agent_core::return_credits(session_id session, std::uint32_t credits) {
  auto* state = find_session(session);
  if (state == nullptr) {
    return;
  }
  state->last_received = steady_clock::now();
  ++account_.messages;
  account_.credits_returned += credits;
  apply(slot_ledger_.return_credits(session, credits));
}

void agent_core::apply(const slot_actions& actions) {
  for (const auto& change : actions.grants) {
    send_grant(change.session, change.credits);
  }
  for (const auto& change : actions.recalls) {
    send_recall(change.session, change.credits);
  }
  for (const auto ticket : actions.starts) {
    if (tasks_.contains(ticket)) {
      start_task(ticket);
    }
  }
}

void agent_core::send_grant(session_id session, std::uint32_t credits) {
  auto* state = find_session(session);
  if (state == nullptr) {
    return;
  }
  ++account_.grants;
  ++account_.messages;
  auto request = state->receiver.grantRequest();
  request.setCredits(credits);
  background_->add(request.send().ignoreResult());
}

void agent_core::send_recall(session_id session, std::uint32_t credits) {
  auto* state = find_session(session);
  if (state == nullptr) {
    return;
  }
  ++account_.recalls;
  ++account_.messages;
  auto request = state->receiver.recallRequest();
  request.setCredits(credits);
  auto returned = request.send().then([](auto&& response) { return response.getReturned(); });
  background_->add(loop_.with_timeout(kj::mv(returned), recall_timeout)
                       .then(
                           [this, session, credits](std::uint32_t count) {
                             account_.credits_returned += count;
                             apply(slot_ledger_.on_recall_answer(session, credits, count));
                           },
                           [this, session, credits](kj::Exception&& /*error*/) {
                             ++account_.recalls_unanswered;
                             apply(slot_ledger_.on_recall_answer(session, credits, credits));
                           }));
}

void agent_core::set_revision(const std::string& kind, std::uint64_t revision) {
  auto& known = revisions_[kind];
  known = std::max(known, revision);
}

void agent_core::probe(session_id session) {
  ++account_.probes;
  ++account_.messages;
  if (auto* state = find_session(session); state != nullptr) {
    state->last_received = steady_clock::now();
  }
}

// The upstream

void agent_core::on_announcement(upstream_announcement announcement) {
  announced_at_ = steady_clock::now();
  if (draining_ || upstream_ == announcement) {
    return;
  }
  const bool replaced = upstream_.has_value() && (upstream_->name != announcement.name ||
                                                  upstream_->address != announcement.address);
  if (replaced) {
    set_upstream_absent("a different upstream announced itself");
  }
  log_->info("upstream {} at {} announced, slots: {}", announcement.name,
             to_string(announcement.address), announcement.usable_slots());
  upstream_ = std::move(announcement);
  refuse_unserved_tasks();
  send_update();
  apply(slot_ledger_.resize(upstream_->usable_slots(), expected_sessions()));
}

void agent_core::on_upstream_left() {
  if (upstream_.has_value()) {
    set_upstream_absent("it withdrew its announcement");
  }
}

// Each start checks the lease itself, because the tick that detects its expiry can be late.
bool agent_core::upstream_present(monotonic_time now) const {
  return upstream_.has_value() && now - announced_at_ <= settings_.upstream.lease;
}

void agent_core::set_upstream_absent(const char* cause) {
  log_->info("upstream {} is absent: {}", upstream_->name, cause);
  upstream_.reset();
  apply(slot_ledger_.resize(0, expected_sessions()));
  refuse_unstarted_tasks(reason::upstream_absent, "the upstream left before the task started");
  send_leaving();
}

void agent_core::send_leaving() {
  for (auto& [id, session] : sessions_) {
    send_leaving_to(session);
  }
}

// A connection preserves message order, so the reply proves that the entry has received every
// message sent before the call.
void agent_core::send_leaving_to(open_session_state& session) {
  const bool all_ended = tasks_.empty();
  const auto refusals = session.refusals;
  auto request = session.receiver.leavingRequest();
  write_agent_info(request.initAgent());
  if (!session.leaving_sent) {
    session.leaving_sent_at = steady_clock::now();
  }
  session.leaving_sent = true;
  ++account_.messages;
  background_->add(request.send().then(
      [this, id = session.id, all_ended, refusals](auto&& /*response*/) {
        auto* state = find_session(id);
        if (state == nullptr) {
          return;
        }
        state->leaving_sent = false;
        // Refusals sent after this call may not have arrived yet; a later call confirms them.
        state->leaving_acknowledged = draining_ && state->refusals == refusals;
        if (all_ended && draining_) {
          commit_table_.acknowledge_all(state->key.entry);
        }
      },
      [this, id = session.id](kj::Exception&& /*error*/) {
        if (auto* state = find_session(id); state != nullptr) {
          state->leaving_sent = false;
        }
      }));
}

void agent_core::send_update() {
  for (auto& [id, session] : sessions_) {
    auto request = session.receiver.updateRequest();
    write_agent_info(request.initAgent());
    ++account_.messages;
    background_->add(request.send().ignoreResult());
  }
}

// Announcements

void agent_core::announce_due(monotonic_time now) {
  std::set<endpoint> connected;
  for (const auto& [id, session] : sessions_) {
    if (session.address.has_value()) {
      connected.insert(*session.address);
    }
  }
  for (const auto& address : announce_schedule_.due(connected, now)) {
    ++account_.announces;
    ++account_.messages;
    background_->add(announce_to(address));
  }
}

kj::Promise<void> agent_core::announce_to(const endpoint& address) {
  return connect(loop_, address, announce_timeout)
      .then([this](kj::Own<rpc_connection> connection) {
        auto request = connection->bootstrap().castAs<wire::EntryPort>().announceRequest();
        write_agent_info(request.initAgent());
        request.setProtocolVersion(wire::PROTOCOL_VERSION);
        auto call = request.send().then([this](auto&& response) {
          for (const auto entry : response.getEntries()) {
            const auto known = parse_endpoint(entry.getAddress().cStr());
            if (known.ok() && !entry.getLeaving()) {
              announce_schedule_.add(*known);
            }
          }
        });
        return loop_.with_timeout(kj::mv(call), announce_timeout).attach(kj::mv(connection));
      })
      .then([this, address] { announce_schedule_.on_announced(address, true); },
            [this, address](kj::Exception&& /*error*/) {
              announce_schedule_.on_announced(address, false);
            });
}

std::size_t agent_core::expected_sessions() const {
  return std::max(announce_schedule_.size(), sessions_.size());
}

// Time

kj::Promise<void> agent_core::tick_forever() {
  return loop_.sleep_for(tick_interval).then([this] {
    tick();
    return tick_forever();
  });
}

void agent_core::tick() {
  const auto now = steady_clock::now();
  detect_pause(now);
  if (upstream_.has_value() && !upstream_present(now)) {
    set_upstream_absent("its announcement expired");
  }
  check_deadlines(now);
  check_sessions(now);
  if (now >= next_expiry_) {
    next_expiry_ = now + expiry_interval;
    account_.expired_results += commit_table_.expire(now);
  }
  if (draining_) {
    check_drain(now);
    return;
  }
  announce_due(now);
}

// How long a dispatch that is read now may have waited in the socket while the process was paused.
milliseconds agent_core::pause_length(monotonic_time now) const {
  const auto gap = now - last_tick_;
  const auto pause = std::max(last_pause_, gap > pause_threshold ? gap : steady_clock::duration{0});
  return std::chrono::ceil<milliseconds>(pause);
}

void agent_core::detect_pause(monotonic_time now) {
  const auto gap = now - last_tick_;
  last_pause_ = gap > pause_threshold ? gap : steady_clock::duration{0};
  last_tick_ = now;
}

void agent_core::check_deadlines(monotonic_time now) {
  std::vector<std::uint64_t> overdue;
  for (auto& [ticket, task] : tasks_) {
    if (!task.started) {
      if (now >= task.call.deadline) {
        overdue.push_back(ticket);
      }
      continue;
    }
    if (task.abort_cause == reason::none && now >= task.call.deadline + deadline_grace) {
      task.abort_cause = reason::deadline_exceeded;
    }
    if (task.abort_cause != reason::none) {
      upstream_caller_->abort(ticket, task.abort_cause);
    }
  }
  for (const auto ticket : overdue) {
    slot_ledger_.remove_queued(ticket);
    refuse_task(ticket, reason::budget_exhausted, "the time ran out before a slot was free");
  }
}

void agent_core::check_sessions(monotonic_time now) {
  std::vector<session_id> silent;
  for (const auto& [id, session] : sessions_) {
    if (now - session.last_received > session_silence_limit) {
      silent.push_back(id);
    }
  }
  for (const auto id : silent) {
    release_session(id);
  }
}

// Stop

void agent_core::stop() {
  if (draining_) {
    end_running_tasks();
    return;
  }
  log_->info("graceful shutdown started, open tasks: {}", tasks_.size());
  draining_ = true;
  drain_started_ = steady_clock::now();
  drain_end_ = drain_started_ + settings_.drain_limit;
  apply(slot_ledger_.resize(0, expected_sessions()));
  refuse_unstarted_tasks(reason::agent_leaving, "the agent is stopping");
  next_leaving_ = drain_started_ + leaving_interval;
  send_leaving();
}

void agent_core::drain() {
  if (!draining_) {
    stop();
  }
}

void agent_core::end_running_tasks() {
  if (ended_tasks_early_ || drained_) {
    return;
  }
  log_->warn("aborting running tasks: {}", tasks_.size());
  ended_tasks_early_ = true;
  drain_end_ = steady_clock::now() + outcome_flush_time;
  for (auto& [ticket, task] : tasks_) {
    task.abort_cause = task.abort_cause == reason::none ? reason::agent_leaving : task.abort_cause;
    upstream_caller_->abort(ticket, task.abort_cause);
  }
}

void agent_core::check_drain(monotonic_time now) {
  if (drained_) {
    return;
  }
  if (now >= drain_end_) {
    if (ended_tasks_early_) {
      drained_ = true;
      on_drained_();
      return;
    }
    end_running_tasks();
  }
  if (!tasks_.empty()) {
    return;
  }
  replace_unresponsive_sessions(now);
  // Entries don't resume a session after this time, so outcomes kept for them are dropped.
  account_.expired_results += commit_table_.expire(now, drain_resume_timeout);
  bool waiting = commit_table_.unacknowledged() > 0 ||
                 (!unresponsive_entries_.empty() && now - drain_started_ <= drain_resume_timeout);
  const bool resend = now >= next_leaving_;
  for (auto& [id, session] : sessions_) {
    const bool informed =
        session.leaving_acknowledged || now - drain_started_ > drain_resume_timeout;
    waiting = waiting || !informed;
    const bool undelivered =
        !session.leaving_acknowledged || commit_table_.unacknowledged(session.key.entry) > 0;
    if (undelivered && resend && !session.leaving_sent) {
      send_leaving_to(session);
    }
  }
  if (resend) {
    next_leaving_ = now + leaving_interval;
  }
  if (!waiting) {
    drained_ = true;
    on_drained_();
  }
}

// Closes sessions that don't answer `leaving` and announces the agent to their entries, so that
// they open new ones. An entry doesn't notice that an idle connection is broken; its next dispatch
// would end as unknown after this process has stopped.
void agent_core::replace_unresponsive_sessions(monotonic_time now) {
  std::vector<session_id> unanswered;
  for (const auto& [id, session] : sessions_) {
    if (session.leaving_sent && now - session.leaving_sent_at >= leaving_timeout) {
      unanswered.push_back(id);
      if (session.address.has_value()) {
        unresponsive_entries_.insert(*session.address);
      }
    }
  }
  for (const auto id : unanswered) {
    release_session(id);
  }
  if (now < next_reconnect_request_) {
    return;
  }
  next_reconnect_request_ = now + leaving_timeout;
  for (const auto& address : unresponsive_entries_) {
    ++account_.announces;
    background_->add(announce_to(address));
  }
}

// Descriptions

agent_account agent_core::account() const {
  auto copy = account_;
  copy.open = tasks_.size();
  copy.slots = slot_ledger_.slots();
  copy.running = slot_ledger_.running();
  copy.granted = slot_ledger_.granted();
  copy.queued = slot_ledger_.queued();
  copy.sessions = sessions_.size();
  copy.unacknowledged = commit_table_.unacknowledged();
  return copy;
}

void agent_core::write_agent_info(wire::AgentInfo::Builder target) const {
  auto id = target.initId();
  id.setName(settings_.name);
  id.setIncarnation(incarnation_);
  target.setAddress(to_string(rpc_address_));
  target.setOperationsAddress(to_string(operations_address_));
  target.setAvailabilityZone(settings_.availability_zone);
  target.setLeaving(draining_);
  if (!upstream_.has_value()) {
    return;
  }
  auto upstream = target.initUpstream();
  upstream.setName(upstream_->name);
  auto kinds = upstream.initKinds(static_cast<unsigned>(upstream_->kinds.size()));
  for (unsigned i = 0; i < kinds.size(); ++i) {
    kinds.set(i, upstream_->kinds[i]);
  }
  upstream.setSlots(draining_ ? 0 : upstream_->usable_slots());
  upstream.setCores(upstream_->cores);
  upstream.setMemoryMb(upstream_->memory_mb);
}

} // namespace parsleylead

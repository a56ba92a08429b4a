#include "parsleylead/entry/agent_link.hpp"
#include "parsleylead/transport/ignore_task_errors.hpp"

#include <utility>

namespace parsleylead {
namespace {

// For this time after a session was opened, announcements are ignored: the agent may have sent them
// before it saw the session.
constexpr std::chrono::milliseconds announcement_ignore_time{1000};

monotonic_time now_on_loop() {
  return std::chrono::steady_clock::now();
}

std::string to_string(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

failure to_failure(wire::Failure::Reader value) {
  return {reason_from_wire(value.getReason()), step_from_wire(value.getStep()),
          to_string(value.getPeer()), to_string(value.getDetail())};
}

agent_description to_description(wire::AgentInfo::Reader info) {
  agent_description agent;
  agent.name = to_string(info.getId().getName());
  agent.availability_zone = to_string(info.getAvailabilityZone());
  const auto upstream = info.getUpstream();
  for (const auto kind : upstream.getKinds()) {
    agent.kinds.insert(to_string(kind));
  }
  agent.slots = upstream.getSlots();
  agent.cores = upstream.getCores();
  agent.memory_mb = upstream.getMemoryMb();
  return agent;
}

reported_state to_reported_state(wire::TaskState state) {
  switch (state) {
  case wire::TaskState::FINISHED:
    return reported_state::finished;
  case wire::TaskState::FAILED:
    return reported_state::failed;
  case wire::TaskState::NOT_RUN:
    return reported_state::not_run;
  case wire::TaskState::RUNNING:
    return reported_state::running;
  case wire::TaskState::UNKNOWN:
    break;
  }
  return reported_state::unknown;
}

outcome_state to_outcome_state(wire::TaskState state) {
  switch (state) {
  case wire::TaskState::FINISHED:
    return outcome_state::finished;
  case wire::TaskState::FAILED:
    return outcome_state::failed;
  case wire::TaskState::NOT_RUN:
    return outcome_state::not_run;
  default:
    return outcome_state::unknown;
  }
}

dispatch_outcome to_outcome(wire::TaskResult::Reader result, const std::string& agent) {
  dispatch_outcome outcome;
  outcome.state = to_outcome_state(result.getState());
  if (outcome.state == outcome_state::finished) {
    const auto answer = result.getAnswer();
    outcome.answer.assign(answer.asChars().begin(), answer.size());
  } else {
    outcome.error = to_failure(result.getFailure());
    if (outcome.error.peer.empty()) {
      outcome.error.peer = agent;
    }
  }
  outcome.run_time = std::chrono::microseconds(static_cast<std::int64_t>(result.getRunTimeUs()));
  outcome.newer_revision = result.getNewerRevision();
  return outcome;
}

void fill_revisions(capnp::List<wire::KindRevision>::Builder list,
                    const std::vector<std::pair<std::string, std::uint64_t>>& revisions) {
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setKind(revisions[i].first);
    list[i].setRevision(revisions[i].second);
  }
}

template <class List>
void fill_sequences(List list, const std::vector<std::uint64_t>& sequences) {
  for (unsigned i = 0; i < list.size(); ++i) {
    list.set(i, sequences[i]);
  }
}

} // namespace

// A connection and its session. Destroying it cancels the calls in progress.
struct agent_link::session_connection {
  session_connection(kj::Own<rpc_connection> opened, wire::Session::Client client)
      : connection(kj::mv(opened)), session(kj::mv(client)), tasks(ignore_task_errors()) {}

  kj::Own<rpc_connection> connection;
  wire::Session::Client session;
  kj::TaskSet tasks;
};

// Serves the agent's calls of one session. Calls of a superseded session have no effect.
class agent_link::receiver : public wire::SessionReceiver::Server {
public:
  receiver(std::weak_ptr<agent_link> link, std::uint64_t counter)
      : link_(std::move(link)), counter_(counter) {}

protected:
  kj::Promise<void> grant(GrantContext context) override {
    if (const auto link = current()) {
      link->context_.job_dispatcher.on_credits(link->address_.name, counter_,
                                               context.getParams().getCredits(),
                                               credit_origin::grant, now_on_loop());
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> recall(RecallContext context) override {
    std::uint32_t returned = 0;
    if (const auto link = current()) {
      returned = link->context_.job_dispatcher.on_recall(link->address_.name, counter_,
                                                         context.getParams().getCredits());
    }
    context.getResults().setReturned(returned);
    return kj::READY_NOW;
  }

  kj::Promise<void> leaving(LeavingContext /*context*/) override {
    if (const auto link = current()) {
      link->leaving_ = true;
      link->context_.job_dispatcher.on_agent_leaving(link->address_.name, counter_);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> update(UpdateContext context) override {
    if (const auto link = current()) {
      link->update_agent(context.getParams().getAgent());
    }
    return kj::READY_NOW;
  }

private:
  // Returns the link, or null if the session was superseded. Counts the return of the call and
  // records that the session is alive.
  std::shared_ptr<agent_link> current() {
    auto link = link_.lock();
    if (link == nullptr || !link->is_current(counter_)) {
      return nullptr;
    }
    link->on_frame(now_on_loop());
    link->context_.job_dispatcher.accounts().add_messages();
    return link;
  }

  std::weak_ptr<agent_link> link_;
  std::uint64_t counter_;
};

agent_link::agent_link(link_context& context, agent_address address)
    : context_(context), address_(std::move(address)),
      ledger_(context.settings, context.sequences) {}

agent_link::~agent_link() = default;

void agent_link::on_frame(monotonic_time now) {
  const bool was_open = ledger_.can_dispatch();
  ledger_.on_frame_received(now);
  if (!was_open && ledger_.can_dispatch() && !leaving_) {
    context_.job_dispatcher.on_session_usable(address_.name, now);
  }
}

bool agent_link::is_current(std::uint64_t counter) const {
  return counter == session_counter_;
}

void agent_link::on_announced(const agent_address& address, monotonic_time now) {
  const bool restarted = address.incarnation != address_.incarnation;
  const bool just_opened = is_open() && now - opened_at_ < announcement_ignore_time;
  if (!restarted && (just_opened || ledger_.state() == session_state::resuming)) {
    return;
  }
  address_ = address;
  leaving_ = false;
  if (ledger_.state() != session_state::lost) {
    ledger_.on_disconnected(now);
  }
}

bool agent_link::tick(monotonic_time now) {
  if (never_opened_) {
    never_opened_ = false;
    open(now);
    return true;
  }
  switch (ledger_.next_action(now)) {
  case session_action::none:
    return true;
  case session_action::probe: {
    context_.job_dispatcher.on_session_paused(address_.name);
    auto request = session_->session.probeRequest();
    const auto acknowledged = ledger_.take_acknowledgements();
    fill_sequences(request.initAcknowledged(acknowledged.size()), acknowledged);
    context_.job_dispatcher.accounts().add_messages();
    context_.job_dispatcher.accounts().add_wasted_messages(waste_cause::probe, 2);
    watch_call(request.send().ignoreResult());
    return true;
  }
  case session_action::reopen:
    if (leaving_ && ledger_.outstanding() == 0) {
      break;
    }
    open(now);
    return true;
  case session_action::declare_lost:
    break;
  }
  opening_.reset();
  session_.reset();
  session_counter_ = 0;
  const auto lost = ledger_.mark_lost();
  context_.job_dispatcher.on_agent_lost(address_.name);
  for (const auto& dispatch : lost) {
    dispatch_outcome outcome;
    outcome.error = {reason::agent_lost, step::resume, address_.name,
                     "the agent cannot be reached"};
    report_outcome(dispatch, std::move(outcome));
  }
  return false;
}

void agent_link::open(monotonic_time now) {
  context_.job_dispatcher.on_session_suspended(address_.name);
  session_.reset();
  const auto hello = ledger_.start_session(now);
  session_counter_ = hello.counter;
  auto self = weak_from_this();
  auto fail = [self](const kj::Exception&) {
    if (const auto link = self.lock()) {
      link->ledger_.on_reopen_failed(now_on_loop());
    }
  };
  auto attempt =
      connect(context_.loop, address_.address, context_.settings.connect_timeout)
          .then([self, hello](kj::Own<rpc_connection> connection) -> kj::Promise<void> {
            const auto link = self.lock();
            if (link == nullptr) {
              return kj::READY_NOW;
            }
            auto port = connection->bootstrap().castAs<wire::AgentPort>();
            auto request = port.openSessionRequest();
            auto message = request.initHello();
            message.setProtocolVersion(wire::PROTOCOL_VERSION);
            link->context_.describe_entry(message.initEntry());
            message.setCounter(hello.counter);
            message.setAgentIncarnation(hello.agent_incarnation);
            fill_sequences(message.initOutstanding(hello.outstanding.size()), hello.outstanding);
            fill_sequences(message.initAcknowledged(hello.acknowledged.size()), hello.acknowledged);
            const auto revisions = link->context_.kind_revisions();
            fill_revisions(message.initRevisions(revisions.size()), revisions);
            request.setReceiver(kj::heap<receiver>(self, hello.counter));
            link->context_.job_dispatcher.accounts().add_messages();
            return request.send().then(
                [self, connection = kj::mv(connection), counter = hello.counter](
                    capnp::Response<wire::AgentPort::OpenSessionResults>&& response) mutable {
                  const auto target = self.lock();
                  if (target == nullptr || !target->is_current(counter)) {
                    return;
                  }
                  target->session_ = std::make_unique<session_connection>(kj::mv(connection),
                                                                          response.getSession());
                  target->on_reply(counter, response.getReply(), now_on_loop());
                });
          });
  const auto limit = context_.settings.connect_timeout + context_.settings.probe_timeout;
  opening_ = context_.loop.with_timeout(kj::mv(attempt), limit).eagerlyEvaluate(kj::mv(fail));
}

void agent_link::on_reply(std::uint64_t counter, wire::SessionReply::Reader reply,
                          monotonic_time now) {
  if (!reply.getAccepted()) {
    ledger_.on_reopen_failed(now);
    return;
  }
  std::map<std::uint64_t, wire::TaskResult::Reader> results;
  std::vector<dispatch_report> entries;
  for (const auto result : reply.getResumed()) {
    results.emplace(result.getSequence(), result);
    entries.push_back({result.getSequence(), to_reported_state(result.getState())});
  }
  const auto incarnation = reply.getAgent().getId().getIncarnation();
  const auto outcomes = ledger_.resume(counter, incarnation, entries, now);
  address_.incarnation = incarnation;
  opened_at_ = now;
  auto self = weak_from_this();
  session_->tasks.add(session_->connection->on_disconnect().then([self, counter] {
    const auto link = self.lock();
    if (link != nullptr && link->is_current(counter)) {
      link->ledger_.on_disconnected(now_on_loop());
      link->context_.job_dispatcher.on_session_suspended(link->address_.name);
    }
  }));
  context_.job_dispatcher.on_session_opened(to_description(reply.getAgent()), counter,
                                            reply.getCredits(), now);
  context_.on_session_opened(address_.name);
  for (const auto& outcome : outcomes) {
    const auto sequence = outcome.dispatch.sequence;
    if (outcome.state == reported_state::running) {
      collect_result(sequence);
      continue;
    }
    const auto found = results.find(sequence);
    dispatch_outcome result;
    if (found != results.end() && outcome.state != reported_state::unknown) {
      result = to_outcome(found->second, address_.name);
    } else {
      result.error = {reason::agent_restarted, step::resume, address_.name,
                      "the agent does not know the task"};
    }
    report_outcome(outcome.dispatch, std::move(result));
  }
}

void agent_link::report_outcome(const outstanding_dispatch& dispatch, dispatch_outcome outcome) {
  if (outcome.error.cause == reason::stale_revision) {
    context_.on_stale_revision();
  }
  context_.job_dispatcher.on_outcome(dispatch.submission, dispatch.task, std::move(outcome),
                                     now_on_loop());
}

bool agent_link::dispatch(const task_dispatch& request) {
  if (session_ == nullptr || leaving_) {
    return false;
  }
  const auto sequence = ledger_.dispatch(request.submission, request.task, now_on_loop());
  if (!sequence) {
    return false;
  }
  auto call = session_->session.dispatchRequest();
  auto task = call.initTask();
  task.setSequence(*sequence);
  task.setSubmission(request.submission.to_string());
  task.setTaskIndex(request.task.index);
  task.setKind(request.kind);
  task.setRevision(request.revision);
  task.setBudgetMs(static_cast<std::uint32_t>(request.budget.count()));
  task.setPayload(kj::ArrayPtr<const kj::byte>(
      reinterpret_cast<const kj::byte*>(request.payload->data()), request.payload->size()));
  task.setTraceparent(request.traceparent);
  task.getDemand().setKey(request.waiting.key);
  task.getDemand().setWaiting(request.waiting.waiting);
  task.setQueueIfBusy(request.queue_if_busy);
  const auto acknowledged = ledger_.take_acknowledgements();
  fill_sequences(task.initAcknowledged(acknowledged.size()), acknowledged);
  context_.job_dispatcher.accounts().add_messages();
  auto self = weak_from_this();
  session_->tasks.add(call.send().then(
      [self, sequence = *sequence](capnp::Response<wire::Session::DispatchResults>&& response) {
        if (const auto link = self.lock()) {
          link->on_result(sequence, response.getResult());
        }
      },
      [self, sequence = *sequence](kj::Exception&& error) {
        if (const auto link = self.lock()) {
          link->on_call_failed(sequence, error);
        }
      }));
  return true;
}

void agent_link::collect_result(std::uint64_t sequence) {
  auto call = session_->session.collectRequest();
  call.setSequence(sequence);
  context_.job_dispatcher.accounts().add_messages();
  auto self = weak_from_this();
  session_->tasks.add(call.send().then(
      [self, sequence](capnp::Response<wire::Session::CollectResults>&& response) {
        if (const auto link = self.lock()) {
          link->on_result(sequence, response.getResult());
        }
      },
      [self, sequence](kj::Exception&& error) {
        if (const auto link = self.lock()) {
          link->on_call_failed(sequence, error);
        }
      }));
}

void agent_link::on_result(std::uint64_t sequence, wire::TaskResult::Reader result) {
  const auto now = now_on_loop();
  on_frame(now);
  const auto credits = result.getCredits();
  const auto counter = session_counter_;
  const bool agent_keeps_result = result.getState() == wire::TaskState::FINISHED ||
                                  result.getState() == wire::TaskState::FAILED;
  const auto dispatch = ledger_.finish(sequence, agent_keeps_result);
  // Credits are recorded before the outcome is applied: placing tasks without them would send
  // needless credit requests.
  context_.job_dispatcher.on_credits(address_.name, counter, credits, credit_origin::result, now);
  if (dispatch) {
    context_.job_dispatcher.on_occupancy_report(address_.name, result.getOccupied(), now);
    report_outcome(*dispatch, to_outcome(result, address_.name));
    return;
  }
  context_.job_dispatcher.accounts().add_wasted_messages(waste_cause::duplicate_result);
  context_.job_dispatcher.tick(now);
}

void agent_link::on_call_failed(std::uint64_t sequence, const kj::Exception& error) {
  // The outcome of the task is unknown; resuming the session reports it.
  if (error.getType() == kj::Exception::Type::DISCONNECTED) {
    return;
  }
  const auto dispatch = ledger_.finish(sequence, false);
  if (!dispatch) {
    return;
  }
  dispatch_outcome outcome;
  outcome.error = {reason::protocol_error, step::dispatch, address_.name,
                   std::string(error.getDescription().cStr())};
  report_outcome(*dispatch, std::move(outcome));
}

void agent_link::watch_call(kj::Promise<void> call) {
  auto self = weak_from_this();
  session_->tasks.add(call.then([self] {
    if (const auto link = self.lock()) {
      link->on_frame(now_on_loop());
    }
  }));
}

void agent_link::cancel(const uuid& submission) {
  if (session_ == nullptr) {
    return;
  }
  const auto sequences = ledger_.sequences_of(submission);
  if (sequences.empty()) {
    return;
  }
  auto call = session_->session.cancelRequest();
  fill_sequences(call.initSequences(sequences.size()), sequences);
  const auto acknowledged = ledger_.take_acknowledgements();
  fill_sequences(call.initAcknowledged(acknowledged.size()), acknowledged);
  context_.job_dispatcher.accounts().add_messages();
  watch_call(call.send().ignoreResult());
}

void agent_link::request_credits(const demand& waiting) {
  if (session_ == nullptr) {
    return;
  }
  auto call = session_->session.wantRequest();
  call.getDemand().setKey(waiting.key);
  call.getDemand().setWaiting(waiting.waiting);
  context_.job_dispatcher.accounts().add_messages();
  auto self = weak_from_this();
  session_->tasks.add(call.send().then([self, counter = session_counter_](
                                           capnp::Response<wire::Session::WantResults>&& response) {
    const auto link = self.lock();
    if (link == nullptr) {
      return;
    }
    link->on_frame(now_on_loop());
    link->context_.job_dispatcher.on_credits(link->address_.name, counter, response.getCredits(),
                                             credit_origin::request_reply, now_on_loop());
  }));
}

void agent_link::return_credits(std::uint32_t credits) {
  if (session_ == nullptr) {
    return;
  }
  auto call = session_->session.giveBackRequest();
  call.setCredits(credits);
  context_.job_dispatcher.accounts().add_messages();
  watch_call(call.send().ignoreResult());
}

void agent_link::push_revisions(
    const std::vector<std::pair<std::string, std::uint64_t>>& revisions) {
  if (session_ == nullptr) {
    return;
  }
  auto call = session_->session.revisionsRequest();
  fill_revisions(call.initRevisions(revisions.size()), revisions);
  context_.job_dispatcher.accounts().add_control_messages();
  watch_call(call.send().ignoreResult());
}

void agent_link::drain() {
  if (session_ == nullptr) {
    return;
  }
  context_.job_dispatcher.accounts().add_control_messages();
  watch_call(session_->session.drainRequest().send().ignoreResult());
}

void agent_link::update_agent(wire::AgentInfo::Reader agent) {
  context_.job_dispatcher.on_agent_changed(to_description(agent), now_on_loop());
}

} // namespace parsleylead

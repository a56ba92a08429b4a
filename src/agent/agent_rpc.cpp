#include "agent_rpc.hpp"

#include <utility>

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

std::vector<std::uint64_t> to_vector(capnp::List<std::uint64_t>::Reader list) {
  std::vector<std::uint64_t> result;
  result.reserve(list.size());
  for (const auto number : list) {
    result.push_back(number);
  }
  return result;
}

slot_demand read_demand(wire::Demand::Reader demand) {
  return {demand.getKey(), demand.getWaiting()};
}

void write_failure(const failure& value, wire::Failure::Builder target) {
  target.setReason(static_cast<std::uint16_t>(value.cause));
  target.setStep(static_cast<std::uint16_t>(value.failed_step));
  target.setPeer(value.peer);
  target.setDetail(value.detail);
}

void write_result(const dispatch_reply& reply, std::size_t occupied,
                  wire::TaskResult::Builder target) {
  target.setSequence(reply.sequence);
  target.setState(reply.state);
  const auto& answer = reply.outcome.answer;
  if (!answer.empty()) {
    auto data = target.initAnswer(static_cast<unsigned>(answer.size()));
    std::copy(answer.begin(), answer.end(), data.begin());
  }
  if (reply.outcome.error.cause != reason::none) {
    write_failure(reply.outcome.error, target.initFailure());
  }
  target.setRunTimeUs(static_cast<std::uint64_t>(reply.outcome.run_time.count()));
  target.setCredits(reply.credits);
  target.setNewerRevision(reply.newer_revision);
  target.setOccupied(static_cast<std::uint32_t>(occupied));
}

received_dispatch read_dispatch(wire::Dispatch::Reader task) {
  received_dispatch request;
  request.sequence = task.getSequence();
  request.revision = task.getRevision();
  request.budget = milliseconds(task.getBudgetMs());
  request.demand = read_demand(task.getDemand());
  request.queue_if_busy = task.getQueueIfBusy();
  request.call.submission = task.getSubmission();
  request.call.task = task.getTaskIndex();
  request.call.kind = task.getKind();
  request.call.traceparent = task.getTraceparent();
  const auto payload = task.getPayload();
  request.call.payload.assign(payload.begin(), payload.end());
  return request;
}

session_request read_hello(wire::SessionHello::Reader hello) {
  session_request request;
  const auto entry = hello.getEntry();
  request.key.entry.name = entry.getId().getName();
  request.key.entry.incarnation = entry.getId().getIncarnation();
  request.key.counter = hello.getCounter();
  const auto address = parse_endpoint(entry.getAddress().cStr());
  if (address.ok()) {
    request.entry_address = *address;
  }
  request.previous_agent = hello.getAgentIncarnation();
  request.outstanding = to_vector(hello.getOutstanding());
  request.acknowledged = to_vector(hello.getAcknowledged());
  return request;
}

void read_revisions(agent_core& core, capnp::List<wire::KindRevision>::Reader revisions) {
  for (const auto item : revisions) {
    core.set_revision(item.getKind(), item.getRevision());
  }
}

class session_server : public wire::Session::Server {
public:
  session_server(agent_core& core, session_id session) : core_(core), session_(session) {}
  // Runs when the entry drops its last reference to the session or the connection ends.
  ~session_server() { core_.release_session(session_); }
  session_server(const session_server&) = delete;
  session_server& operator=(const session_server&) = delete;

protected:
  kj::Promise<void> dispatch(DispatchContext context) override {
    const auto task = context.getParams().getTask();
    core_.acknowledge(session_, to_vector(task.getAcknowledged()));
    auto request = read_dispatch(task);
    context.releaseParams();
    // A broken connection cancels the call but not the task, which the entry can resume.
    context.allowCancellation();
    return core_.dispatch(session_, std::move(request))
        .then([this, context](dispatch_reply&& reply) mutable {
          write_result(reply, core_.occupied(), context.getResults().initResult());
        });
  }

  kj::Promise<void> collect(CollectContext context) override {
    context.allowCancellation();
    return core_.collect(session_, context.getParams().getSequence())
        .then([this, context](dispatch_reply&& reply) mutable {
          write_result(reply, core_.occupied(), context.getResults().initResult());
        });
  }

  kj::Promise<void> cancel(CancelContext context) override {
    const auto params = context.getParams();
    core_.acknowledge(session_, to_vector(params.getAcknowledged()));
    core_.cancel(session_, to_vector(params.getSequences()));
    return kj::READY_NOW;
  }

  kj::Promise<void> want(WantContext context) override {
    const auto demand = read_demand(context.getParams().getDemand());
    context.getResults().setCredits(core_.request_credits(session_, demand));
    return kj::READY_NOW;
  }

  kj::Promise<void> giveBack(GiveBackContext context) override {
    core_.return_credits(session_, context.getParams().getCredits());
    return kj::READY_NOW;
  }

  kj::Promise<void> revisions(RevisionsContext context) override {
    read_revisions(core_, context.getParams().getRevisions());
    return kj::READY_NOW;
  }

  kj::Promise<void> probe(ProbeContext context) override {
    core_.acknowledge(session_, to_vector(context.getParams().getAcknowledged()));
    core_.probe(session_);
    return kj::READY_NOW;
  }

  kj::Promise<void> drain(DrainContext /*context*/) override {
    core_.drain();
    return kj::READY_NOW;
  }

private:
  agent_core& core_;
  session_id session_;
};

class agent_port : public wire::AgentPort::Server {
public:
  explicit agent_port(agent_core& core) : core_(core) {}

protected:
  kj::Promise<void> openSession(OpenSessionContext context) override {
    auto params = context.getParams();
    const auto hello = params.getHello();
    auto reply = context.getResults().initReply();
    core_.write_agent_info(reply.initAgent());
    if (hello.getProtocolVersion() != wire::PROTOCOL_VERSION) {
      write_failure({reason::version_mismatch, step::connect, {}, "protocol version 1 is required"},
                    reply.initFailure());
      return kj::READY_NOW;
    }
    read_revisions(core_, hello.getRevisions());
    const auto answer = core_.open_session(read_hello(hello), params.getReceiver());
    if (answer.session == 0) {
      write_failure(answer.refusal, reply.initFailure());
      return kj::READY_NOW;
    }
    reply.setAccepted(true);
    reply.setCredits(answer.credits);
    auto resumed = reply.initResumed(static_cast<unsigned>(answer.resumed.size()));
    for (unsigned i = 0; i < resumed.size(); ++i) {
      write_result(answer.resumed[i], core_.occupied(), resumed[i]);
    }
    context.getResults().setSession(kj::heap<session_server>(core_, answer.session));
    return kj::READY_NOW;
  }

private:
  agent_core& core_;
};

} // namespace

wire::AgentPort::Client make_agent_port(agent_core& core) {
  return kj::heap<agent_port>(core);
}

} // namespace parsleylead

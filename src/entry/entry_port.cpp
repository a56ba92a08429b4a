#include "entry_port.hpp"

#include <memory>
#include <utility>

#include "parsleylead/catalogue/catalogue_codec.hpp"

namespace parsleylead {
namespace {

monotonic_time now_on_loop() {
  return std::chrono::steady_clock::now();
}

std::string to_string(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

void fill_reply(wire::JobReply::Builder target, const job_reply& reply) {
  target.setFound(true);
  target.setStatus(static_cast<std::uint16_t>(reply.status));
  target.setBody(reply.body);
}

class entry_port : public wire::EntryPort::Server {
public:
  explicit entry_port(const entry_port_context& context) : context_(context) {}

protected:
  kj::Promise<void> announce(AnnounceContext context) override {
    const auto params = context.getParams();
    if (params.getProtocolVersion() != wire::PROTOCOL_VERSION) {
      return KJ_EXCEPTION(FAILED, "protocol version not supported", params.getProtocolVersion());
    }
    const auto agent = params.getAgent();
    const auto address = parse_endpoint(to_string(agent.getAddress()));
    if (!address.ok()) {
      return KJ_EXCEPTION(FAILED, "the agent's address is not ip:port");
    }
    if (!agent.getLeaving()) {
      context_.agents.add(
          {to_string(agent.getId().getName()), agent.getId().getIncarnation(), *address},
          now_on_loop());
    }
    const auto members = context_.members.members();
    auto list = context.getResults().initEntries(members.size() + 1);
    fill_entry_info(list[0], context_.members.self());
    for (unsigned i = 0; i < members.size(); ++i) {
      fill_entry_info(list[i + 1], members[i]);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> exchange(ExchangeContext context) override {
    const auto params = context.getParams();
    context_.members.record_member(to_member(params.getFrom(), now_on_loop()));
    for (const auto entry : params.getEntries()) {
      if (const auto address = parse_endpoint(to_string(entry.getAddress())); address.ok()) {
        context_.members.add_candidate(*address);
      }
    }
    auto results = context.getResults();
    fill_entry_info(results.initSelf(), context_.members.self());
    const auto members = context_.members.members();
    auto list = results.initEntries(members.size());
    for (unsigned i = 0; i < members.size(); ++i) {
      fill_entry_info(list[i], members[i]);
    }
    results.setCatalogueOffset(context_.catalogue.offset());
    context_.job_dispatcher.accounts().add_control_messages();
    return kj::READY_NOW;
  }

  kj::Promise<void> readCatalogue(ReadCatalogueContext context) override {
    const auto* replica = context_.catalogue.replica();
    if (replica == nullptr) {
      return KJ_EXCEPTION(FAILED, "the catalogue is not known here");
    }
    context.getResults().setSnapshot(encode_snapshot(replica->snapshot()));
    context_.job_dispatcher.accounts().add_control_messages();
    return kj::READY_NOW;
  }

  kj::Promise<void> fetchJob(FetchJobContext context) override {
    const auto params = context.getParams();
    const auto submission = uuid::parse(to_string(params.getSubmission()));
    const auto wait = std::chrono::milliseconds(params.getWaitMs());
    auto answered = kj::newPromiseAndFulfiller<job_reply>();
    // std::function needs a copyable callback.
    auto fulfiller =
        std::make_shared<kj::Own<kj::PromiseFulfiller<job_reply>>>(kj::mv(answered.fulfiller));
    const auto callback = [fulfiller](job_reply reply) { (*fulfiller)->fulfill(kj::mv(reply)); };
    const bool found =
        submission && context_.job_dispatcher.fetch(*submission, wait.count() > 0, callback);
    if (!found) {
      context.getResults().initReply().setFound(false);
      return kj::READY_NOW;
    }
    auto filled = answered.promise.then([context](const job_reply& reply) mutable {
      fill_reply(context.getResults().initReply(), reply);
    });
    if (wait.count() == 0) {
      return filled;
    }
    return context_.loop.with_timeout(kj::mv(filled), wait);
  }

  kj::Promise<void> cancelJob(CancelJobContext context) override {
    const auto submission = uuid::parse(to_string(context.getParams().getSubmission()));
    auto reply = context.getResults().initReply();
    const auto fill = [&reply](const job_reply& ended) { fill_reply(reply, ended); };
    const bool found =
        submission && context_.job_dispatcher.cancel(*submission, now_on_loop(), fill);
    reply.setFound(found);
    return kj::READY_NOW;
  }

  kj::Promise<void> listAgents(ListAgentsContext context) override {
    std::vector<agent_address> agents;
    context_.agents.for_each([&agents](const agent_link& link) {
      if (link.is_open()) {
        agents.push_back(link.address());
      }
    });
    auto list = context.getResults().initAgents(agents.size());
    for (unsigned i = 0; i < list.size(); ++i) {
      list[i].getId().setName(agents[i].name);
      list[i].getId().setIncarnation(agents[i].incarnation);
      list[i].setAddress(parsleylead::to_string(agents[i].address));
    }
    return kj::READY_NOW;
  }

private:
  entry_port_context context_;
};

} // namespace

kj::Own<wire::EntryPort::Server> make_entry_port(const entry_port_context& context) {
  return kj::heap<entry_port>(context);
}

} // namespace parsleylead

#include "member_service.hpp"

#include <algorithm>
#include <utility>

#include "parsleylead/catalogue/catalogue_codec.hpp"
#include "parsleylead/transport/ignore_task_errors.hpp"

namespace parsleylead {
namespace {

// Members that were not heard from for this time are no longer reported to other processes.
constexpr std::chrono::seconds member_lifetime{60};
// Unreachable addresses are kept for longer than a network partition between regions, which can
// last an hour.
constexpr std::chrono::hours candidate_lifetime{2};
constexpr std::chrono::milliseconds max_retry_interval{10'000};
constexpr std::chrono::milliseconds call_timeout{1000};

monotonic_time now_on_loop() {
  return std::chrono::steady_clock::now();
}

std::string to_string(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

std::optional<job_reply> to_reply(wire::JobReply::Reader reply) {
  if (!reply.getFound()) {
    return std::nullopt;
  }
  return job_reply{reply.getStatus(), to_string(reply.getBody())};
}

// Collects the replies of several entries and passes on the first one that knows the submission.
struct job_search {
  std::size_t pending_calls = 0;
  bool replied = false;
  member_service::reply_callback done;

  void on_reply(std::optional<job_reply> reply) {
    --pending_calls;
    if (replied || (!reply && pending_calls > 0)) {
      return;
    }
    replied = true;
    done(std::move(reply));
  }
};

} // namespace

entry_member to_member(wire::EntryInfo::Reader info, monotonic_time now) {
  entry_member member;
  member.name = to_string(info.getId().getName());
  member.incarnation = info.getId().getIncarnation();
  member.address = to_string(info.getAddress());
  member.operations_address = to_string(info.getOperationsAddress());
  member.availability_zone = to_string(info.getAvailabilityZone());
  member.leaving = info.getLeaving();
  member.last_seen = now;
  return member;
}

void fill_entry_info(wire::EntryInfo::Builder info, const entry_member& member) {
  info.getId().setName(member.name);
  info.getId().setIncarnation(member.incarnation);
  info.setAddress(member.address);
  info.setOperationsAddress(member.operations_address);
  info.setAvailabilityZone(member.availability_zone);
  info.setLeaving(member.leaving);
}

struct member_service::peer {
  endpoint address;
  bool is_seed = false;
  kj::Own<rpc_connection> connection;
  std::optional<kj::Promise<void>> call;
  bool in_progress = false;
  monotonic_time next_try;
  monotonic_time last_contact;
  std::chrono::milliseconds backoff{0};
};

member_service::member_service(rpc_loop& loop, const entry_settings& settings, callbacks handlers)
    : loop_(loop), settings_(settings), callbacks_(std::move(handlers)),
      tasks_(std::make_unique<kj::TaskSet>(ignore_task_errors())) {}

member_service::~member_service() = default;

void member_service::start(const entry_member& self) {
  self_ = self;
  for (const auto& seed : settings_.seeds) {
    add_candidate(seed);
    const auto found = peers_.find(seed);
    if (found != peers_.end()) {
      found->second->is_seed = true;
    }
  }
}

void member_service::stop() {
  tasks_.reset();
  peers_.clear();
}

void member_service::set_leaving() {
  self_.leaving = true;
  refresh();
}

std::vector<entry_member> member_service::members() const {
  std::vector<entry_member> result;
  const auto oldest = now_on_loop() - member_lifetime;
  for (const auto& [name, member] : members_) {
    if (member.last_seen >= oldest) {
      result.push_back(member);
    }
  }
  return result;
}

void member_service::record_member(const entry_member& member) {
  if (member.name == self_.name) {
    return;
  }
  members_[member.name] = member;
  if (const auto address = parse_endpoint(member.address); address.ok()) {
    add_candidate(*address);
  }
}

void member_service::add_candidate(const endpoint& address) {
  if (parsleylead::to_string(address) == self_.address || address.port == 0) {
    return;
  }
  auto& known = peers_[address];
  if (known != nullptr) {
    return;
  }
  known = std::make_unique<peer>();
  known->address = address;
  known->last_contact = now_on_loop();
}

void member_service::tick(monotonic_time now) {
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    auto& target = *entry->second;
    const bool expired = !target.is_seed && now - target.last_contact > candidate_lifetime;
    if (expired && !target.in_progress) {
      entry = peers_.erase(entry);
      continue;
    }
    if (!target.in_progress && now >= target.next_try) {
      exchange_with(target);
    }
    ++entry;
  }
}

void member_service::refresh() {
  for (const auto& [address, target] : peers_) {
    target->next_try = monotonic_time{};
  }
}

void member_service::exchange_with(peer& target) {
  target.in_progress = true;
  kj::Promise<void> connected = kj::READY_NOW;
  if (target.connection.get() == nullptr) {
    connected = connect(loop_, target.address, settings_.sessions.connect_timeout)
                    .then([&target](kj::Own<rpc_connection> connection) {
                      target.connection = kj::mv(connection);
                    });
  }
  auto call = connected.then([this, &target] {
    auto request = target.connection->bootstrap().castAs<wire::EntryPort>().exchangeRequest();
    fill_entry_info(request.initFrom(), self_);
    const auto known = members();
    auto list = request.initEntries(known.size());
    for (unsigned i = 0; i < list.size(); ++i) {
      fill_entry_info(list[i], known[i]);
    }
    request.setCatalogueOffset(callbacks_.catalogue_offset());
    callbacks_.on_exchange();
    return request.send();
  });
  auto reply = call.then([this, &target](auto&& response) { on_exchange(target, response); });
  target.call = loop_.with_timeout(kj::mv(reply), call_timeout)
                    .eagerlyEvaluate([this, &target](kj::Exception&&) {
                      target.in_progress = false;
                      target.connection = nullptr;
                      target.backoff = std::clamp(target.backoff * 2, settings_.exchange_interval,
                                                  max_retry_interval);
                      target.next_try = now_on_loop() + target.backoff;
                    });
}

void member_service::on_exchange(peer& target, wire::EntryPort::ExchangeResults::Reader reply) {
  const auto now = now_on_loop();
  target.in_progress = false;
  target.backoff = std::chrono::milliseconds(0);
  target.next_try = now + settings_.exchange_interval;
  target.last_contact = now;
  const auto member = to_member(reply.getSelf(), now);
  if (member.name == self_.name) {
    return;
  }
  record_member(member);
  for (const auto entry : reply.getEntries()) {
    if (const auto address = parse_endpoint(to_string(entry.getAddress())); address.ok()) {
      add_candidate(*address);
    }
  }
  if (!agents_requested_) {
    agents_requested_ = true;
    list_agents(target);
  }
  if (reply.getCatalogueOffset() > callbacks_.catalogue_offset() &&
      callbacks_.needs_peer_snapshot()) {
    read_catalogue(target);
  }
}

void member_service::read_catalogue(peer& target) {
  auto port = target.connection->bootstrap().castAs<wire::EntryPort>();
  auto call = port.readCatalogueRequest().send().then([this](auto&& response) {
    const auto snapshot = decode_snapshot(to_string(response.getSnapshot()));
    if (snapshot.value) {
      callbacks_.on_snapshot(*snapshot.value);
    }
  });
  tasks_->add(loop_.with_timeout(kj::mv(call), call_timeout));
}

void member_service::list_agents(peer& target) {
  auto port = target.connection->bootstrap().castAs<wire::EntryPort>();
  auto call = port.listAgentsRequest().send().then([this](auto&& response) {
    for (const auto agent : response.getAgents()) {
      const auto address = parse_endpoint(to_string(agent.getAddress()));
      if (address.ok()) {
        callbacks_.on_agent(
            {to_string(agent.getId().getName()), agent.getId().getIncarnation(), *address});
      }
    }
  });
  tasks_->add(loop_.with_timeout(kj::mv(call), call_timeout).catch_([this](kj::Exception&&) {
    agents_requested_ = false;
  }));
}

// Job requests use a separate connection: they can wait long and must not delay exchanges.
kj::Promise<std::optional<job_reply>> member_service::call_entry(const endpoint& address,
                                                                 job_call call,
                                                                 std::chrono::milliseconds limit) {
  auto reply = connect(loop_, address, settings_.sessions.connect_timeout)
                   .then([call = std::move(call)](kj::Own<rpc_connection> connection) {
                     auto port = connection->bootstrap().castAs<wire::EntryPort>();
                     return call(kj::mv(port)).attach(kj::mv(connection));
                   });
  return loop_.with_timeout(kj::mv(reply), limit);
}

void member_service::call_entries(const std::vector<endpoint>& addresses, const job_call& call,
                                  std::chrono::milliseconds limit, reply_callback done) {
  if (addresses.empty()) {
    done(std::nullopt);
    return;
  }
  auto search = std::make_shared<job_search>();
  search->pending_calls = addresses.size();
  search->done = std::move(done);
  for (const auto& address : addresses) {
    tasks_->add(
        call_entry(address, call, limit)
            .then(
                [search](std::optional<job_reply>&& reply) { search->on_reply(std::move(reply)); },
                [search](kj::Exception&&) { search->on_reply(std::nullopt); }));
  }
}

std::vector<endpoint> member_service::member_addresses() const {
  std::vector<endpoint> addresses;
  for (const auto& member : members()) {
    if (const auto address = parse_endpoint(member.address); address.ok()) {
      addresses.push_back(*address);
    }
  }
  return addresses;
}

void member_service::fetch_job(const std::string& address, const std::string& submission,
                               std::chrono::milliseconds wait, reply_callback done) {
  std::vector<endpoint> addresses;
  if (address.empty()) {
    addresses = member_addresses();
  } else if (const auto parsed = parse_endpoint(address); parsed.ok()) {
    addresses.push_back(*parsed);
  }
  const job_call call = [submission, wait](wire::EntryPort::Client port) {
    auto request = port.fetchJobRequest();
    request.setSubmission(submission);
    request.setWaitMs(static_cast<std::uint32_t>(wait.count()));
    return request.send().then([](auto&& response) { return to_reply(response.getReply()); });
  };
  call_entries(addresses, call, wait + call_timeout, std::move(done));
}

void member_service::cancel_job(const std::string& submission, reply_callback done) {
  const job_call call = [submission](wire::EntryPort::Client port) {
    auto request = port.cancelJobRequest();
    request.setSubmission(submission);
    return request.send().then([](auto&& response) { return to_reply(response.getReply()); });
  };
  call_entries(member_addresses(), call, call_timeout, std::move(done));
}

} // namespace parsleylead

#include "parsleylead/fleet/fleet_frame.hpp"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <kj/exception.h>
#include <kj/io.h>
#include <limits>

#include "generated/fleet.capnp.h"

namespace parsleylead {
namespace {

namespace wire = fleet_wire;
using std::chrono::milliseconds;

// Shares and factors are encoded in thousandths.
constexpr double thousandth = 1000.0;

std::string text(capnp::Text::Reader value) {
  return {value.begin(), value.size()};
}

void write(wire::RunId::Builder out, const run_id& run) {
  out.setJob(run.task.job);
  out.setStep(run.task.step);
  out.setIndex(run.task.index);
  out.setAttempt(run.attempt);
}

run_id read(wire::RunId::Reader in) {
  return {{in.getJob(), in.getStep(), in.getIndex()}, in.getAttempt()};
}

void write(wire::Needs::Builder out, const resource_needs& needs) {
  out.setCpuMillis(needs.cpu_millis);
  out.setMemoryMb(needs.memory_mb);
  out.setGpus(needs.gpus);
}

resource_needs read(wire::Needs::Reader in) {
  return {in.getCpuMillis(), in.getMemoryMb(), in.getGpus()};
}

void write(wire::Member::Builder out, const fleet_member& member) {
  out.setName(member.name);
  out.setIncarnation(member.incarnation);
  out.setAddress(member.address);
  out.setAvailabilityZone(member.availability_zone);
}

fleet_member read(wire::Member::Reader in) {
  return {text(in.getName()), in.getIncarnation(), text(in.getAddress()),
          text(in.getAvailabilityZone())};
}

void write(wire::Start::Builder out, const start_order& order) {
  write(out.initRun(), order.run);
  write(out.initNeeds(), order.needs);
  out.setEstimateMs(static_cast<std::uint32_t>(
      std::min<std::int64_t>(order.estimate.count(), std::numeric_limits<std::uint32_t>::max())));
  out.setDueInMs(order.due_in.count());
  out.setMaxWaitMs(static_cast<std::uint32_t>(order.max_wait.count()));
  out.setPriority(order.priority);
  out.setEpoch(order.epoch);
  out.setIsolated(order.isolated);
  out.setQueue(order.queue);
}

start_order read(wire::Start::Reader in) {
  return {read(in.getRun()),
          {},
          read(in.getNeeds()),
          milliseconds(in.getEstimateMs()),
          milliseconds(in.getDueInMs()),
          milliseconds(in.getMaxWaitMs()),
          in.getPriority(),
          in.getEpoch(),
          in.getIsolated(),
          in.getQueue()};
}

void write(wire::WorkerDescription::Builder out, const worker_description& description) {
  out.setWorkerId(description.worker_id);
  out.setService(description.service);
  out.setRack(description.rack);
  auto labels = out.initLabels(static_cast<unsigned>(description.labels.size()));
  for (unsigned i = 0; i < labels.size(); ++i) {
    labels.set(i, description.labels[i]);
  }
  write(out.initCapacity(), description.capacity);
  out.setIncarnation(description.incarnation);
}

worker_description read(wire::WorkerDescription::Reader in) {
  worker_description description;
  description.worker_id = text(in.getWorkerId());
  description.service = text(in.getService());
  description.rack = text(in.getRack());
  for (const auto label : in.getLabels()) {
    description.labels.push_back(text(label));
  }
  description.capacity = read(in.getCapacity());
  description.incarnation = in.getIncarnation();
  return description;
}

void write(wire::WorkerStatus::Builder out, const worker_status& status) {
  out.setPresent(status.present);
  out.setAccepting(status.accepting);
  if (status.has_description) {
    write(out.initDescription(), status.description);
  }
  write(out.initCommitted(), status.committed);
  out.setQueuedCpuMillis(status.queued_cpu_millis);
  out.setOwnCpuMillis(status.own_cpu_millis);
  out.setSlowdownMillis(static_cast<std::uint32_t>(std::lround(status.slowdown * thousandth)));
  out.setFailureMillis(static_cast<std::uint32_t>(std::lround(status.failure_share * thousandth)));
  out.setCold(status.cold);
  out.setUndescribed(status.undescribed);
}

worker_status read(wire::WorkerStatus::Reader in) {
  worker_status status;
  status.present = in.getPresent();
  status.accepting = in.getAccepting();
  status.has_description = in.hasDescription();
  if (status.has_description) {
    status.description = read(in.getDescription());
  }
  status.committed = read(in.getCommitted());
  status.queued_cpu_millis = in.getQueuedCpuMillis();
  status.own_cpu_millis = in.getOwnCpuMillis();
  status.slowdown = in.getSlowdownMillis() / thousandth;
  status.failure_share = in.getFailureMillis() / thousandth;
  status.cold = in.getCold();
  status.undescribed = in.getUndescribed();
  return status;
}

void write(wire::RunEnd::Builder out, const run_end& end) {
  write(out.initRun(), end.run);
  out.setOutcome(static_cast<wire::Outcome>(end.outcome));
  out.setRanMs(static_cast<std::uint32_t>(end.ran.count()));
  out.setWaitedMs(static_cast<std::uint32_t>(end.waited.count()));
  out.setHeld(end.held);
  out.setWorkerCrashed(end.worker_crashed);
  out.setSuspect(end.suspect);
  out.setCause(static_cast<wire::LossCause>(end.cause));
}

run_end read(wire::RunEnd::Reader in) {
  return {read(in.getRun()),
          static_cast<run_outcome>(in.getOutcome()),
          milliseconds(in.getRanMs()),
          milliseconds(in.getWaitedMs()),
          in.getHeld(),
          in.getWorkerCrashed(),
          in.getSuspect(),
          static_cast<loss_cause>(in.getCause())};
}

void write(wire::CrashReport::Builder out, const crash_report& report) {
  out.setQueue(report.queue);
  out.setIsolated(report.isolated);
}

crash_report read(wire::CrashReport::Reader in) {
  return {in.getQueue(), in.getIsolated()};
}

void write(wire::SlowRun::Builder out, const slow_run& slow) {
  write(out.initRun(), slow.run);
  out.setPercent(slow.percent);
  out.setRanMs(static_cast<std::uint32_t>(slow.ran.count()));
}

slow_run read(wire::SlowRun::Reader in) {
  return {read(in.getRun()), in.getPercent(), milliseconds(in.getRanMs())};
}

void write(wire::Claim::Builder out, const partition_claim& claim) {
  out.setPartition(claim.partition);
  out.setEpoch(claim.epoch);
}

partition_claim read(wire::Claim::Reader in) {
  return {in.getPartition(), in.getEpoch()};
}

void write(wire::EndNote::Builder out, const end_ack& ack) {
  write(out.initRun(), ack.run);
  out.setSuperseded(ack.superseded);
}

end_ack read(wire::EndNote::Reader in) {
  return {read(in.getRun()), in.getSuperseded()};
}

void write(wire::QueueCount::Builder out, const queue_count& count) {
  out.setQueue(count.queue);
  out.setJobs(count.jobs);
}

queue_count read(wire::QueueCount::Reader in) {
  return {text(in.getQueue()), in.getJobs()};
}

void write(wire::WorkerRequest::Builder out, const worker_request& request) {
  write(out.initEntry(), request.entry);
  out.setNumber(request.number);
  auto requirement = out.initRequirement();
  requirement.setService(request.requirement.service);
  requirement.setLabel(request.requirement.label);
  write(requirement.initNeeds(), request.requirement.needs);
  out.setAttempt(request.attempt);
  out.setRelayed(request.relayed);
  out.setIdle(request.idle);
  auto agents = out.initBusyAgents(static_cast<unsigned>(request.busy_agents.size()));
  for (unsigned i = 0; i < agents.size(); ++i) {
    agents.set(i, request.busy_agents[i]);
  }
}

worker_request read(wire::WorkerRequest::Reader in) {
  const auto requirement = in.getRequirement();
  worker_request request;
  request.entry = read(in.getEntry());
  request.number = in.getNumber();
  request.requirement = {text(requirement.getService()), text(requirement.getLabel()),
                         read(requirement.getNeeds())};
  request.attempt = in.getAttempt();
  request.relayed = in.getRelayed();
  request.idle = in.getIdle();
  for (const auto agent : in.getBusyAgents()) {
    request.busy_agents.push_back(agent);
  }
  return request;
}

void write(wire::SessionRequest::Builder out, const session_request& request) {
  write(out.initEntry(), request.entry);
  out.setIdle(request.idle);
}

session_request read(wire::SessionRequest::Reader in) {
  return {read(in.getEntry()), in.getIdle()};
}

void write(wire::ZoneEvacuations::Builder out, const evacuation_state& state) {
  out.setAsOf(state.as_of);
  auto zones = out.initZones(static_cast<unsigned>(state.zones.size()));
  unsigned next = 0;
  for (const auto& zone : state.zones) {
    zones.set(next++, zone);
  }
}

evacuation_state read(wire::ZoneEvacuations::Reader in) {
  evacuation_state state{in.getAsOf(), {}};
  for (const auto zone : in.getZones()) {
    state.zones.insert(text(zone));
  }
  return state;
}

template <class List, class Values>
void write_all(List list, const Values& values);
template <class List, class Values>
void read_all(List list, Values& values);

void write(wire::PartitionCounts::Builder out, const partition_counts& known) {
  write(out.initClaim(), known.claim);
  out.setRevision(known.revision);
  write_all(out.initCounts(static_cast<unsigned>(known.counts.size())), known.counts);
}

partition_counts read(wire::PartitionCounts::Reader in) {
  partition_counts known{read(in.getClaim()), in.getRevision(), {}};
  read_all(in.getCounts(), known.counts);
  return known;
}

template <class List, class Values>
void write_all(List list, const Values& values) {
  for (unsigned i = 0; i < list.size(); ++i) {
    write(list[i], values[i]);
  }
}

template <class List, class Values>
void read_all(List list, Values& values) {
  values.reserve(list.size());
  for (const auto item : list) {
    values.push_back(read(item));
  }
}

unsigned count(std::size_t size) {
  return static_cast<unsigned>(size);
}

/// Stores one copy of the payload for consecutive starts with the same payload.
void write_starts(wire::Frame::Builder out, const std::vector<start_order>& orders) {
  std::vector<const std::string*> payloads;
  auto starts = out.initStarts(count(orders.size()));
  for (unsigned i = 0; i < starts.size(); ++i) {
    if (payloads.empty() || *payloads.back() != orders[i].payload) {
      payloads.push_back(&orders[i].payload);
    }
    write(starts[i], orders[i]);
    starts[i].setPayload(count(payloads.size() - 1));
  }
  auto texts = out.initPayloads(count(payloads.size()));
  for (unsigned i = 0; i < texts.size(); ++i) {
    texts.set(i, *payloads[i]);
  }
}

/// Skips starts with an invalid payload index, which only a faulty peer sends.
void read_starts(wire::Frame::Reader in, std::vector<start_order>& orders) {
  const auto payloads = in.getPayloads();
  for (const auto start : in.getStarts()) {
    if (start.getPayload() < payloads.size()) {
      orders.push_back(read(start));
      orders.back().payload = text(payloads[start.getPayload()]);
    }
  }
}

void write_hello(wire::Hello::Builder out, const session_hello& hello) {
  out.setVersion(wire::PROTOCOL_VERSION);
  out.setName(hello.sender.name);
  out.setIncarnation(hello.sender.incarnation);
  out.setAddress(hello.sender.address);
  out.setAvailabilityZone(hello.sender.availability_zone);
  out.setIsAgent(hello.is_agent);
  out.setResumes(hello.resumed_incarnation);
  out.setRequested(hello.requested);
}

session_hello read_hello(wire::Hello::Reader in) {
  return {{text(in.getName()), in.getIncarnation(), text(in.getAddress()),
           text(in.getAvailabilityZone())},
          in.getIsAgent(),
          in.getResumes(),
          in.getRequested()};
}

fleet_frame read_frame(wire::Frame::Reader in) {
  fleet_frame frame;
  if (in.hasHello()) {
    frame.hello = read_hello(in.getHello());
  }
  read_starts(in, frame.starts);
  frame.worker_incarnation = in.getWorkerIncarnation();
  read_all(in.getStops(), frame.stops);
  read_all(in.getMoves(), frame.moves);
  read_all(in.getEnds(), frame.ends);
  read_all(in.getSlow(), frame.slow_runs);
  read_all(in.getMembers(), frame.members);
  read_all(in.getClaims(), frame.claims);
  read_all(in.getNotes(), frame.end_acks);
  read_all(in.getWaiting(), frame.waiting_durable_jobs);
  read_all(in.getCrashes(), frame.crashes);
  if (in.hasStatus()) {
    frame.status = read(in.getStatus());
  }
  if (in.getHasOutstanding()) {
    read_all(in.getOutstanding(), frame.outstanding.emplace());
  }
  frame.routes_version = in.getRoutesVersion();
  frame.routes = text(in.getRoutes());
  frame.routes_wanted = in.getRoutesWanted();
  frame.leaving = in.getLeaving();
  frame.sent = std::chrono::milliseconds(in.getSentMs());
  frame.heard = std::chrono::milliseconds(in.getHeardMs());
  read_all(in.getWorkerRequests(), frame.worker_requests);
  read_all(in.getSessionRequests(), frame.session_requests);
  frame.keep_session = in.getKeepSession();
  if (in.hasEvacuations()) {
    frame.evacuations = read(in.getEvacuations());
  }
  return frame;
}

} // namespace

bool fleet_frame::empty() const {
  return !hello && starts.empty() && stops.empty() && moves.empty() && ends.empty() &&
         slow_runs.empty() && !status && members.empty() && !outstanding && routes.empty() &&
         !routes_wanted && !leaving && claims.empty() && end_acks.empty() &&
         waiting_durable_jobs.empty() && crashes.empty() && worker_requests.empty() &&
         session_requests.empty() && !evacuations;
}

std::string encode_frame(const fleet_frame& frame) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::Frame>();
  if (frame.hello) {
    write_hello(out.initHello(), *frame.hello);
  }
  if (!frame.starts.empty()) {
    write_starts(out, frame.starts);
    out.setWorkerIncarnation(frame.worker_incarnation);
  }
  if (!frame.stops.empty()) {
    write_all(out.initStops(count(frame.stops.size())), frame.stops);
  }
  if (!frame.moves.empty()) {
    write_all(out.initMoves(count(frame.moves.size())), frame.moves);
  }
  if (!frame.ends.empty()) {
    write_all(out.initEnds(count(frame.ends.size())), frame.ends);
  }
  if (!frame.slow_runs.empty()) {
    write_all(out.initSlow(count(frame.slow_runs.size())), frame.slow_runs);
  }
  if (!frame.members.empty()) {
    write_all(out.initMembers(count(frame.members.size())), frame.members);
  }
  if (!frame.claims.empty()) {
    write_all(out.initClaims(count(frame.claims.size())), frame.claims);
  }
  if (!frame.end_acks.empty()) {
    write_all(out.initNotes(count(frame.end_acks.size())), frame.end_acks);
  }
  if (!frame.waiting_durable_jobs.empty()) {
    write_all(out.initWaiting(count(frame.waiting_durable_jobs.size())),
              frame.waiting_durable_jobs);
  }
  if (!frame.crashes.empty()) {
    write_all(out.initCrashes(count(frame.crashes.size())), frame.crashes);
  }
  if (frame.status) {
    write(out.initStatus(), *frame.status);
  }
  if (frame.outstanding) {
    out.setHasOutstanding(true);
    write_all(out.initOutstanding(count(frame.outstanding->size())), *frame.outstanding);
  }
  out.setRoutesVersion(frame.routes_version);
  if (!frame.routes.empty()) {
    out.setRoutes(frame.routes);
  }
  out.setRoutesWanted(frame.routes_wanted);
  out.setLeaving(frame.leaving);
  out.setSentMs(frame.sent.count());
  out.setHeardMs(frame.heard.count());
  if (!frame.worker_requests.empty()) {
    write_all(out.initWorkerRequests(count(frame.worker_requests.size())), frame.worker_requests);
  }
  if (!frame.session_requests.empty()) {
    write_all(out.initSessionRequests(count(frame.session_requests.size())),
              frame.session_requests);
  }
  out.setKeepSession(frame.keep_session);
  if (frame.evacuations) {
    write(out.initEvacuations(), *frame.evacuations);
  }
  // Packing removes zero bytes, which make up most of a frame.
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

absl::StatusOr<fleet_frame> decode_frame(std::string_view bytes) {
  std::optional<fleet_frame> frame;
  auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(stream);
    const auto root = message.getRoot<wire::Frame>();
    if (!root.hasHello() || root.getHello().getVersion() == wire::PROTOCOL_VERSION) {
      frame = read_frame(root);
    }
  });
  if (failure != nullptr) {
    return absl::InvalidArgumentError("malformed frame");
  }
  if (!frame) {
    return absl::InvalidArgumentError("frame of another protocol version");
  }
  return std::move(*frame);
}

} // namespace parsleylead

#include "parsleylead/fleet/fleet_frame.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cmath>
#include <cstring>
#include <kj/exception.h>

#include "generated/fleet.capnp.h"

namespace parsleylead {
namespace {

namespace wire = fleet_wire;
using std::chrono::milliseconds;

// Shares and factors travel in thousandths.
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
  out.setPayload(order.payload);
  write(out.initNeeds(), order.needs);
  out.setEstimateMs(static_cast<std::uint32_t>(order.estimate.count()));
  out.setDueInMs(order.due_in.count());
  out.setMaxWaitMs(static_cast<std::uint32_t>(order.max_wait.count()));
}

start_order read(wire::Start::Reader in) {
  return {read(in.getRun()),
          text(in.getPayload()),
          read(in.getNeeds()),
          milliseconds(in.getEstimateMs()),
          milliseconds(in.getDueInMs()),
          milliseconds(in.getMaxWaitMs())};
}

void write(wire::WorkerStatus::Builder out, const worker_status& status) {
  out.setPresent(status.present);
  out.setAccepting(status.accepting);
  out.setWorkerId(status.worker_id);
  out.setService(status.service);
  out.setRack(status.rack);
  auto labels = out.initLabels(static_cast<unsigned>(status.labels.size()));
  for (unsigned i = 0; i < labels.size(); ++i) {
    labels.set(i, status.labels[i]);
  }
  write(out.initCapacity(), status.capacity);
  write(out.initCommitted(), status.committed);
  out.setQueuedCpuMillis(status.queued_cpu_millis);
  out.setOwnCpuMillis(status.own_cpu_millis);
  out.setSlowdownMillis(static_cast<std::uint32_t>(std::lround(status.slowdown * thousandth)));
  out.setFailureMillis(static_cast<std::uint32_t>(std::lround(status.failure_share * thousandth)));
}

worker_status read(wire::WorkerStatus::Reader in) {
  worker_status status;
  status.present = in.getPresent();
  status.accepting = in.getAccepting();
  status.worker_id = text(in.getWorkerId());
  status.service = text(in.getService());
  status.rack = text(in.getRack());
  for (const auto label : in.getLabels()) {
    status.labels.push_back(text(label));
  }
  status.capacity = read(in.getCapacity());
  status.committed = read(in.getCommitted());
  status.queued_cpu_millis = in.getQueuedCpuMillis();
  status.own_cpu_millis = in.getOwnCpuMillis();
  status.slowdown = in.getSlowdownMillis() / thousandth;
  status.failure_share = in.getFailureMillis() / thousandth;
  return status;
}

void write(wire::RunEnd::Builder out, const run_end& end) {
  write(out.initRun(), end.run);
  out.setOutcome(static_cast<wire::Outcome>(end.outcome));
  out.setRanMs(static_cast<std::uint32_t>(end.ran.count()));
  out.setWaitedMs(static_cast<std::uint32_t>(end.waited.count()));
}

run_end read(wire::RunEnd::Reader in) {
  return {read(in.getRun()), static_cast<run_outcome>(in.getOutcome()), milliseconds(in.getRanMs()),
          milliseconds(in.getWaitedMs())};
}

void write(wire::SlowRun::Builder out, const slow_run& slow) {
  write(out.initRun(), slow.run);
  out.setPercent(slow.percent);
  out.setRanMs(static_cast<std::uint32_t>(slow.ran.count()));
}

slow_run read(wire::SlowRun::Reader in) {
  return {read(in.getRun()), in.getPercent(), milliseconds(in.getRanMs())};
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
  for (const auto each : list) {
    values.push_back(read(each));
  }
}

unsigned count(std::size_t size) {
  return static_cast<unsigned>(size);
}

void write_hello(wire::Hello::Builder out, const session_hello& hello) {
  out.setVersion(wire::PROTOCOL_VERSION);
  out.setName(hello.sender.name);
  out.setIncarnation(hello.sender.incarnation);
  out.setAddress(hello.sender.address);
  out.setAvailabilityZone(hello.sender.availability_zone);
  out.setIsAgent(hello.is_agent);
  out.setResumes(hello.resumes);
}

session_hello read_hello(wire::Hello::Reader in) {
  return {{text(in.getName()), in.getIncarnation(), text(in.getAddress()),
           text(in.getAvailabilityZone())},
          in.getIsAgent(),
          in.getResumes()};
}

fleet_frame read_frame(wire::Frame::Reader in) {
  fleet_frame frame;
  if (in.hasHello()) {
    frame.hello = read_hello(in.getHello());
  }
  read_all(in.getStarts(), frame.starts);
  read_all(in.getStops(), frame.stops);
  read_all(in.getMoves(), frame.moves);
  read_all(in.getEnds(), frame.ends);
  read_all(in.getSlow(), frame.slow);
  read_all(in.getMembers(), frame.members);
  if (in.hasStatus()) {
    frame.status = read(in.getStatus());
  }
  if (in.getHasOutstanding()) {
    read_all(in.getOutstanding(), frame.outstanding.emplace());
  }
  frame.routes_version = in.getRoutesVersion();
  frame.routes = text(in.getRoutes());
  frame.leaving = in.getLeaving();
  return frame;
}

} // namespace

bool fleet_frame::empty() const {
  return !hello && starts.empty() && stops.empty() && moves.empty() && ends.empty() &&
         slow.empty() && !status && members.empty() && !outstanding && routes.empty() && !leaving;
}

std::string encode_frame(const fleet_frame& frame) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::Frame>();
  if (frame.hello) {
    write_hello(out.initHello(), *frame.hello);
  }
  if (!frame.starts.empty()) {
    write_all(out.initStarts(count(frame.starts.size())), frame.starts);
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
  if (!frame.slow.empty()) {
    write_all(out.initSlow(count(frame.slow.size())), frame.slow);
  }
  if (!frame.members.empty()) {
    write_all(out.initMembers(count(frame.members.size())), frame.members);
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
  out.setLeaving(frame.leaving);
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

absl::StatusOr<fleet_frame> decode_frame(std::string_view bytes) {
  if (bytes.size() % sizeof(capnp::word) != 0 || bytes.empty()) {
    return absl::InvalidArgumentError("a frame's length is not a multiple of a word");
  }
  // The reader needs aligned words.
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
  std::optional<fleet_frame> frame;
  auto failure = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader message(words);
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

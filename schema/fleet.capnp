# Frames between entries and agents, and between entries, protocol version 2. Each frame is one
# message of the type `Frame`.
# Regenerate with scripts/generate; the output in src/transport/generated is committed.
@0xd3a1f6c05b7e9214;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("parsleylead::fleet_wire");

const protocolVersion :UInt32 = 2;

struct Needs {
  cpuMillis @0 :UInt32;
  memoryMb @1 :UInt32;
  gpus @2 :UInt32;
}

# One start of one task. The attempt number rises with each start of the task.
struct RunId {
  job @0 :UInt64;
  step @1 :UInt32;
  index @2 :UInt32;
  attempt @3 :UInt32;
}

struct Start {
  run @0 :RunId;
  # Index into the payloads of the frame: the tasks of a job share one.
  payload @1 :UInt32;
  needs @2 :Needs;
  estimateMs @3 :UInt32;
  # Time left until the latest start that meets the job's objective.
  dueInMs @4 :Int64;
  # The agent returns the start unstarted after waiting for this long.
  maxWaitMs @5 :UInt32;
  # The operators' order of importance: 0 comes first.
  priority @6 :UInt32;
  # Tenure of the owner of a durable job; 0 for other jobs.
  epoch @7 :UInt64;
}

enum Outcome {
  done @0;
  failed @1;
  stopped @2;
  # Killed since its lease ended, or lost with its worker.
  lost @3;
  # The agent never started it and never will.
  notStarted @4;
}

struct RunEnd {
  run @0 :RunId;
  outcome @1 :Outcome;
  ranMs @2 :UInt32;
  waitedMs @3 :UInt32;
  # The agent keeps it at the worker until it is noted.
  held @4 :Bool;
}

struct Claim {
  partition @0 :UInt32;
  epoch @1 :UInt64;
}

struct EndNote {
  run @0 :RunId;
  superseded @1 :Bool;
}

struct QueueCount {
  queue @0 :Text;
  jobs @1 :UInt32;
}

# What seldom changes about a worker. Sent first in each session, then when it changes.
struct WorkerDescription {
  workerId @0 :Text;
  service @1 :Text;
  rack @2 :Text;
  labels @3 :List(Text);
  capacity @4 :Needs;
}

# The load of a worker. Sent when it changes, at a bounded rate.
struct WorkerStatus {
  present @0 :Bool;
  accepting @1 :Bool;
  # Absent if it is the same as in the last status of this session.
  description @2 :WorkerDescription;
  # Running, starting and stopping.
  committed @3 :Needs;
  queuedCpuMillis @4 :UInt32;
  # Run time over the estimate, as a moving average in thousandths.
  slowdownMillis @5 :UInt32;
  # Failed runs among the latest ones, in thousandths.
  failureMillis @6 :UInt32;
  # Part of committed and queued that belongs to the receiver.
  ownCpuMillis @7 :UInt32;
}

# A run that takes far longer than expected.
struct SlowRun {
  run @0 :RunId;
  percent @1 :UInt32;
  ranMs @2 :UInt32;
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  availabilityZone @3 :Text;
}

struct Hello {
  version @0 :UInt32;
  name @1 :Text;
  incarnation @2 :UInt64;
  availabilityZone @3 :Text;
  isAgent @4 :Bool;
  address @5 :Text;
  # Incarnation of the receiver that the sender last had a session with; 0 for none.
  resumes @6 :UInt64;
}

struct Frame {
  hello @0 :Hello;
  starts @1 :List(Start);
  stops @2 :List(RunId);
  ends @3 :List(RunEnd);
  status @4 :WorkerStatus;
  members @5 :List(Member);
  # Runs that the entry still waits for, sent first in each session.
  outstanding @6 :List(RunId);
  hasOutstanding @7 :Bool;
  # Version of the sender's routes, and the routes themselves if the receiver needs them.
  routesVersion @8 :Int64;
  routes @9 :Text;
  leaving @10 :Bool;
  # Stops of runs that will be placed again: their ends are reported.
  moves @11 :List(RunId);
  slow @12 :List(SlowRun);
  payloads @13 :List(Text);
  # Partitions of durable jobs that the sender owns.
  claims @14 :List(Claim);
  notes @15 :List(EndNote);
  # Durable jobs of the sender that have not begun.
  waiting @16 :List(QueueCount);
}

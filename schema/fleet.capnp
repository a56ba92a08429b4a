# Frames between entries and agents, and between entries; protocol version 2. Each frame is one
# message of type `Frame`.
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

# Identifies one run of a task. The attempt number increases with each start of the task.
struct RunId {
  job @0 :UInt64;
  step @1 :UInt32;
  index @2 :UInt32;
  attempt @3 :UInt32;
}

struct Start {
  run @0 :RunId;
  # Index into Frame.payloads; the tasks of a job share one payload.
  payload @1 :UInt32;
  needs @2 :Needs;
  estimateMs @3 :UInt32;
  # Time left until the latest start that meets the job's objective; negative if it has passed.
  dueInMs @4 :Int64;
  # The agent returns the order as notStarted if it could not start the task within this time.
  maxWaitMs @5 :UInt32;
  # Priority set by the operators; 0 is the highest.
  priority @6 :UInt32;
  # Epoch in which the owner of a durable job sends this order; 0 for other jobs.
  epoch @7 :UInt64;
  # The worker runs nothing else at the same time, because the task may crash it.
  isolated @8 :Bool;
  # Hash of the job's queue.
  queue @9 :UInt32;
}

enum Outcome {
  done @0;
  failed @1;
  stopped @2;
  # Killed because its lease ended, or lost with its worker.
  lost @3;
  # The agent has not started the run and never will.
  notStarted @4;
}

enum LossCause {
  # The run is not lost, or the sender does not state the cause.
  none @0;
  # The worker listed the end: the lease lapsed, or the run was broken off.
  listed @1;
  # The worker answers and no longer lists the run.
  notListed @2;
  # The worker has restarted since the run was started, and does not list it.
  workerRestarted @3;
  # Another worker answers at the address.
  workerReplaced @4;
  # The worker did not answer until its leases had expired.
  workerSilent @5;
  # As workerSilent, and the worker refused connections. It may have crashed; a later report of the
  # same end says whether it has.
  connectionRefused @6;
  # Not sent: an entry lost the agent.
  agentLost @7;
}

struct RunEnd {
  run @0 :RunId;
  outcome @1 :Outcome;
  ranMs @2 :UInt32;
  waitedMs @3 :UInt32;
  # The worker retains the end until the owner of the job's partition has stored it, see EndNote.
  held @4 :Bool;
  # The worker crashed while the run was active.
  workerCrashed @5 :Bool;
  # The run was started so shortly before the crash that it may be the cause.
  suspect @6 :Bool;
  # Why the run counts as lost.
  cause @7 :LossCause;
}

# A crash of a worker that ran tasks of one queue only.
struct CrashReport {
  # Hash of the queue.
  queue @0 :UInt32;
  # The worker ran a single task, which had been ordered to run isolated.
  isolated @1 :Bool;
}

# An owner's claim to a partition of the durable jobs. The epoch of a partition increases with each
# claim.
struct Claim {
  partition @0 :UInt32;
  epoch @1 :UInt64;
}

# Acknowledgement of a run end that the worker retains.
struct EndNote {
  run @0 :RunId;
  # The task was started again before this end was known, so the end was discarded. The agent must not
  # confirm it to the worker before the worker's lease has expired.
  superseded @1 :Bool;
}

struct QueueCount {
  queue @0 :Text;
  jobs @1 :UInt32;
}

# No longer used.
struct EntryCounts {
  entry @0 :Text;
  ageMs @1 :UInt32;
  counts @2 :List(QueueCount);
}

# Waiting durable jobs of one partition, as counted by the owner of this epoch.
struct PartitionCounts {
  claim @0 :Claim;
  # Increases with each change within the epoch.
  revision @1 :UInt32;
  counts @2 :List(QueueCount);
}

# Properties of a worker that rarely change. Sent first in each session, then on each change.
struct WorkerDescription {
  workerId @0 :Text;
  service @1 :Text;
  rack @2 :Text;
  labels @3 :List(Text);
  capacity @4 :Needs;
  # The worker's incarnation that the other fields describe; 0 if it states none.
  incarnation @5 :Int64;
}

# Load of a worker. Sent on changes, at a limited rate.
struct WorkerStatus {
  present @0 :Bool;
  accepting @1 :Bool;
  # Absent if unchanged since the last status of this session.
  description @2 :WorkerDescription;
  # Resources of the runs that are starting, running or stopping.
  committed @3 :Needs;
  queuedCpuMillis @4 :UInt32;
  # Moving average of run time divided by estimate, in thousandths.
  slowdownMillis @5 :UInt32;
  # Share of failed runs among the latest ones, in thousandths.
  failureMillis @6 :UInt32;
  # Part of `committed` and `queuedCpuMillis` that belongs to runs of the receiver.
  ownCpuMillis @7 :UInt32;
  # The worker is still slow after its start.
  cold @8 :Bool;
  # The worker has restarted and not announced itself since: `description` is that of its earlier
  # incarnation.
  undescribed @9 :Bool;
}

# A run that takes far longer than estimated.
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
  # Incarnation of the receiver in the previous session with the sender; 0 if there was none.
  resumes @6 :UInt64;
  # The agent opened the session because the receiver requested it.
  requested @7 :Bool;
}

# Empty texts stand for any service and for no label.
struct WorkerRequirement {
  service @0 :Text;
  label @1 :Text;
  needs @2 :Needs;
}

# Request of an entry for a session with a worker that meets a requirement.
struct WorkerRequest {
  entry @0 :Member;
  # Identifies the request together with the entry's incarnation.
  number @1 :UInt64;
  requirement @2 :WorkerRequirement;
  # Number of requests for this requirement since the search began.
  attempt @3 :UInt32;
  # The sender received the request from another entry.
  relayed @4 :Bool;
  # The worker has to be idle, as those that the entry reaches are busy.
  idle @5 :Bool;
  # Hashes of the names of the agents of these busy workers.
  busyAgents @6 :List(UInt32);
}

# Request to an agent for a session with an entry.
struct SessionRequest {
  entry @0 :Member;
  # See WorkerRequest.
  idle @1 :Bool;
}

# The availability zones whose workers get no new tasks, as of an offset of the store's log.
struct ZoneEvacuations {
  asOf @0 :UInt64;
  zones @1 :List(Text);
}

struct Frame {
  hello @0 :Hello;
  starts @1 :List(Start);
  stops @2 :List(RunId);
  ends @3 :List(RunEnd);
  status @4 :WorkerStatus;
  members @5 :List(Member);
  # Runs whose end the entry still waits for. Sent first in each session.
  outstanding @6 :List(RunId);
  hasOutstanding @7 :Bool;
  # Version of the sender's routes, and the routes if the receiver needs them.
  routesVersion @8 :Int64;
  routes @9 :Text;
  leaving @10 :Bool;
  # Runs to stop because the entry will place them again; the agent reports their ends.
  moves @11 :List(RunId);
  slow @12 :List(SlowRun);
  payloads @13 :List(Text);
  # Partitions of durable jobs that the sender owns.
  claims @14 :List(Claim);
  notes @15 :List(EndNote);
  # No longer used.
  obsoleteWaiting @16 :List(QueueCount);
  # The sender asks for the text of the receiver's routes.
  routesWanted @17 :Bool;
  # No longer used.
  obsoleteWaitingByEntry @18 :List(EntryCounts);
  # Crashes of the sender's worker that point to a queue. Sent to all entries.
  crashes @19 :List(CrashReport);
  # When the agent sent this frame, on its own clock; 0 in frames of entries.
  sentMs @20 :Int64;
  # Newest sentMs that the entry has received in this session; 0 if there is none.
  heardMs @21 :Int64;
  # Sent between entries.
  workerRequests @22 :List(WorkerRequest);
  # Sent to agents.
  sessionRequests @23 :List(SessionRequest);
  # The entry still needs this session, which it requested.
  keepSession @24 :Bool;
  # The newest state that the sender knows; absent if unchanged or unknown.
  evacuations @25 :ZoneEvacuations;
  # Durable jobs that have not started, in the partitions whose counts are news to the receiver.
  waiting @26 :List(PartitionCounts);
  # The worker's incarnation that the starts were placed for; 0 if it is not known.
  workerIncarnation @27 :Int64;
}

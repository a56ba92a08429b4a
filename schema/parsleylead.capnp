# Messages between the processes of parsleylead; protocol version 1.
# Regenerate with scripts/generate; the output in src/transport/generated is committed.
@0xb5f1c2a9d1e04c37;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("parsleylead::wire");

const protocolVersion :UInt32 = 1;

# Identifies a process. The incarnation is new at each start of the process.
struct ProcessId {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct EntryInfo {
  id @0 :ProcessId;
  address @1 :Text;            # internal RPC, "ip:port"
  operationsAddress @2 :Text;  # operations HTTP, "ip:port"
  availabilityZone @3 :Text;
  leaving @4 :Bool;
}

struct UpstreamInfo {
  name @0 :Text;
  kinds @1 :List(Text);
  slots @2 :UInt32;
  cores @3 :UInt32;
  memoryMb @4 :UInt64;
}

struct AgentInfo {
  id @0 :ProcessId;
  address @1 :Text;            # internal RPC, "ip:port"
  operationsAddress @2 :Text;
  availabilityZone @3 :Text;
  upstream @4 :UpstreamInfo;   # slots is 0 while no upstream is announced
  leaving @5 :Bool;
}

struct KindRevision {
  kind @0 :Text;
  revision @1 :UInt64;         # catalogue offset of the kind's last accepted change
}

struct Failure {
  reason @0 :UInt16;           # parsleylead::reason
  step @1 :UInt16;             # parsleylead::step
  peer @2 :Text;
  detail @3 :Text;
}

# Tasks that an entry has yet to place. A lower key is more urgent; `waiting` 0 means no demand.
struct Demand {
  key @0 :UInt64;
  waiting @1 :UInt32;
}

struct Dispatch {
  sequence @0 :UInt64;
  submission @1 :Text;
  taskIndex @2 :UInt32;
  kind @3 :Text;
  revision @4 :UInt64;
  budgetMs @5 :UInt32;         # time left for the task when the message is sent
  payload @6 :Data;
  traceparent @7 :Text;
  demand @8 :Demand;
  acknowledged @9 :List(UInt64);
  queueIfBusy @10 :Bool;       # baseline policies only: wait at the agent instead of a credit
}

enum TaskState {
  finished @0;                 # ran, answer present
  failed @1;                   # ran or may have run, failure present
  notRun @2;                   # never started and never will be, failure present
  running @3;                  # only in a resume: fetch the result with collect
  unknown @4;                  # only in a resume: the agent has no record of the task
}

struct TaskResult {
  sequence @0 :UInt64;
  state @1 :TaskState;
  answer @2 :Data;
  failure @3 :Failure;
  runTimeUs @4 :UInt64;        # time at the upstream
  credits @5 :UInt32;          # credits granted to this session with the result
  newerRevision @6 :UInt64;    # with reason stale_revision: the revision the agent knows
  occupied @7 :UInt32;         # tasks running or waiting at the agent, for all entries
}

struct SessionHello {
  protocolVersion @0 :UInt32;
  entry @1 :EntryInfo;
  counter @2 :UInt64;          # higher for each session of one entry incarnation
  agentIncarnation @3 :UInt64; # of the previous session, 0 for none
  outstanding @4 :List(UInt64);
  revisions @5 :List(KindRevision);
  acknowledged @6 :List(UInt64);
}

struct SessionReply {
  accepted @0 :Bool;
  failure @1 :Failure;
  agent @2 :AgentInfo;
  resumed @3 :List(TaskResult);
  credits @4 :UInt32;
}

struct JobReply {
  found @0 :Bool;
  status @1 :UInt16;           # HTTP status for the caller
  body @2 :Text;               # JSON body for the caller
}

interface EntryPort {
  # Registers an agent. The reply lists the entries known to this entry.
  announce @0 (agent :AgentInfo, protocolVersion :UInt32) -> (entries :List(EntryInfo));
  # Exchanges members and the catalogue offset with another entry.
  exchange @1 (from :EntryInfo, entries :List(EntryInfo), catalogueOffset :UInt64)
      -> (self :EntryInfo, entries :List(EntryInfo), catalogueOffset :UInt64);
  # Returns a JSON snapshot of the catalogue replica at its offset.
  readCatalogue @2 () -> (snapshot :Text);
  fetchJob @3 (submission :Text, waitMs :UInt32) -> (reply :JobReply);
  cancelJob @4 (submission :Text) -> (reply :JobReply);
  # Returns the agents with a session to this entry, for an entry that has just started.
  listAgents @5 () -> (agents :List(AgentInfo));
}

interface AgentPort {
  openSession @0 (hello :SessionHello, receiver :SessionReceiver)
      -> (session :Session, reply :SessionReply);
}

interface Session {
  dispatch @0 (task :Dispatch) -> (result :TaskResult);
  collect @1 (sequence :UInt64) -> (result :TaskResult);
  # Drops waiting tasks and aborts running ones; the dispatch calls return the outcomes.
  cancel @2 (sequences :List(UInt64), acknowledged :List(UInt64)) -> ();
  want @3 (demand :Demand) -> (credits :UInt32);
  giveBack @4 (credits :UInt32) -> ();
  revisions @5 (revisions :List(KindRevision)) -> ();
  probe @6 (acknowledged :List(UInt64)) -> ();
  # The catalogue drains this agent: it stops gracefully.
  drain @7 () -> ();
}

interface SessionReceiver {
  grant @0 (credits :UInt32) -> ();
  # Asks for unused credits back. The reply is the number that the entry returned.
  recall @1 (credits :UInt32) -> (returned :UInt32);
  # The upstream or the agent is leaving: all credits of the session become invalid.
  leaving @2 (agent :AgentInfo) -> ();
  # The upstream's description changed.
  update @3 (agent :AgentInfo) -> ();
}

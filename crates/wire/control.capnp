# The control protocol between wagtailreel's own processes.
#
# The generated code is committed under src/generated. After a change of this file, make it anew:
#   capnp compile -orust:src/generated control.capnp      (plugin: cargo install capnpc)
#
# An epoch or offset of 0 means none. Times are in microseconds, addresses are `ip:port`.

@0xefd9d4afba7f90aa;

enum Phase {
  fetching @0;
  staged @1;
  loading @2;
  loaded @3;
  failed @4;
}

struct EpochPhase {
  epoch @0 :UInt64;
  phase @1 :Phase;
}

struct Load {
  running @0 :UInt32;
  waiting @1 :UInt32;
  kvPermille @2 :UInt32;
}

struct Report {
  vm @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  dataCentre @3 :Text;
  region @4 :Text;
  service @5 :Text;
  data @6 :Text;
  control @7 :Text;
  config @8 :UInt64;
  inFlight @9 :UInt32;
  capacity @10 :UInt32;
  load @11 :Load;              # null if the engine reports none
  bundles @12 :UInt32;
  leaving @13 :Bool;
  closedBelow @14 :UInt64;
  open @15 :UInt64;
  openWeights @16 :Data;       # 32 bytes, or null
  weights @17 :List(EpochPhase);
  chunksThere @18 :UInt32;
  chunksAll @19 :UInt32;
  trouble @20 :Text;           # null if there is none
}

enum Role {
  entry @0;
  upstream @1;
}

enum VmState {
  live @0;
  leaving @1;
}

struct Vm {
  vm @0 :Text;
  dataCentre @1 :Text;
  region @2 :Text;
  role @3 :Role;
  state @4 :VmState;
  service @5 :Text;            # null for an entry VM
  control @6 :Text;
  data @7 :Text;
}

struct ServiceState {
  service @0 :Text;
  team @1 :Text;
  revision @2 :UInt64;
  epoch @3 :UInt64;
  document @4 :Text;           # JSON; null if the service was deleted
}

struct StateView {
  offset @0 :UInt64;
  services @1 :List(ServiceState);
}

# What an agent last heard from the entry that it asks, so that the entry sends only what differs.
struct Seen {
  closeBelow @0 :UInt64;
  open @1 :UInt64;
  swapTo @2 :UInt64;
  revision @3 :UInt64;
  peersVersion @4 :UInt64;
}

struct Directive {
  config @0 :UInt64;
  state @1 :ServiceState;      # null if the agent has the revision
  leaseMicros @2 :UInt64;
  closeBelow @3 :UInt64;
  open @4 :UInt64;
  swapTo @5 :UInt64;
  peersVersion @6 :UInt64;
  peers @7 :List(Vm);          # null if the agent has seen the version
}

struct ServicePeer {
  service @0 :Text;
  closeBelow @1 :UInt64;
  open @2 :UInt64;
  allClosedBelow @3 :UInt64;
}

struct CustomerDemand {
  customer @0 :Text;
  perSecond @1 :Float64;
}

struct ServiceDemand {
  service @0 :Text;
  customers @1 :List(CustomerDemand);
}

struct Address {
  vm @0 :Text;
  control @1 :Text;
}

struct PeerState {
  vm @0 :Text;
  incarnation @1 :UInt64;
  config @2 :UInt64;
  settled @3 :Bool;
  entries @4 :List(Address);
  services @5 :List(ServicePeer);
  demand @6 :List(ServiceDemand);
}

struct AgentReport {
  report @0 :Report;
  ageMicros @1 :UInt64;        # time since the entry received it
}

# What was asked of an entry, for limits that hold over all data centres.
struct EntryDemand {
  vm @0 :Text;
  demand @1 :List(ServiceDemand);
  ageMicros @2 :UInt64;        # time since the answering entry heard it; 0 for its own
}

# Whoever holds configuration gives it to a process that starts while the platform is away.
interface StateHolder {
  pull @0 () -> (state :StateView);
}

interface Entry extends (StateHolder) {
  # An agent's report; the directive renews its lease.
  report @0 (report :Report, seen :Seen) -> (directive :Directive);

  # Answers once the directive differs from what the agent has seen, or after the wait, at most.
  watch @1 (vm :Text, incarnation :UInt64, seen :Seen, waitMicros :UInt64)
      -> (directive :Directive);

  # One step of a sync round between entries of a data centre.
  sync @2 (state :PeerState) -> (state :PeerState);

  # The agents that report to this entry, and the demand of the entries of its data centre, for
  # entries of other data centres.
  agents @3 () -> (agents :List(AgentReport), entries :List(EntryDemand));
}

interface Agent extends (StateHolder) {
}

@0xd0a97c34be118f03;
# Traffic between balancers and agents: datagrams over UDP, streams over RPC.
using Cxx = import "/capnp/c++.capnp";
using Common = import "common.capnp";
$Cxx.namespace("yuccahook::schema");

struct TrunkDatagram {
  # One UDP datagram of the trunk: a single-segment message without framing.
  kind @0 :UInt8;          # net::DatagramKind
  hint @1 :UInt8;          # flow::PacketHint
  hops @2 :UInt8;          # forwards between agents so far
  reason @3 :UInt8;        # flow::RefusalReason of a refusal
  service @4 :UInt32;
  member @5 :UInt32;       # whom a forward is for; who holds the flow in a reply
  revision @6 :UInt64;     # the membership revision that the sender decided on
  callerHigh @7 :UInt64;
  callerLow @8 :UInt64;
  callerPort @9 :UInt16;
  returnPort @10 :UInt16;  # where the balancer takes replies; 0: the datagram's source
  returnHigh @11 :UInt64;
  returnLow @12 :UInt64;
  payload @13 :Data;
  route @14 :UInt8;        # flow::Route
  declinedBy @15 :UInt32;  # the member that will not open this placement, or 0
  epoch @16 :UInt64;       # of the owner that placed the flow
  placement @17 :UInt64;
}

interface StreamEnd {
  # One end of a stream, as the other end sees it. Offsets count bytes since the stream began.
  segment @0 (offset :UInt64, bytes :Data, last :Bool) -> (received :UInt64);
  # Answers once the bytes are passed on; `received` is what need not be sent again.
  reset @1 (reason :UInt8) -> ();
}

struct OpenStream {
  stream @0 :UInt64;       # chosen at random by the balancer
  service @1 :UInt32;
  member @2 :UInt32;       # whom the balancer believes to serve it
  revision @3 :UInt64;
  caller @4 :Common.Endpoint;
  received @5 :UInt64;     # bytes the balancer has had; above 0 or resume: the stream exists
  resume @6 :Bool;
  end @7 :StreamEnd;
  placed @8 :Bool;         # the addressee was named by the flow's owner: take it or refuse
  epoch @9 :UInt64;        # of that owner
  placement @10 :UInt64;
  declinedBy @11 :UInt32;  # the member that will not open this placement, or 0
}

interface StreamTrunk {
  open @0 (stream :OpenStream) -> (status :UInt8, reason :UInt8, member :UInt32, received :UInt64, end :StreamEnd,
    placed :Bool, epoch :UInt64, placement :UInt64, declinedBy :UInt32);
  # status is net::OpenStatus. A redirect names the member to ask next, and what to tell it.
  ping @1 () -> (member :UInt32, revision :UInt64);
  finish @2 (stream :UInt64) -> ();
  # The balancer is about to leave: the agent ends the stream after the answer in progress, where it can tell.
}

interface FlowPeer {
  # What agents of one service ask of each other about flows.
  tell @0 (message :FlowMessage) -> ();
}

struct FlowMessage {
  # flow::PeerMessage. Any may be lost, repeated or late.
  struct Bucket {
    bucket @0 :UInt32;
    wasOwner @1 :Bool;
    stale @2 :Bool;
  }
  struct Entry {
    callerHigh @0 :UInt64;
    callerLow @1 :UInt64;
    callerPort @2 :UInt16;
    holder @3 :UInt32;
    placement @4 :UInt64;
  }
  kind @0 :UInt8;          # flow::PeerKind
  full @1 :Bool;           # the sender takes no new flows
  from @2 :UInt32;
  to @3 :UInt32;
  epoch @4 :UInt64;
  flows @5 :UInt32;        # open at the sender
  buckets @6 :List(Bucket);
  entries @7 :List(Entry);
  revision @8 :UInt64;     # of the sender's membership
}

struct RecordedAnswer {
  # A whole answer of a backend server.
  status @0 :UInt32;
  statusText @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;

  struct Header {
    name @0 :Text;
    value @1 :Text;
  }
}

struct Claim {
  # The sole right to run the request of a key, and what became of it.
  key @0 :Text;
  digestLow @1 :UInt64;
  digestHigh @2 :UInt64;
  runner @3 :UInt32;
  attempt @4 :UInt64;
  generation @5 :UInt32;
  state @6 :UInt8;         # request::ClaimState
  answer @7 :RecordedAnswer;
  ageNanos @8 :Int64;      # since the state was reached
}

struct ClaimMessage {
  kind @0 :UInt8;          # request::ClaimMessageKind
  from @1 :UInt32;
  view @2 :UInt64;         # hash of the members that the sender knows
  revision @3 :UInt64;
  claim @4 :Claim;
  reason @5 :UInt8;        # request::RequestReason of a denial
  repair @6 :Bool;
  holders @7 :List(UInt32);
  cursor @8 :Text;
  more @9 :Bool;
  claims @10 :List(Claim);
}

interface RequestPeer {
  # What agents of one service ask of each other about requests.
  ping @0 () -> (member :UInt32);
  deliver @1 (message :ClaimMessage) -> ();
  # Messages may be lost with their connection: what matters is sent again.
}

struct SlotLoad {
  # How busy a backend server is, as its agent knows.
  running @0 :UInt32;
  runningLong @1 :UInt32;
  waiting @2 :UInt32;
  slots @3 :UInt32;
}

struct SlotOffer {
  # A request that an agent has no slot for. Its bytes follow through `end` once the offer is taken.
  from @0 :UInt32;
  load @1 :SlotLoad;
  method @2 :Text;
  path @3 :Text;
  remainingNanos @4 :Int64; # until its deadline
  idempotent @5 :Bool;
  mayHaveRun @6 :Bool;
  end @7 :StreamEnd;
}

interface OfferedSlot {
  # A slot of another agent's backend server; dropped, it is free and its connection closed.
  finish @0 (result :UInt8) -> (); # request::DispatchResult
}

interface SlotPeer {
  # What agents of one service ask of each other about slots.
  offer @0 (offer :SlotOffer) -> (load :SlotLoad, slot :OfferedSlot, end :StreamEnd);
  # Answers at once; no slot when none is free. `end` leads to the backend server.
}

interface AgentNode {
  # The bootstrap interface of an agent's trunk.
  streams @0 () -> (trunk :StreamTrunk);
  flows @1 () -> (peer :FlowPeer);
  requests @2 () -> (peer :RequestPeer);
  slots @3 () -> (peer :SlotPeer);
}

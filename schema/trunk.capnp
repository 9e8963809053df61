@0xd0a97c34be118f03;
# The trunk carries traffic between balancers and agents and among agents: datagrams over UDP, streams and peer
# messages over RPC.
using Cxx = import "/capnp/c++.capnp";
using Common = import "common.capnp";
$Cxx.namespace("yuccahook::schema");

struct TrunkDatagram {
  # One UDP datagram of the trunk, encoded as a single-segment message without framing.
  kind @0 :UInt8;          # net::DatagramKind
  hint @1 :UInt8;          # flow::PacketHint
  hops @2 :UInt8;          # times forwarded between agents so far
  reason @3 :UInt8;        # flow::RefusalReason, in a refusal
  service @4 :UInt32;
  member @5 :UInt32;       # the addressee in a forward, the holder of the flow in a reply
  revision @6 :UInt64;     # membership revision on which the sender decided
  callerHigh @7 :UInt64;
  callerLow @8 :UInt64;
  callerPort @9 :UInt16;
  returnPort @10 :UInt16;  # with returnHigh and returnLow: address for replies; 0: the datagram's source
  returnHigh @11 :UInt64;
  returnLow @12 :UInt64;
  payload @13 :Data;
  route @14 :UInt8;        # flow::RoutingKind
  declinedBy @15 :UInt32;  # member that declined to open this placement, or 0
  epoch @16 :UInt64;       # epoch of the owner that placed the flow
  placement @17 :UInt64;   # identifies one placement of the flow; never reused
}

interface StreamEnd {
  # One end of a stream, called by the other end. Offsets count bytes from the start of the stream.
  segment @0 (offset :UInt64, bytes :Data, last :Bool) -> (received :UInt64);
  # Replies once the bytes are passed on. `received` counts the bytes that need not be sent again.
  reset @1 (reason :UInt8) -> ();
  # Ends both directions at once. `reason` is flow::RefusalReason.
}

struct OpenStream {
  stream @0 :UInt64;       # random id, chosen by the balancer
  service @1 :UInt32;
  member @2 :UInt32;       # the agent that the balancer expects to serve the stream
  revision @3 :UInt64;
  caller @4 :Common.Endpoint;
  received @5 :UInt64;     # bytes that the balancer has received; above 0 only for a stream opened before
  resume @6 :Bool;         # the stream was opened before; refused when it is unknown
  end @7 :StreamEnd;
  placed @8 :Bool;         # the flow's owner chose the addressee, which accepts the stream or refuses it
  epoch @9 :UInt64;        # epoch of that owner
  placement @10 :UInt64;
  declinedBy @11 :UInt32;  # member that declined to open this placement, or 0
}

interface StreamTrunk {
  open @0 (stream :OpenStream) -> (status :UInt8, reason :UInt8, member :UInt32, received :UInt64, end :StreamEnd,
    placed :Bool, epoch :UInt64, placement :UInt64, declinedBy :UInt32);
  # Opens or resumes a stream. `status` is net::OpenStatus, `reason` flow::RefusalReason. A redirect names the member
  # to call next and the values of `placed`, `epoch`, `placement` and `declinedBy` to pass to it.
  ping @1 () -> (member :UInt32, revision :UInt64);
  finish @2 (stream :UInt64) -> ();
  # Sent by a balancer that is draining. The agent ends the stream of an HTTP service after the answer in progress;
  # other streams continue.
}

interface FlowPeer {
  # Exchanges the flow directory among the agents of one service.
  tell @0 (message :FlowMessage) -> ();
}

struct FlowMessage {
  # Encodes flow::PeerMessage. A message may be lost, repeated or late.
  struct Bucket {
    bucket @0 :UInt32;
    wasOwner @1 :Bool;     # the sender owned the bucket until this message: its entries are complete
    stale @2 :Bool;        # the sender has promised the bucket to the owner at a later revision
  }
  struct Entry {
    callerHigh @0 :UInt64;
    callerLow @1 :UInt64;
    callerPort @2 :UInt16;
    holder @3 :UInt32;
    placement @4 :UInt64;
  }
  kind @0 :UInt8;          # flow::PeerKind
  full @1 :Bool;           # the sender accepts no new flows
  from @2 :UInt32;
  to @3 :UInt32;
  epoch @4 :UInt64;
  flows @5 :UInt32;        # number of flows open at the sender
  buckets @6 :List(Bucket);
  entries @7 :List(Entry);
  revision @8 :UInt64;     # the sender's membership revision
}

struct RecordedAnswer {
  # A complete answer of a backend server.
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
  # The exclusive right to run the request with an idempotency key, and the result of the run.
  key @0 :Text;
  digestLow @1 :UInt64;
  digestHigh @2 :UInt64;
  runner @3 :UInt32;
  attempt @4 :UInt64;
  generation @5 :UInt32;
  state @6 :UInt8;         # request::ClaimState
  answer @7 :RecordedAnswer;
  ageNanos @8 :Int64;      # time since the state was reached
}

struct ClaimMessage {
  kind @0 :UInt8;          # request::ClaimMessageKind
  from @1 :UInt32;
  view @2 :UInt64;         # request::ClaimView::hash of the sender
  revision @3 :UInt64;
  claim @4 :Claim;
  reason @5 :UInt8;        # request::RequestReason, in a denial
  repair @6 :Bool;
  holders @7 :List(UInt32);
  cursor @8 :Text;
  more @9 :Bool;
  claims @10 :List(Claim);
}

interface RequestPeer {
  # Exchanges claims of requests among the agents of one service.
  ping @0 () -> (member :UInt32);
  deliver @1 (message :ClaimMessage) -> ();
  # Messages may be lost with their connection; the claim protocol repeats those that it depends on.
}

struct SlotLoad {
  # Load report: how busy a backend server is, as counted by its agent.
  running @0 :UInt32;
  runningLong @1 :UInt32;
  waiting @2 :UInt32;
  slots @3 :UInt32;
}

struct SlotOffer {
  # A request for which the offering agent has no free slot. The bytes of the request follow through `end` once the
  # offer is accepted.
  from @0 :UInt32;
  load @1 :SlotLoad;
  method @2 :Text;
  path @3 :Text;
  remainingNanos @4 :Int64; # time until the deadline; relative, since agents' clocks differ
  idempotent @5 :Bool;
  mayHaveRun @6 :Bool;
  end @7 :StreamEnd;
}

interface OfferedSlot {
  # A slot of another agent's backend server. Dropping the capability frees the slot and closes its connection.
  finish @0 (result :UInt8) -> (); # request::DispatchResult
}

interface SlotPeer {
  # Offers requests to other agents of the service that may have a free slot.
  offer @0 (offer :SlotOffer) -> (load :SlotLoad, slot :OfferedSlot, end :StreamEnd);
  # Replies without waiting for a slot: `slot` is null when none is free or the backend server can't be reached. `end`
  # leads to the backend server.
}

interface AgentNode {
  # The bootstrap interface of an agent's trunk.
  streams @0 () -> (trunk :StreamTrunk);
  flows @1 () -> (peer :FlowPeer);
  requests @2 () -> (peer :RequestPeer);
  slots @3 () -> (peer :SlotPeer);
}

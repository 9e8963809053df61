@0xb7d0c6f21a9e4d35;
# Messages between control instances and the records of their journals.
using Cxx = import "/capnp/c++.capnp";
using Common = import "common.capnp";
$Cxx.namespace("yuccahook::schema");

struct Voter {
  id @0 :UInt32;
  disk @1 :UInt64;         # journal identity, a random number created with the journal
}

struct QuorumEntry {
  term @0 :UInt64;
  kind @1 :UInt8;          # control::EntryKind
  cluster @2 :UInt64;
  voters @3 :List(Voter);
  payload @4 :Data;
}

struct QuorumSnapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  cluster @2 :UInt64;
  voters @3 :List(Voter);
  joining @4 :List(Voter);
  state @5 :Data;
}

struct QuorumMessage {
  kind @0 :UInt8;          # control::MessageKind
  from @1 :UInt32;
  disk @2 :UInt64;
  to @3 :UInt32;
  cluster @4 :UInt64;
  term @5 :UInt64;
  index @6 :UInt64;
  logTerm @7 :UInt64;
  commit @8 :UInt64;
  granted @9 :Bool;
  echo @10 :UInt64;
  entries @11 :List(QuorumEntry);
  snapshot @12 :QuorumSnapshot;
  leader @13 :UInt32;
  operatorAddress @14 :Common.Endpoint;
  rpcAddress @15 :Common.Endpoint;
  probe @16 :UInt64;       # of a request, returned by its reply
}

struct JournalRecord {
  # One frame of the journal: everything that one sync makes durable. The fields are applied in order.
  disk @0 :UInt64;         # in the first frame only
  snapshot @1 :QuorumSnapshot;
  hasVote @2 :Bool;
  term @3 :UInt64;
  vote @4 :UInt64;
  firstIndex @5 :UInt64;   # `entries` replace the log from this index on
  entries @6 :List(QuorumEntry);
}

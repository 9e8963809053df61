@0x9c1e4fa36db80e57;
# Commands and snapshots of the replicated state, as stored in the journal of a control instance.
using Cxx = import "/capnp/c++.capnp";
using Common = import "common.capnp";
using Control = import "control.capnp";
$Cxx.namespace("yuccahook::schema");

struct UpdateMembers {
  joined @0 :List(Common.Member);
  draining @1 :List(UInt32);
  removed @2 :List(UInt32);
}

struct Command {
  union {
    note @0 :Text;          # the release note's JSON
    members @1 :UpdateMembers;
    routes @2 :RouteTable;
    barrier @3 :Void;       # changes nothing; its position in the log orders a read
    evacuation @4 :Evacuation;
  }
}

struct Evacuation {
  # Starts or ends the evacuation of a failure domain.
  domain @0 :Text;
  active @1 :Bool;
}

struct RouteTable {
  version @0 :UInt64;
  routes @1 :List(Common.Route);
  services @2 :List(Text);
  flowIdleMillis @3 :UInt64;
  document @4 :Text;        # the text that the operator sent
  overload @5 :UInt8;       # flow::OverloadPolicy
  serviceSpecs @6 :List(Common.ServiceSpec); # the services' limits for cold backend servers, by name
}

struct AcceptedNote {
  number @0 :UInt64;
  content @1 :Text;
  author @2 :Text;
  revision @3 :UInt64;
}

struct ClusterImage {
  # The replicated state in a snapshot.
  view @0 :Control.View;
  notes @1 :List(AcceptedNote);
  lastId @2 :UInt32;        # highest id given to a service or member
  routeDocument @3 :Text;
}

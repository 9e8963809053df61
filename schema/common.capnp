@0xb1f3c0d9a7e25411;
# Types that several of the protocols between instances share.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("yuccahook::schema");

struct Endpoint {
  # An IP address (IPv4 as IPv4-mapped IPv6, network order split in two) and a port.
  high @0 :UInt64;
  low @1 :UInt64;
  port @2 :UInt16;
}

struct ServiceSpec {
  id @0 :UInt32;          # never reused, so a withdrawn and re-added name is another service
  name @1 :Text;
  protocol @2 :UInt8;
  address @3 :Endpoint;
  buckets @4 :UInt32;
  idleSeconds @5 :UInt32;
  withdrawSeconds @6 :UInt32;
  withdrawn @7 :Bool;     # takes no new flow; open flows finish within withdrawSeconds
  requests @8 :Text;      # the request policy, as the note's JSON object
}

struct Member {
  id @0 :UInt32;          # one per incarnation of an agent, never reused
  agent @1 :Text;
  incarnation @2 :UInt64;
  service @3 :UInt32;
  trunk @4 :Endpoint;     # UDP and TCP
  domain @5 :Text;
  weight @6 :UInt32;
  slots @7 :UInt32;
  connections @8 :UInt32;
  state @9 :UInt8;
}

struct RouteTarget {
  service @0 :Text;
  weight @1 :UInt32;
}

struct Route {
  address @0 :Endpoint;   # where callers send the packets of its flows
  name @1 :Text;
  targets @2 :List(RouteTarget);
  latencyGoalMillis @3 :UInt32;
  timeoutMillis @4 :UInt32;
  priority @5 :UInt32;
  idempotent @6 :Bool;
}

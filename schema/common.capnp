@0xb1f3c0d9a7e25411;
# Types shared by the protocols between instances and by the journal.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("yuccahook::schema");

struct Endpoint {
  # An IP address and a port. `high` and `low` are the halves of the 16-byte address in network order; IPv4 addresses
  # are IPv4-mapped IPv6.
  high @0 :UInt64;
  low @1 :UInt64;
  port @2 :UInt16;
}

struct ServiceSpec {
  # A service as its release notes describe it.
  id @0 :UInt32;          # never reused: a service withdrawn and added again under its name gets a new id
  name @1 :Text;
  protocol @2 :UInt8;     # flow::Protocol
  address @3 :Endpoint;
  buckets @4 :UInt32;
  idleSeconds @5 :UInt32;
  withdrawSeconds @6 :UInt32;
  withdrawn @7 :Bool;     # accepts no new flows; open flows end within withdrawSeconds
  requests @8 :Text;      # the request policy, as the JSON object of the release note
  coldMillis @9 :UInt32;  # how long a backend server of a packet service is cold after its start
  coldPerSecond @10 :Float64; # requests a second that a cold backend server bears; 0: no limit
}

struct Member {
  # One incarnation of an agent and its backend server.
  id @0 :UInt32;          # unique to the incarnation, never reused
  agent @1 :Text;
  incarnation @2 :UInt64;
  service @3 :UInt32;
  trunk @4 :Endpoint;     # UDP and TCP
  domain @5 :Text;
  weight @6 :UInt32;
  slots @7 :UInt32;
  connections @8 :UInt32;
  state @9 :UInt8;        # flow::MemberState
}

struct RouteTarget {
  service @0 :Text;
  weight @1 :UInt32;
}

struct Route {
  address @0 :Endpoint;   # destination of the packets that callers send
  name @1 :Text;
  targets @2 :List(RouteTarget);
  latencyGoalMillis @3 :UInt32;
  timeoutMillis @4 :UInt32;
  priority @5 :UInt32;    # 0 is the highest
  idempotent @6 :Bool;
  homes @7 :List(Text);   # regions whose backend servers may serve the route; empty: all
}

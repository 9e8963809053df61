@0xc4d1a0be5521fa02;
# What balancers, agents and operators ask of a control instance.
using Cxx = import "/capnp/c++.capnp";
using Common = import "common.capnp";
$Cxx.namespace("yuccahook::schema");

struct Announcement {
  agent @0 :Text;
  incarnation @1 :UInt64;
  service @2 :Text;
  trunk @3 :Common.Endpoint;
  domain @4 :Text;
  weight @5 :UInt32;
  slots @6 :UInt32;
  connections @7 :UInt32;
  draining @8 :Bool;
}

struct View {
  # A snapshot (full) or the changes since a revision.
  revision @0 :UInt64;
  full @1 :Bool;
  services @2 :List(Common.ServiceSpec);
  removedServices @3 :List(UInt32);
  members @4 :List(Common.Member);
  removedMembers @5 :List(UInt32);
  cluster @6 :UInt64;      # identifies the journal; a view of another cluster is refused
  routes @7 :List(Common.Route);
  removedRoutes @8 :List(Common.Endpoint);
  routeVersion @9 :UInt64; # of the route table in force; 0 when none is
  flowIdleMillis @10 :UInt64;
  controls @11 :List(Common.Endpoint); # RPC addresses of the control instances that vote
}

interface Control {
  announce @0 (announcement :Announcement, forwarded :Bool) -> (status :UInt8, member :UInt32, leaseMillis :UInt32, incarnation :UInt64);
  # Joins, renews the lease or reports a drain. status is control::AnnounceStatus. A follower forwards it once.
  # incarnation is the one known of the agent.

  changes @1 (subscriber :Text, after :UInt64, services :List(Text), allServices :Bool) -> (status :UInt8, view :View);
  # Held until the state is newer than `after`; `after` is also what is in force at the subscriber.
  # status is control::ChangesStatus.

  deliver @2 (message :Data) -> ();
  # A QuorumMessage of another control instance.

  propose @3 (command :Data) -> (status :UInt8, index :UInt64);
  # From a follower to the leader; answered once committed. status is control::ProposeStatus.
}

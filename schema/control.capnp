@0xc4d1a0be5521fa02;
# RPC interface of a control instance, for balancers, agents and the other control instances.
using Cxx = import "/capnp/c++.capnp";
using Common = import "common.capnp";
$Cxx.namespace("yuccahook::schema");

struct Announcement {
  # An agent's description of itself and its backend server.
  agent @0 :Text;
  incarnation @1 :UInt64;
  service @2 :Text;
  trunk @3 :Common.Endpoint;
  domain @4 :Text;
  weight @5 :UInt32;
  slots @6 :UInt32;
  connections @7 :UInt32;
  draining @8 :Bool;
  left @9 :Bool; # the backend server has ended, and the agent leaves the membership
}

struct View {
  # The whole membership state when `full`, else the changes since the revision that the subscriber has.
  revision @0 :UInt64;
  full @1 :Bool;
  services @2 :List(Common.ServiceSpec);
  removedServices @3 :List(UInt32);
  members @4 :List(Common.Member);
  removedMembers @5 :List(UInt32);
  cluster @6 :UInt64;      # identifies the journal; a view of another cluster is refused
  routes @7 :List(Common.Route);
  removedRoutes @8 :List(Common.Endpoint);
  routeVersion @9 :UInt64; # version of the route table in force; 0 when there is none
  flowIdleMillis @10 :UInt64;
  controls @11 :List(Common.Endpoint); # RPC addresses of the control instances that are voters
  evacuated @12 :List(Text); # all evacuated failure domains, also in a view of changes
  overload @13 :UInt8;     # flow::OverloadPolicy
  allServices @14 :Bool;   # no service is left out; an earlier release sends only the followed ones and does not set it
}

interface Control {
  announce @0 (announcement :Announcement, forwarded :Bool) -> (status :UInt8, member :UInt32, leaseMillis :UInt32, incarnation :UInt64);
  # Adds the agent to the membership, renews its lease, or reports that it is draining or leaves. `status` is
  # control::AnnounceStatus. A follower forwards the call to the leader; a forwarded call is not forwarded again.
  # `incarnation` is the agent's latest incarnation in the membership.

  changes @1 (subscriber :Text, after :UInt64, services :List(Text), allServices :Bool, compressed :Bool) -> (status :UInt8, view :View, compressedView :Data);
  # Long poll: replies once the state is newer than revision `after`, or after a timeout; at once by an instance that
  # has lost contact with the quorum. `after` also reports the revision in force at the subscriber. `status` is
  # control::ChangesStatus. A subscriber that asks for it gets a newer state as the Zstandard frame of a View.

  deliver @2 (message :Data) -> ();
  # Delivers an encoded QuorumMessage from another control instance.

  deliverPart @4 (sender :UInt32, transfer :UInt64, offset :UInt64, totalBytes :UInt64, bytes :Data) -> ();
  # Delivers a part of an encoded QuorumMessage that is too large for `deliver`. Parts come in order; one that does not
  # continue the sender's transfer is refused.

  propose @3 (command :Data, repeatable :Bool) -> (status :UInt8, index :UInt64);
  # Proposes an encoded Command; sent by a follower to the leader, which replies once the command is committed.
  # `status` is control::ProposeStatus. A repeatable command that is under way already shares the entry of the log.
}

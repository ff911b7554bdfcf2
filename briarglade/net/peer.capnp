# The protocol between the nodes of one region.
#
# Every call carries an envelope that names cluster and protocol and proves the
# shared cluster key. A message of another cluster or protocol is refused.
@0xc3a1e4b0d5f2a697;

$import "/capnp/c++.capnp".namespace("briarglade::wire");

struct Envelope {
  cluster @0 :Text;
  protocol @1 :UInt32;
  sender @2 :Text;
  # The start of the sender's process, so that a restart is noticed.
  incarnation @3 :UInt64;
  # HMAC-SHA256 over cluster, protocol, sender, incarnation and payload.
  proof @4 :Data;
  # A canonical PeerMessage.
  payload @5 :Data;
}

interface Peer {
  # Delivers a message and returns the receiver's answer to it.
  exchange @0 (envelope :Envelope) -> (envelope :Envelope);
}

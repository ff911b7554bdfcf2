# The remote procedure call between the nodes of one region.
@0xc3a1e4b0d5f2a697;

$import "/capnp/c++.capnp".namespace("briarglade::wire");

# A sealed message; see briarglade/membership/envelope.h for the fields.
struct PeerEnvelope {
  cluster @0 :Text;
  protocol @1 :UInt32;
  sender @2 :Text;
  incarnation @3 :UInt64;
  receiver @4 :Text;
  sequence @5 :UInt64;
  proof @6 :Data;
  payload @7 :Data;
}

interface Peer {
  # Delivers a message. Answers, if any, come as messages of their own.
  deliver @0 (envelope :PeerEnvelope);
}

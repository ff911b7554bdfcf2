# The remote procedure call between the nodes of one region. The bytes are sealed
# envelopes (briarglade/membership/envelope.h); this layer doesn't read them.
@0xc3a1e4b0d5f2a697;

$import "/capnp/c++.capnp".namespace("briarglade::wire");

interface Peer {
  # Delivers a sealed message; the answer is the receiver's sealed answer, or
  # empty if there is none.
  deliver @0 (message :Data) -> (answer :Data);
}

# The remote procedure call between the nodes of one region.
@0xc3a1e4b0d5f2a697;

$import "/capnp/c++.capnp".namespace("briarglade::wire");

# What a message returns to its receiver of an earlier message of that one; see
# briarglade/base/message_echo.h. Times are in milliseconds.
struct MessageEcho {
  incarnation @0 :UInt64;
  sentAt @1 :Int64;
  arrivedAt @2 :Int64;
}

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
  # Earlier versions don't send it.
  echo @8 :MessageEcho;
}

interface Peer {
  # Delivers a message. Answers, if any, come as messages of their own.
  deliver @0 (envelope :PeerEnvelope);
}

# What entry nodes tell each other, a few times a second.
@0xb7d8a35c91e24f06;

$import "/capnp/c++.capnp".namespace("briarglade::wire");

struct ServerLoad {
  server @0 :Text;
  inFlight @1 :UInt16;
  # Prompt tokens that the server has still to read.
  unreadTokens @2 :UInt32;
}

# One row of the platform's store.
struct Row {
  key @0 :Text;
  version @1 :UInt64;
  gone @2 :Bool;
  value @3 :Data;
}

# Every change of a feed between two versions.
struct HandedRows {
  feed @0 :UInt8;
  after @1 :UInt64;
  upTo @2 :UInt64;
  rows @3 :List(Row);
}

# A group that was opened, its members in order of rank.
struct OpenedGroup {
  group @0 :Text;
  generation @1 :UInt64;
  members @2 :List(Text);
}

# A request that takes servers down.
struct CrashNews {
  fingerprint @0 :UInt64;
  server @1 :Text;
  run @2 :Text;
  refuseForMs @3 :Int64;
}

# A run of a server that is shutting down.
struct LeavingServer {
  server @0 :Text;
  run @1 :Text;
}

struct NodeNews {
  node @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  ready @3 :Bool;
  hasTraffic @4 :Bool;
  loads @5 :List(ServerLoad);
  # Groups that this node finds silent.
  suspects @6 :List(Text);
  # The version up to which this node has every change, of each feed.
  complete @7 :List(UInt64);
  # The receiver should answer with the changes that this node lacks.
  wantsRows @8 :Bool;
  handed @9 :List(HandedRows);
  # Groups that this node, as the holder of the control lease, is ending.
  ended @10 :List(Text);
  # Groups that the holder has lately opened.
  opened @11 :List(OpenedGroup);
  crashes @12 :List(CrashNews);
  # The store turns this node away.
  storeLost @13 :Bool;
  # This node follows the store, and entries may be missing there that will be back.
  storeDisturbed @14 :Bool;
  # The time of the store's clock, in milliseconds, as of which this node knows
  # every node's row.
  rosterKnownUpTo @15 :Int64;
  # Servers that have said so since the last news.
  leavingServers @16 :List(LeavingServer);
}

# Peer updates: the messages between entry nodes; see node_news.h.
@0xb7d8a35c91e24f06;

$import "/capnp/c++.capnp".namespace("briarglade::wire");

struct ServerLoad {
  server @0 :Text;
  inFlight @1 :UInt16;
  # Prompt tokens that the server has yet to process.
  unreadTokens @2 :UInt32;
}

# What callers request of a model, per second.
struct ModelWork {
  model @0 :Text;
  requests @1 :Float32;
  promptTokens @2 :Float32;
  answerTokens @3 :Float32;
}

# One row of the platform's store.
struct Row {
  key @0 :Text;
  version @1 :UInt64;
  gone @2 :Bool;
  value @3 :Data;
  # The compressed value, in place of the value, and the value's size. Only for
  # nodes that set readsPacked.
  packed @4 :Data;
  unpackedBytes @5 :UInt32;
}

# Every change of a feed between two versions.
struct HandedRows {
  feed @0 :UInt8;
  after @1 :UInt64;
  upTo @2 :UInt64;
  rows @3 :List(Row);
  # Whether the sender knew no later change.
  last @4 :Bool;
  # Of the last part: whether each removal since "after" is told. Earlier
  # versions don't tell.
  namesRemovals @5 :Bool;
  # Of the last part: the checksum of the sender's rows; 0: none.
  checksum @6 :UInt64;
}

# A group that was opened, its members in order of rank.
struct OpenedGroup {
  group @0 :Text;
  generation @1 :UInt64;
  members @2 :List(Text);
  # When the process of each member started, in milliseconds since the Unix
  # epoch. Earlier versions don't tell.
  starts @3 :List(Int64);
}

# Earlier versions report harmful requests by it; ignored.
struct CrashNews {
  fingerprint @0 :UInt64;
  server @1 :Text;
  run @2 :Text;
  refuseForMs @3 :Int64;
}

# Something by which a harmful request can be recognized.
struct RequestTrait {
  kind @0 :UInt8;
  value @1 :UInt64;
}

# A request whose exchange broke off at a crashed server.
struct CrashEvidence {
  server @0 :Text;
  run @1 :Text;
  domain @2 :Text;
  ageMs @3 :UInt32;
  traits @4 :List(RequestTrait);
}

# The trait is not the cause of the crashes up to a moment.
struct TraitClearance {
  trait @0 :RequestTrait;
  ageMs @1 :UInt32;
}

# Requests that have the trait and all its companions are refused.
struct TraitRefusal {
  trait @0 :RequestTrait;
  companions @1 :List(RequestTrait);
  crashAgeMs @2 :UInt32;
  remainingMs @3 :UInt32;
}

# A run of a server that is shutting down.
struct LeavingServer {
  server @0 :Text;
  run @1 :Text;
}

# What a server states about the requests that it accepts from all nodes.
struct RateLimitNotice {
  server @0 :Text;
  run @1 :Text;
  # Whether it states a limit, and which, in requests per second.
  limited @2 :Bool;
  rate @3 :Float64;
  ageMs @4 :UInt32;
}

struct NodeCondition {
  leaving @0 :Bool;
  ready @1 :Bool;
  hasTraffic @2 :Bool;
  storeLost @3 :Bool;
  # Earlier versions tell by it that entries may be missing, but not for how long.
  storeDisturbed @4 :Bool;
  # For how much longer entries may be missing from the store.
  entryDoubtMs @5 :UInt16;
}

struct NodeStatus {
  # A hash of the node's name and incarnation.
  key @0 :UInt64;
  ageMs @1 :UInt16;
  reportNumber @2 :UInt16;
  leaving @3 :Bool;
  ready @4 :Bool;
  hasTraffic @5 :Bool;
  storeLost @6 :Bool;
  storeDisturbed @7 :Bool;
  # As of ageMs ago.
  entryDoubtMs @8 :UInt16;
}

struct NewsDigest {
  nodes @0 :List(NodeStatus);
  loads @1 :List(ServerLoad);
  suspects @2 :List(Text);
  work @3 :List(ModelWork);
}

struct ZoneDigest {
  zone @0 :Text;
  ageMs @1 :UInt16;
  digest @2 :NewsDigest;
}

struct ZoneAge {
  zone @0 :Text;
  ageMs @1 :UInt16;
}

struct Bulletin {
  origin @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
  crashes @3 :List(CrashNews);
  leavingServers @4 :List(LeavingServer);
  ended @5 :List(Text);
  opened @6 :List(OpenedGroup);
  # The version up to which the origin knows every change of the servers' feed.
  serversComplete @7 :UInt64;
  handed @8 :List(HandedRows);
  storeDisturbed @9 :Bool;
  evidence @10 :List(CrashEvidence);
  clearances @11 :List(TraitClearance);
  entryDoubtMs @12 :UInt16;
  rateLimits @13 :List(RateLimitNotice);
  # 1: the store has refused the origin, and the other nodes are to check whether
  # it serves them. 2: it serves the origin.
  storeCheck @14 :UInt8;
  # The time since the origin sent it.
  ageMs @15 :UInt32;
}

struct NodeNews {
  node @0 :Text;
  incarnation @1 :UInt64;
  condition @2 :NodeCondition;
  # The version after which the sender lacks changes, of each feed. With "known"
  # it may have received some parts of changes beyond those.
  complete @3 :List(UInt64);
  # The time of the store's clock, in milliseconds, up to which the sender knows
  # every node's row.
  rosterKnownUpTo @4 :Int64;
  subscription @5 :UInt8;
  reportNumber @6 :UInt16;
  loads @7 :List(ServerLoad);
  suspects @8 :List(Text);
  fleet @9 :NewsDigest;
  zones @10 :List(ZoneDigest);
  zoneAges @11 :List(ZoneAge);
  bulletins @12 :List(Bulletin);
  # Requests the changes that the sender lacks from the receiver.
  wantsRows @13 :Bool;
  handed @14 :List(HandedRows);
  refusals @15 :List(TraitRefusal);
  rateLimits @16 :List(RateLimitNotice);
  # The sender can read compressed values.
  readsPacked @17 :Bool;
  work @18 :List(ModelWork);
  # The last time in which the store accepted calls without a long gap, by its
  # clock, in milliseconds. Not set if the second one is zero.
  storeAvailableSince @19 :Int64;
  storeAvailableUntil @20 :Int64;
  # When it was sent, by the sender's steady clock, in milliseconds. Earlier
  # versions don't tell; they leave tellsSendTime unset.
  sentAt @21 :Int64;
  tellsSendTime @22 :Bool;
  # The sender asks for an answer at once.
  requestsEcho @23 :Bool;
  # The version up to which the sender has every change, of each feed, if that
  # isn't what "complete" tells.
  known @24 :List(UInt64);
  # The checksums of the sender's rows of each feed; 0: none.
  checksums @25 :List(UInt64);
}

# What the nodes of one region tell each other: the payload of an envelope.
@0xe19bf83edb725348;

$import "/capnp/c++.capnp".namespace("briarglade::wire");

struct ZoneVersion {
  zone @0 :Text;
  version @1 :UInt64;
}

struct FactsVersion {
  config @0 :UInt64;
  roster @1 :UInt64;
  zones @2 :List(ZoneVersion);
}

struct FactRow {
  kind @0 :UInt8;
  zone @1 :Text;
  version @2 :UInt64;
  rowVersion @3 :UInt64;
  operation @4 :Text;
  value @5 :Data;
}

struct ZoneHold {
  zone @0 :Text;
  base @1 :UInt64;
  operation @2 :Text;
  who @3 :Text;
  why @4 :Text;
  whenUnixMs @5 :UInt64;
}

struct FactsAsk {
  sequence @0 :UInt64;
  version @1 :FactsVersion;
  replyIp @2 :Text;
  replyPort @3 :UInt16;
  wantsAllRows @4 :Bool;
  holds @5 :List(ZoneHold);
}

struct FactsAnswer {
  sequence @0 :UInt64;
  version @1 :FactsVersion;
  vouches @2 :Bool;
  vouchAges @3 :Data;
  holders @4 :Data;
  # Milliseconds; negative: none.
  confirmedAge @5 :Int64;
  rows @6 :List(FactRow);
  holds @7 :List(ZoneHold);
}

struct FactsPush {
  sequence @0 :UInt64;
  version @1 :FactsVersion;
  replyIp @2 :Text;
  replyPort @3 :UInt16;
  vouches @4 :Bool;
  rows @5 :List(FactRow);
  holds @6 :List(ZoneHold);
}

struct FactsAck {
  sequence @0 :UInt64;
  version @1 :FactsVersion;
  vouches @2 :Bool;
  holds @3 :List(Text);
}

# All times in milliseconds.
struct ServerReport {
  host @0 :Text;
  boot @1 :Text;
  group @2 :Text;
  generation @3 :UInt64;
  model @4 :Text;
  phase @5 :UInt8;
  fencing @6 :UInt64;
  load @7 :UInt32;
  loadAge @8 :Int64;
  uptime @9 :Int64;
  stepTime @10 :Int64;
  # In place of the time of receipt: the age at sending.
  age @11 :Int64;
}

struct PresenceNews {
  watcher @0 :Text;
  sequence @1 :UInt64;
  reports @2 :List(ServerReport);
  silent @3 :List(Text);
}

struct InFlightNews {
  node @0 :Text;
  group @1 :Text;
  generation @2 :UInt64;
  inFlight @3 :UInt32;
}

struct CrashNotice {
  node @0 :Text;
  fingerprint @1 :UInt64;
  group @2 :Text;
  boot @3 :Text;
  refuseFor @4 :Int64;
}

struct NodeNews {
  node @0 :Text;
  leaving @1 :Bool;
}

struct PeerMessage {
  union {
    factsAsk @0 :FactsAsk;
    factsAnswer @1 :FactsAnswer;
    factsPush @2 :FactsPush;
    factsAck @3 :FactsAck;
    presenceNews @4 :PresenceNews;
    inFlightNews @5 :InFlightNews;
    crashNotice @6 :CrashNotice;
    nodeNews @7 :NodeNews;
  }
}

# Messages between two instances. Each frame on a connection holds one Envelope.
@0xbf5147a0d6c1e2f3;

struct Envelope {
  union {
    hello @0 :Hello;
    proof @1 :Data;
    digest @2 :Data;  # MessagePack array of gossip entries.
    stateRequest @3 :State;
    stateReply @4 :State;
    usageSync @5 :UsageSync;
    usageAck @6 :UsageAck;
    notice @7 :Notice;
    noticeReceived @8 :UInt64;
    listSeen @9 :Int64;
  }
}

struct Hello {
  protocol @0 :UInt16;
  instanceId @1 :Text;
  boot @2 :UInt64;
  nonce @3 :Data;
}

struct State {
  component @0 :Text;
  requestId @1 :UInt64;
  body @2 :Data;
}

struct Counts {
  workspace @0 :Text;
  requests @1 :UInt64;
  promptTokens @2 :UInt64;
  generatedTokens @3 :UInt64;
  engineMs @4 :UInt64;
}

struct UsageSync {
  instanceBoot @0 :Text;
  base @1 :UInt64;
  upto @2 :UInt64;
  counters @3 :List(Counts);
}

struct UsageAck {
  instanceBoot @0 :Text;
  upto @1 :UInt64;
}

struct Death {
  upstreamId @0 :Text;
  bootId @1 :Text;
}

struct Suspicion {
  fingerprint @0 :Text;
  death @1 :Death;
  atMs @2 :Int64;
}

struct Clearance {
  fingerprint @0 :Text;
  deaths @1 :List(Death);
  atMs @2 :Int64;
}

struct Notice {
  noticeId @0 :UInt64;
  suspicions @1 :List(Suspicion);
  clearances @2 :List(Clearance);
}

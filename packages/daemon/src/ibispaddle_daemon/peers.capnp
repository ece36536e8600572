# Messages between two instances. Each frame on a connection contains one Envelope.
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
    claimAsk @10 :ClaimAsk;
    claimAnswer @11 :ClaimAnswer;
    claimNote @12 :ClaimNote;
    claimNoted @13 :ClaimNoted;
    bodyRequest @14 :BodyRequest;
    bodyReply @15 :BodyReply;
    peerWork @16 :PeerWork;
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

struct UpstreamWork {
  upstreamId @0 :Text;
  readingMs @1 :Float32;
  requests @2 :UInt32;
  kvTokens @3 :UInt64;
  parts @4 :UInt32;
}

struct PeerWork {
  instance @0 :Text;
  work @1 :List(UpstreamWork);
  avoided @2 :List(Text);
}

struct Notice {
  noticeId @0 :UInt64;
  suspicions @1 :List(Suspicion);
  clearances @2 :List(Clearance);
  partChanges @3 :Data;  # In MessagePack.
}

struct ClaimAsk {
  claimId @0 :Text;
  keyHash @1 :Text;
  requestHash @2 :Text;
  createdMs @3 :Int64;  # -1 if the key has no creation time.
  isQuery @4 :Bool;
}

struct ClaimOutcome {
  status @0 :Int32;  # -1 if it is unknown whether the call ran.
  contentType @1 :Text;
  body @2 :Data;
  hasBody @3 :Bool;
}

struct ClaimAnswer {
  claimId @0 :Text;
  verdict @1 :Text;
  outcome @2 :ClaimOutcome;
  isRead @3 :Bool;
  holder @4 :Text;
}

struct ClaimNote {
  claimId @0 :Text;
  keyHash @1 :Text;
  sole @2 :Bool;
  outcome @3 :ClaimOutcome;  # Null for a release.
}

struct ClaimNoted {
  claimId @0 :Text;
  inStream @1 :Bool;
}

struct BodyRequest {
  claimId @0 :Text;
  keyHash @1 :Text;
}

struct BodyReply {
  claimId @0 :Text;
  outcome @1 :ClaimOutcome;  # Null if the body is not stored.
}

@0xb1c8f2a4d95e6703;
# RPC protocol between the instances.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("acaciagauge::wire");

struct Member {
  id @0 :Text;
  incarnation @1 :UInt64;
}

struct RenewerSet {
  epoch @0 :UInt64;
  members @1 :List(Member);
}

struct ProvisionalMove {
  service @0 :Text;
  partition @1 :UInt32;
  key @2 :Text;
  server @3 :Text;
  epoch @4 :UInt64;
  sequence @5 :UInt64;
}

struct StampAge {
  server @0 :Text;
  ageMicros @1 :UInt64;
}

struct ServerSequence {
  server @0 :Text;
  sequence @1 :UInt64;
  ageMicros @2 :UInt64;
}

struct ControlMessage {
  from @0 :Member;
  epoch @1 :UInt64;
  joined @2 :Bool;
  union {
    ping @3 :UInt64;
    pong @4 :UInt64;
    join :group {
      controller @5 :Member;
      renewers @6 :RenewerSet;
    }
    joinedEpoch :group {
      stampAges @7 :List(StampAge);
      provisional @8 :List(ProvisionalMove);
    }
    stopRenewing @9 :ServerSequence;
    stoppedRenewing @10 :ServerSequence;
    resumeRenewing @11 :ServerSequence;
    agree :group {
      sequence @12 :UInt64;
      moves @13 :List(ProvisionalMove);
    }
    agreed @14 :UInt64;
    handOver @15 :Void;
  }
}

struct ForwardRequest {
  requestId @0 :Text;
  service @1 :Text;
  key @2 :Text;
  server @3 :Text;
  method @4 :Text;
  body @5 :Data;
  contentType @6 :Text;
  idempotencyKey @7 :Text;
  traceparent @8 :Text;
  remainingMicros @9 :UInt64;
  idempotent @10 :Bool;
}

enum Outcome {
  ran @0;
  notRun @1;
  unknown @2;
}

struct ForwardReply {
  requestId @0 :Text;
  outcome @1 :Outcome;
  code @2 :UInt32;
  status @3 :UInt32;
  body @4 :Data;
  contentType @5 :Text;
  message @6 :Text;
}

struct DomainVersion {
  domain @0 :Text;
  epoch @1 :UInt64;
  version @2 :UInt64;
}

struct ServiceVersion {
  service @0 :Text;
  version @1 :UInt64;
}

struct Digest {
  instance @0 :Text;
  domain @1 :Text;
  ticket @2 :UInt64;
  domains @3 :List(DomainVersion);
  homes @4 :List(ServiceVersion);
}

struct News {
  # Documents that are newer than those in the digest, as JSON text; empty if there are none.
  ticket @0 :UInt64;
  configuration @1 :Text;
  records @2 :List(Text);
  homes @3 :List(Text);
}

struct KeyCount {
  key @0 :UInt32;
  requests @1 :UInt32;
}

struct ServiceLoad {
  service @0 :Text;
  counts @1 :List(KeyCount);
}

struct ServerTimes {
  server @0 :Text;
  requests @1 :UInt32;
  totalMicros @2 :UInt64;
}

struct RateLimit {
  server @0 :Text;
  perSecond @1 :Float64;
}

struct ServerRun {
  server @0 :Text;
  startedMs @1 :Int64;
}

struct LoadReport {
  keys @0 :List(ServiceLoad);
  times @1 :List(ServerTimes);
  rateLimits @2 :List(RateLimit);
  leaving @3 :List(ServerRun);  # Servers that said that they are leaving, and whose entries do not say so.
}

struct StoreChange {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  removed @3 :Bool;
}

struct StoreDelta {
  at @0 :UInt64;
  isSnapshot @1 :Bool;
  changes @2 :List(StoreChange);
  checksum @3 :UInt64;  # Of all items in the sender's mirror.
  era @4 :UInt64;  # Increases when the store was restored from an older copy; orders before the revision.
}

struct PermitRequest {
  server @0 :Text;
  perSecond @1 :Float64;  # Rate that the server takes from all instances together.
  maxWaitMicros @2 :UInt64;
}

enum AdmissionEnd {
  ran @0;
  shed @1;
  notSent @2;
  unreachable @3;
  other @4;
}

interface Peer {
  control @0 (message :ControlMessage) -> ();
  forward @1 (request :ForwardRequest) -> (reply :ForwardReply);
  exchange @2 (digest :Digest) -> (news :News);
  announce @3 (news :News) -> ();
  reportLoad @4 (report :LoadReport) -> ();
  # Returns the changes after a revision in the instance's mirror of the store. If there are none, the response is sent
  # after the wait. All times end when the response is sent: ageMicros is the time since the store last confirmed that
  # the mirror is complete, heldMicros the time since the request arrived, steadyMicros the time for which the store has
  # been available without an outage. source is the peer that the instance follows;
  # empty if it watches the store.
  changesSince @5 (revision :UInt64, waitMillis :UInt32, era :UInt64)
    -> (delta :StoreDelta, ageMicros :UInt64, heldMicros :UInt64, steadyMicros :UInt64, source :Text);
  # Asks for the permission to send one request to a server that limits its rate. waitMicros says when to send it, or if
  # it is not granted, when the next one could be sent.
  permit @6 (request :PermitRequest) -> (isGranted :Bool, waitMicros :UInt64);
  # Asks the coordinator of a server, or of a service's servers in a failure domain, to admit one request; answered when
  # the request may be sent or is refused. subject is the server, or the service if domain is not empty. Times are from
  # now; a negative time to the target counts as 0. retryAfterMillis says when a refused request would be served.
  admit @7 (subject :Text, domain :Text, priority :UInt8, targetMillis :UInt32, deadlineMillis :UInt32,
      waitMillis :UInt32, avoided :List(Text))
    -> (isAdmitted :Bool, server :Text, workId :UInt64, retryAfterMillis :UInt32);
  # Ends an admission. Load is the number of requests running and waiting at the server, plus 1; 0 if it is not known.
  # slowdownPercent: 0 if it is not known.
  admissionEnded @8 (server :Text, workId :UInt64, end :AdmissionEnd, responseMicros :UInt32, load :UInt16,
      slowdownPercent :UInt16, retryAfterMillis :UInt32) -> ();
}

@0xd7a1c3f25b8e4960;
# Messages between the processes of verbenaward.
# tools/generate_code.py generates verbenaward/schema/messages.py from this file.

enum MemberKind { entry @0; endpoint @1; }

enum MemberStatus { alive @0; suspect @1; leaving @2; gone @3; }

# Member record of one process, replicated to all processes. Of two records for the same VM the one
# with the higher (incarnation, version) replaces the other.
struct Member {
  vm @0 :Text;
  kind @1 :MemberKind;
  role @2 :Text;
  region @3 :Text;
  zone @4 :Text;
  address @5 :Text;
  incarnation @6 :UInt64;
  version @7 :UInt32;
  status @8 :MemberStatus;
  revision @9 :UInt64;
  release @10 :Data;
}

# Full heartbeat, sent by every process to its registrars.
struct Heartbeat {
  member @0 :Member;
  wantMembers @1 :Bool;
  registrarIncarnation @2 :UInt64;
  seenSequence @3 :UInt64;
}

# Sent instead of a full heartbeat to a registrar that has confirmed the current member record.
struct ShortHeartbeat {
  vm @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  revision @3 :UInt64;
  wantMembers @4 :Bool;
  registrarIncarnation @5 :UInt64;
  seenSequence @6 :UInt64;
}

# Reply to both kinds of heartbeat: the record as the registrar knows it, and member records that
# changed since `seenSequence` if they were requested.
struct HeartbeatReply {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
  revision @2 :UInt64;
  knownVersion @3 :UInt32;
  knownStatus @4 :MemberStatus;
  members @5 :List(Member);
  knownIncarnation @6 :UInt64;
}

# Report that a request was running when a backend crashed or, with `cleared`, that it was answered
# since. `fingerprint` is a hash of the request.
struct Crash {
  fingerprint @0 :Data;
  vm @1 :Text;
  incarnation @2 :UInt64;
  atUnixMs @3 :UInt64;
  cleared @4 :Bool;
}

# Gossip between entry processes: changed member records, the configuration revision and crash
# reports. Receivers forward what they did not know yet.
struct Gossip {
  members @0 :List(Member);
  revision @1 :UInt64;
  sender @2 :Text;
  suspects @3 :List(Crash);  # crash reports and clearances of requests
}

# Reply to Gossip and ConfigurationOffer: the revision in force at the receiver.
struct Acknowledgement {
  revision @0 :UInt64;
}

# Anti-entropy between entry processes: one hash for each bucket of the member directory. The
# reply, DirectoryBuckets, holds the records of the buckets that differ.
struct DirectorySummary {
  buckets @0 :List(UInt64);
}

struct DirectoryBuckets {
  members @0 :List(Member);
}

# Configuration in force at the sender; `document` is empty if the receiver already has the revision.
struct ConfigurationOffer {
  revision @0 :UInt64;
  digest @1 :Data;
  document @2 :Data;
}

# Asks for the configuration if it is newer than `knownRevision`; the reply is a ConfigurationOffer.
struct ConfigurationQuery {
  knownRevision @0 :UInt64;
}

# Chunks that the sender holds, sent between endpoint processes that fetch the same table. The first
# report to a receiver lists all chunks, each later one those added since the last.
struct ChunksHeld {
  table @0 :Data;
  held @1 :List(UInt32);
  uploads @2 :UInt16;       # chunk uploads that wait for bandwidth at the sender
}

# Chunk table of a model: its files in order, split into chunks that never span two files.
struct TableFile {
  path @0 :Text;
  size @1 :UInt64;
}

struct ChunkTable {
  name @0 :Text;
  version @1 :Text;
  chunkBytes @2 :UInt32;
  files @3 :List(TableFile);
  hashes @4 :Data;
}

# Requests that one entry process has in flight at one backend.
struct BackendLoad {
  backend @0 :UInt32;       # hash of the backend's id
  running @1 :UInt16;       # requests in flight
  promptTokens @2 :UInt32;  # prompt tokens of those that have no first event yet
  # Requests without a first event that are less urgent than level 0 and level 1, and their prompt
  # tokens; 0 from a process that knows no levels.
  waitingBelow0 @3 :UInt16;
  waitingBelow1 @4 :UInt16;
  tokensBelow0 @5 :UInt32;
  tokensBelow1 @6 :UInt32;
}

# Backend that crashed while it ran a request.
struct CrashedBackend {
  backend @0 :UInt32;       # hash of its id and start time
  ageMs @1 :UInt32;         # time since the crash
  sentMs @2 :UInt32;        # time since the request was sent to it
}

# What crashes of backends tell of a key, for example the fingerprint of a request.
struct ReportedLimit {      # limit that a backend names in its answers
  backend @0 :UInt32;       # hash of the incarnation
  limited @1 :Bool;         # false: it names none any more
  perThousandSeconds @2 :UInt64;
  ageMs @3 :UInt32;         # time since the sender knew it to hold
  coldMs @4 :UInt32;        # how much longer the backend is cold; 0 if the sender does not know
}

struct LimitRequest {       # asks the owner of a limit whether a request may be sent
  number @0 :UInt32;        # returned in the reply
  backend @1 :UInt32;       # hash of the incarnation
}

struct LimitReply {
  number @0 :UInt32;
  waitMs @1 :UInt32;        # 0: the request may be sent now; else ask again then
}

struct CrashEvidence {
  key @0 :Data;
  crashes @1 :List(CrashedBackend);
  answeredMs @2 :UInt32;    # time since a request with the key was last answered; 0 for never
  isPart @3 :Bool;          # the key is that of a part of prompts, not of a whole request
}

# State broadcast between entry processes, one UDP datagram each. A partial one has no `vm` and
# holds only the loads that changed and `misdirected`; it updates the last full one. Endpoint
# processes send one with only `vm`, `loading` and `loadingInMs`.
struct Pulse {
  vm @0 :Text;
  zone @1 :Text;
  front @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  ready @5 :Bool;
  leaving @6 :Bool;
  revision @7 :UInt64;      # the sender knows all changes of the store up to it
  loads @8 :List(BackendLoad);
  crashes @9 :List(Crash);  # not used any more
  entries @10 :List(Text);  # addresses of other entry processes
  checkedMs @11 :UInt32;    # age of the sender's replica: it has every change acknowledged earlier
  loading @12 :Text;        # set by an endpoint process: address of its engine that loads weights
  loadingInMs @13 :UInt32;  # time until it starts to load; 0 if it accepts no requests now
  partial @14 :Bool;
  misdirected @15 :List(UInt32);  # backends with another incarnation at their address, as in BackendLoad
  storeLost @16 :Bool;      # the sender's last call to the store failed
  departing @18 :List(UInt32);  # incarnations of backends that have said that they leave
  era @19 :UInt32;          # era of the store to which the revision belongs; 0 if unknown
  kept @20 :UInt32;         # checksum of what the sender keeps from before a restore of the store
  hops @17 :UInt16;         # processes that passed on checkedMs before the sender; 0 if it is the sender's own
  evidence @21 :List(CrashEvidence);
  limits @22 :List(ReportedLimit);
  limitRequests @23 :List(LimitRequest);
  limitReplies @24 :List(LimitReply);
  knowsLimits @25 :Bool;    # the sender answers limit requests
  grantsLimits @26 :Bool;   # the sender may own limits: it has been ready for some time
  engineRequests @27 :UInt16;  # set by an endpoint process: one more than the requests that run or wait at its engine
  loadedModel @28 :Text;    # set by an endpoint process: model whose weights its engine holds
  loadedVersion @29 :UInt32;  # version of these weights
  bornUnixMs @30 :UInt64;   # start of that engine, in milliseconds since the epoch; 0 if unknown
  asksRetries @31 :Bool;    # the sender has just started and asks for a part of the retry budget
  grantTo @32 :UInt64;      # set in an answer to that, with the next field only: incarnation that has asked
  grantThousandths @33 :UInt32;  # retries to each service that the sender gives up for it, in thousandths
}

# One key of the platform's store, as one entry process forwards it to another.
struct StoredItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  deleted @3 :Bool;
  ageMs @4 :UInt32;         # the store acknowledged the change at most this long ago; 0 if unknown
  era @5 :UInt32;           # era of the store in which it was read; 0 if unknown
  lastOrder @6 :List(UInt64);  # of a deleted key: write order of its last value
  lastRevision @7 :UInt64;  # of a deleted key: revision of its last value; 0 if unknown
}

# Changes of the store after a revision, or its whole content.
struct StoredItems {
  revision @0 :UInt64;
  complete @1 :Bool;        # true if keys that are not listed do not exist
  items @2 :List(StoredItem);
  ageMs @3 :UInt32;         # age of the content: it has every change acknowledged earlier; 0 if unknown
  heldMs @4 :UInt32;        # time from the request to this answer at the sender
  era @5 :UInt32;           # era of the store to which the revision belongs; 0 if unknown
}

@0xd7a1c3f25b8e4960;
# Messages between the processes of verbenaward.
# `tools/generate_code.py` writes verbenaward/schema/messages.py from this file.

enum MemberKind { entry @0; endpoint @1; }

enum MemberStatus { alive @0; suspect @1; leaving @2; gone @3; }

# What every process knows about one process. Ordered by (incarnation, version).
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

# Sent by every process to its registrars.
struct Heartbeat {
  member @0 :Member;
  wantMembers @1 :Bool;
  registrarIncarnation @2 :UInt64;
  seenSequence @3 :UInt64;
}

# Sent instead of a heartbeat to a registrar that has confirmed the whole record.
struct ShortHeartbeat {
  vm @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  revision @3 :UInt64;
  wantMembers @4 :Bool;
  registrarIncarnation @5 :UInt64;
  seenSequence @6 :UInt64;
}

struct HeartbeatReply {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
  revision @2 :UInt64;
  knownVersion @3 :UInt32;
  knownStatus @4 :MemberStatus;
  members @5 :List(Member);
  knownIncarnation @6 :UInt64;
}

# A request fingerprint that was running when an endpoint crashed.
struct Crash {
  fingerprint @0 :Data;
  vm @1 :Text;
  incarnation @2 :UInt64;
  atUnixMs @3 :UInt64;
  cleared @4 :Bool;
}

# News from one entry to another; forwarded while it is new.
struct Gossip {
  members @0 :List(Member);
  revision @1 :UInt64;
  sender @2 :Text;
  suspects @3 :List(Crash);
}

struct Acknowledgement {
  revision @0 :UInt64;
}

# One hash for each bucket of the directory: differing buckets are exchanged.
struct DirectorySummary {
  buckets @0 :List(UInt64);
}

struct DirectoryBuckets {
  members @0 :List(Member);
}

struct ConfigurationOffer {
  revision @0 :UInt64;
  digest @1 :Data;
  document @2 :Data;
}

struct ConfigurationQuery {
  knownRevision @0 :UInt64;
}

# Sent between endpoint processes that fetch the same table.
struct ChunksHeld {
  table @0 :Data;
  held @1 :List(UInt32);
  uploads @2 :UInt16;
}

# The parts of a model: files in order, cut into chunks that never cross a file.
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

# What one entry process has in flight at one backend.
struct BackendLoad {
  backend @0 :UInt32;       # hash of the backend's id
  running @1 :UInt16;       # requests sent and not ended
  promptTokens @2 :UInt32;  # prompt tokens of those without a first event
}

# Sent by entry processes to each other, as one datagram. A partial one names no process and
# holds only the loads that have changed; it counts beside the last whole one.
struct Pulse {
  vm @0 :Text;
  zone @1 :Text;
  front @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  ready @5 :Bool;
  leaving @6 :Bool;
  revision @7 :UInt64;      # everything up to it is known there
  loads @8 :List(BackendLoad);
  crashes @9 :List(Crash);
  entries @10 :List(Text);  # addresses of other entry processes
  checkedMs @11 :UInt32;    # age of the last answer of the store to this process
  loading @12 :Text;        # from an endpoint: address of its engine, which loads weights
  loadingInMs @13 :UInt32;  # when it begins to; 0 where it takes nothing from now on
  partial @14 :Bool;
  misdirected @15 :List(UInt32);  # backends that are not what they were, as in BackendLoad
}

# One item of the platform's store, as an entry process hands it on.
struct StoredItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  deleted @3 :Bool;
}

# What has changed after a revision, or everything.
struct StoredItems {
  revision @0 :UInt64;
  complete @1 :Bool;        # true where keys that are missing do not exist
  items @2 :List(StoredItem);
}

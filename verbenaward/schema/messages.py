"""Messages between processes, generated from schema/messages.capnp."""

from dataclasses import dataclass
from enum import StrEnum


class MemberKind(StrEnum):
    """Values of the enum MemberKind in schema/messages.capnp."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class MemberStatus(StrEnum):
    """Values of the enum MemberStatus in schema/messages.capnp."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Member:
    """Message Member, described in schema/messages.capnp."""

    vm: str = ""
    kind: MemberKind = next(iter(MemberKind))
    role: str = ""
    region: str = ""
    zone: str = ""
    address: str = ""
    incarnation: int = 0
    version: int = 0
    status: MemberStatus = next(iter(MemberStatus))
    revision: int = 0
    release: bytes = b""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Message Heartbeat, described in schema/messages.capnp."""

    member: Member = Member()
    want_members: bool = False
    registrar_incarnation: int = 0
    seen_sequence: int = 0


@dataclass(frozen=True, slots=True)
class ShortHeartbeat:
    """Message ShortHeartbeat, described in schema/messages.capnp."""

    vm: str = ""
    incarnation: int = 0
    version: int = 0
    revision: int = 0
    want_members: bool = False
    registrar_incarnation: int = 0
    seen_sequence: int = 0


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Message HeartbeatReply, described in schema/messages.capnp."""

    incarnation: int = 0
    sequence: int = 0
    revision: int = 0
    known_version: int = 0
    known_status: MemberStatus = next(iter(MemberStatus))
    members: tuple[Member, ...] = ()
    known_incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Crash:
    """Message Crash, described in schema/messages.capnp."""

    fingerprint: bytes = b""
    vm: str = ""
    incarnation: int = 0
    at_unix_ms: int = 0
    cleared: bool = False


@dataclass(frozen=True, slots=True)
class Gossip:
    """Message Gossip, described in schema/messages.capnp."""

    members: tuple[Member, ...] = ()
    revision: int = 0
    sender: str = ""
    suspects: tuple[Crash, ...] = ()


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Message Acknowledgement, described in schema/messages.capnp."""

    revision: int = 0


@dataclass(frozen=True, slots=True)
class DirectorySummary:
    """Message DirectorySummary, described in schema/messages.capnp."""

    buckets: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class DirectoryBuckets:
    """Message DirectoryBuckets, described in schema/messages.capnp."""

    members: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """Message ConfigurationOffer, described in schema/messages.capnp."""

    revision: int = 0
    digest: bytes = b""
    document: bytes = b""


@dataclass(frozen=True, slots=True)
class ConfigurationQuery:
    """Message ConfigurationQuery, described in schema/messages.capnp."""

    known_revision: int = 0


@dataclass(frozen=True, slots=True)
class ChunksHeld:
    """Message ChunksHeld, described in schema/messages.capnp."""

    table: bytes = b""
    held: tuple[int, ...] = ()
    uploads: int = 0


@dataclass(frozen=True, slots=True)
class TableFile:
    """Message TableFile, described in schema/messages.capnp."""

    path: str = ""
    size: int = 0


@dataclass(frozen=True, slots=True)
class ChunkTable:
    """Message ChunkTable, described in schema/messages.capnp."""

    name: str = ""
    version: str = ""
    chunk_bytes: int = 0
    files: tuple[TableFile, ...] = ()
    hashes: bytes = b""


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """Message BackendLoad, described in schema/messages.capnp."""

    backend: int = 0
    running: int = 0
    prompt_tokens: int = 0
    waiting_below0: int = 0
    waiting_below1: int = 0
    tokens_below0: int = 0
    tokens_below1: int = 0


@dataclass(frozen=True, slots=True)
class CrashedBackend:
    """Message CrashedBackend, described in schema/messages.capnp."""

    backend: int = 0
    age_ms: int = 0
    sent_ms: int = 0


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """Message ReportedLimit, described in schema/messages.capnp."""

    backend: int = 0
    limited: bool = False
    per_thousand_seconds: int = 0
    age_ms: int = 0
    cold_ms: int = 0


@dataclass(frozen=True, slots=True)
class LimitRequest:
    """Message LimitRequest, described in schema/messages.capnp."""

    number: int = 0
    backend: int = 0


@dataclass(frozen=True, slots=True)
class LimitReply:
    """Message LimitReply, described in schema/messages.capnp."""

    number: int = 0
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """Message CrashEvidence, described in schema/messages.capnp."""

    key: bytes = b""
    crashes: tuple[CrashedBackend, ...] = ()
    answered_ms: int = 0
    is_part: bool = False


@dataclass(frozen=True, slots=True)
class Pulse:
    """Message Pulse, described in schema/messages.capnp."""

    vm: str = ""
    zone: str = ""
    front: str = ""
    incarnation: int = 0
    sequence: int = 0
    ready: bool = False
    leaving: bool = False
    revision: int = 0
    loads: tuple[BackendLoad, ...] = ()
    crashes: tuple[Crash, ...] = ()
    entries: tuple[str, ...] = ()
    checked_ms: int = 0
    loading: str = ""
    loading_in_ms: int = 0
    partial: bool = False
    misdirected: tuple[int, ...] = ()
    store_lost: bool = False
    hops: int = 0
    departing: tuple[int, ...] = ()
    era: int = 0
    kept: int = 0
    evidence: tuple[CrashEvidence, ...] = ()
    limits: tuple[ReportedLimit, ...] = ()
    limit_requests: tuple[LimitRequest, ...] = ()
    limit_replies: tuple[LimitReply, ...] = ()
    knows_limits: bool = False
    grants_limits: bool = False
    engine_requests: int = 0
    loaded_model: str = ""
    loaded_version: int = 0
    born_unix_ms: int = 0
    asks_retries: bool = False
    grant_to: int = 0
    grant_thousandths: int = 0


@dataclass(frozen=True, slots=True)
class StoredItem:
    """Message StoredItem, described in schema/messages.capnp."""

    key: str = ""
    value: bytes = b""
    revision: int = 0
    deleted: bool = False
    age_ms: int = 0
    era: int = 0
    last_order: tuple[int, ...] = ()
    last_revision: int = 0


@dataclass(frozen=True, slots=True)
class StoredItems:
    """Message StoredItems, described in schema/messages.capnp."""

    revision: int = 0
    complete: bool = False
    items: tuple[StoredItem, ...] = ()
    age_ms: int = 0
    held_ms: int = 0
    era: int = 0


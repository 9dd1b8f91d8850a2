"""The other entry processes (peers) as one of them sees them."""

import math
from dataclasses import dataclass
from functools import lru_cache

import msgspec
from blake3 import blake3

from ..platform.declarations import DECODE_ERRORS
from ..platform.key_value import Position
from ..schema.messages import Pulse
from ..schema.settings import Settings

ALIVE_SECONDS = 1.2
"""Time without a broadcast after which a peer of the own peer group counts as gone."""
OTHER_GROUP_ALIVE_SECONDS = 2.4
"""The same for a peer of another group, which sends to this process less often."""
REPLACED_SECONDS = 0.5
"""Time without a broadcast after which any other incarnation replaces the known one."""
CACHED_RANKS = 4096
"""Ranks of processes that are remembered: each question to the owner of a limit compares all."""
WATCHERS = 3
"""Entry processes that watch the store; the others fetch changes from them."""


class EntryRecord(msgspec.Struct, frozen=True):
    """Value of an entry process's key in the store.

    Attributes:
      vm: Its VM.
      zone: Its availability zone.
      front: Address for requests of callers.
      control: Address for other processes (setting `listen`).
      incarnation: Start time of the process in nanoseconds; 0 from one of an older version.
    """

    vm: str
    zone: str
    front: str
    control: str
    incarnation: int = 0


def record_of(settings: Settings, incarnation: int = 0) -> bytes:
    """Return the encoded record under which an entry process registers itself in the store."""
    direct = settings.direct
    assert direct is not None
    record = EntryRecord(settings.vm, settings.zone, direct.front, settings.listen, incarnation)
    return msgspec.json.encode(record)


def zone_of_record(value: bytes) -> str:
    """Return the availability zone in the record of an entry process; empty if malformed."""
    try:
        return msgspec.json.decode(value, type=EntryRecord).zone
    except DECODE_ERRORS:
        return ""


def incarnation_of_record(value: bytes) -> int:
    """Return the incarnation in the record of an entry process; 0 if unknown or malformed."""
    try:
        return msgspec.json.decode(value, type=EntryRecord).incarnation
    except DECODE_ERRORS:
        return 0


@dataclass(slots=True)
class EntryPeer:
    """Another entry process.

    Attributes:
      control: Its control address.
      registered: True while it is registered in the store.
      deregistered_at: When its registration last ended, monotonic; minus infinity for never.
      last_broadcast: Its last full broadcast, whose `sequence` is updated by each later load delta;
        None before the first.
      received_at: When its last message arrived, monotonic.
      state_received_at: When its last full broadcast arrived, monotonic.
      replica_current_at: When its replica was complete, up to the revision of its last full
        broadcast, monotonic.
      in_group: True if it is in the peer group of this process.
    """

    control: str
    registered: bool = False
    deregistered_at: float = -math.inf
    last_broadcast: Pulse | None = None
    received_at: float = 0.0
    state_received_at: float = 0.0
    replica_current_at: float = 0.0
    in_group: bool = False

    def is_alive(self, now: float) -> bool:
        """Return True if its last message is recent."""
        longest = ALIVE_SECONDS if self.in_group else OTHER_GROUP_ALIVE_SECONDS
        return self.last_broadcast is not None and now - self.received_at < longest

    def is_listable(self, now: float, is_sampled: bool) -> bool:
        """Return True if the directory may list it for callers.

        Args:
          now: Present time, monotonic, in seconds.
          is_sampled: True if each broadcast goes to a sample of the peers only. A peer without
            a recent message then counts as long as it is registered in the store.
        """
        if self.last_broadcast is None or not self.last_broadcast.ready:
            return False
        return self.is_alive(now) or (is_sampled and self.registered)


def position_of(broadcast: Pulse, known_era: int) -> Position:
    """Return the position in the store's history up to which a peer has every change.

    A process of an older version tells no era; it is taken to be the known one.
    """
    return Position(broadcast.era or known_era, broadcast.revision)


def zones_of(peers: list[EntryPeer]) -> set[str]:
    """Return the availability zones of peers that have broadcast."""
    return {peer.last_broadcast.zone for peer in peers if peer.last_broadcast is not None}


def is_older(broadcast: Pulse, previous: Pulse, silent_seconds: float) -> bool:
    """Return True if a broadcast is older than the last known one of the same peer.

    Incarnations are numbered by the wall clock, which may have been set back before a restart.
    So once the known incarnation has been silent for `REPLACED_SECONDS`, any other one is newer.

    Args:
      broadcast: Received broadcast.
      previous: Last known broadcast of the peer.
      silent_seconds: Time since the peer's last message.
    """
    if broadcast.incarnation == previous.incarnation:
        return broadcast.sequence <= previous.sequence
    return broadcast.incarnation < previous.incarnation and silent_seconds < REPLACED_SECONDS


@lru_cache(maxsize=CACHED_RANKS)
def appointment_rank(key: bytes, process: str) -> bytes:
    """Return the rank of a process among those that may be appointed for a key; lowest first."""
    return blake3(key + process.encode()).digest()


@dataclass(frozen=True, slots=True, order=True)
class Watcher:
    """An entry process that can watch the store: its zone, VM and control address."""

    zone: str
    vm: str
    control: str


def chosen_watchers(possible: list[Watcher]) -> list[Watcher]:
    """Return the first of each availability zone, up to `WATCHERS`."""
    first: dict[str, Watcher] = {}
    for watcher in possible:
        if watcher < first.get(watcher.zone, watcher):
            first[watcher.zone] = watcher
        first.setdefault(watcher.zone, watcher)
    return [first[zone] for zone in sorted(first)][:WATCHERS]

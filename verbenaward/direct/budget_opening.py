"""Which processes belong to a fleet that begins, for which nobody has spent retries yet.

A process cannot tell from its peers whether all of them were killed with it a moment ago. The store
can: the first processes of a deployment write a key that never expires, each write under the
condition that the key is as the writer knows it. No process uses a share of the fixed part of the
retry budget in its first window unless the key names it. So whoever starts later, alone or with all
others, finds a key that does not name it.

The first few processes write themselves into the key at once, and may use small shares. A second
later one of them completes it: then all that were registered belong to the fleet.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from ..platform.declarations import DECODE_ERRORS
from ..platform.key_value import KeyValueEntry
from .entry_peers import incarnation_of_record

COMPLETION_SECONDS = 1.0
"""Age at which the first process completes the key. The second one does at twice that age, if the
key is still incomplete, and so on."""
WRITERS = 3
"""Processes that may complete the key, in the order of their control addresses."""
EARLY_PROCESSES = 4
"""Processes that may write themselves into the key; no more may be registered then."""
EARLY_SHARE = 1.0 / 8
"""Share of each of them, so that half of the whole is left for the others."""
LATEST_SECONDS = 10.0
"""Age from which a process that finds no key writes one that names nobody."""
FIRST_ERA = 1
"""Era of a store that was never restored; a restored one may have lost the key."""


class Opening(msgspec.Struct, frozen=True):
    """Value of the key.

    Attributes:
      early: Incarnations of the first processes, by control address.
      members: Processes of the fleet, these included; 0 until the key is complete.
      until: Position of the store up to which their registrations were written.
      is_complete: True once no process may be added.
    """

    early: dict[str, int] = {}
    members: int = 0
    until: int = 0
    is_complete: bool = False


NOBODY = Opening(is_complete=True)
"""Opening of a fleet that may have spent retries before the key was written."""


@dataclass(frozen=True, slots=True)
class Starter:
    """A process that starts.

    Attributes:
      control: Its control address.
      incarnation: Its incarnation.
      age: Time since its start, in seconds.
    """

    control: str
    incarnation: int
    age: float


@dataclass(frozen=True, slots=True)
class Registrations:
    """What a process has read in the store.

    Attributes:
      records: Registrations of the entry processes, by control address.
      position: Position of the store up to which every change was read; 0 for none.
      era: Era of the store; 0 if unknown.
    """

    records: Mapping[str, KeyValueEntry]
    position: int
    era: int

    def incarnation(self, control: str) -> int:
        """Return the incarnation that is registered at an address; 0 for none or an unknown one."""
        entry = self.records.get(control)
        return incarnation_of_record(entry.value) if entry is not None else 0


def opening_of(entry: KeyValueEntry | None) -> Opening | None:
    """Return the opening in an entry of the store; None if the key does not exist.

    A malformed value names nobody.
    """
    if entry is None or not entry.value:
        return None
    try:
        return msgspec.json.decode(entry.value, type=Opening)
    except DECODE_ERRORS:
        return NOBODY


def opening_due(
    opening: Opening | None, registrations: Registrations, starter: Starter
) -> Opening | None:
    """Return what this process writes in place of the known opening; None for nothing now."""
    known = opening or Opening()
    own = starter.control
    if known.is_complete or registrations.incarnation(own) != starter.incarnation:
        return None
    writers = sorted(item for item in registrations.records if registrations.incarnation(item))
    rank = writers.index(own)
    is_writer = rank < WRITERS and starter.age >= COMPLETION_SECONDS * (rank + 1)
    has_older_versions = len(writers) < len(registrations.records)
    if has_older_versions or starter.age >= LATEST_SECONDS or registrations.era > FIRST_ERA:
        return NOBODY if is_writer else None
    if is_writer:
        members = len(known.early.keys() | registrations.records.keys())
        return Opening(known.early, members, registrations.position, is_complete=True)
    is_early = len(registrations.records) <= EARLY_PROCESSES > len(known.early)
    if is_early and own not in known.early:
        return Opening({**known.early, own: starter.incarnation})
    return None


def opening_share(
    opening: Opening | None, registrations: Registrations, starter: Starter
) -> float | None:
    """Return the share of this process in the fixed part; None if the opening does not name it.

    The shares of all processes add up to 1 at most, those of processes that have ended included.
    """
    own = registrations.records.get(starter.control)
    if opening is None or own is None:
        return None
    if registrations.incarnation(starter.control) != starter.incarnation:
        return None
    equal = 1.0 / opening.members if opening.members else 0.0
    if starter.control in opening.early:
        is_named = opening.early[starter.control] == starter.incarnation
        return max(EARLY_SHARE, equal) if is_named else None
    if not opening.members or own.revision > opening.until:
        return None
    early = len(opening.early)
    return min(equal, (1.0 - early * EARLY_SHARE) / (opening.members - early))

"""The registry of sections of state broadcasts."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ...placement.fleet import Fleet
from ...platform.key_value import Position
from ...registry import Registry
from ...replica.store_replica import StoreReplica
from ...schema.messages import Pulse
from ...schema.settings import Settings
from ..budget import SharedRetryBudget
from ..crash_tracker import CrashTracker
from ..entry_peers import EntryPeer
from ..limit_grants import LimitGrants
from ..peer_table import PeerTable


@dataclass(frozen=True, slots=True)
class SharedState:
    """What the sections of a process read and update.

    Attributes:
      settings: Settings of the process.
      replica: Local replica of the key-value store.
      fleet: Configuration, backends and weights versions.
      peers: The other entry processes.
      crashes: Finds poison requests.
      limits: Grants of sends to backends that name a limit.
      budget: Retry budget of this process.
      send: Sends a message to the process at a control address.
      is_ready: Returns whether this process accepts requests and is not leaving.
      on_position: Called with each peer's position in the store's history and the checksum of
        what it keeps from before a restore.
    """

    settings: Settings
    replica: StoreReplica
    fleet: Fleet
    peers: PeerTable
    crashes: CrashTracker
    limits: LimitGrants
    budget: SharedRetryBudget
    send: Callable[[Pulse, str], None]
    is_ready: Callable[[], bool]
    on_position: Callable[[Position, int], None]


class Section(Protocol):
    """One kind of state in the broadcasts, with the fields of the message that carry it."""

    def fields(self, now: float) -> dict[str, Any]:
        """Return the fields of a full broadcast, by name.

        Args:
          now: Present time, monotonic, in seconds.
        """
        ...

    def apply(self, broadcast: Pulse, peer: EntryPeer, now: float) -> None:
        """Apply the fields of a peer's full broadcast.

        Args:
          broadcast: The broadcast.
          peer: Its sender.
          now: Present time, monotonic, in seconds.
        """
        ...


SECTIONS: Registry[Callable[[SharedState], Section]] = Registry("section of broadcasts")


def sections_of(state: SharedState) -> tuple[Section, ...]:
    """Return all registered sections of a process, in the order of registration."""
    return tuple(create(state) for create in SECTIONS.items.values())

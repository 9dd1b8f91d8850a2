"""Section: backends that leave, or at whose addresses another incarnation answers."""

from typing import Any

from ...placement.fleet import Fleet
from ...schema.messages import Pulse
from ..entry_peers import EntryPeer
from .sections import SECTIONS, SharedState


@SECTIONS.register("backend state")
class BackendStateSection:
    """What answers of backends have shown of the backends themselves."""

    def __init__(self, state: SharedState) -> None:
        self.fleet = state.fleet

    def fields(self, now: float) -> dict[str, Any]:
        """Return the backends that leave and those that are misdirected."""
        return {
            "misdirected": misdirected(self.fleet, now),
            "departing": self.fleet.notices.announced(now),
        }

    def apply(self, broadcast: Pulse, peer: EntryPeer, now: float) -> None:
        """Record the backends that a peer found leaving or misdirected."""
        self.fleet.record_misdirected(broadcast.misdirected, now)
        self.fleet.notices.record_leaving_by_name(broadcast.departing)


def misdirected(fleet: Fleet, now: float) -> tuple[int, ...]:
    """Return the short names of backends at whose addresses another incarnation answers."""
    return tuple(
        view.short_name for view in fleet.backends.values() if view.misdirected_until > now
    )

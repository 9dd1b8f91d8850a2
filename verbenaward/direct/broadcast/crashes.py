"""Section: evidence of requests that crash backends."""

from typing import Any

from ...schema.messages import Pulse
from ..entry_peers import EntryPeer
from .sections import SECTIONS, SharedState


@SECTIONS.register("crashes")
class CrashesSection:
    """Crashes of backends by the requests that they ran."""

    def __init__(self, state: SharedState) -> None:
        self.crashes = state.crashes

    def fields(self, now: float) -> dict[str, Any]:
        """Return the evidence of this process."""
        return {"evidence": self.crashes.evidence_to_broadcast(now)}

    def apply(self, broadcast: Pulse, peer: EntryPeer, now: float) -> None:
        """Merge the evidence of a peer."""
        self.crashes.merge(broadcast.evidence, now)

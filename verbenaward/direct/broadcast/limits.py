"""Section: limits that backends name, and which processes may grant sends to them."""

from typing import Any

from ...schema.messages import Pulse
from ..entry_peers import EntryPeer
from .sections import SECTIONS, SharedState


@SECTIONS.register("limits")
class LimitsSection:
    """Known limits of backends, and whether this process may own them."""

    def __init__(self, state: SharedState) -> None:
        self.state = state

    def fields(self, now: float) -> dict[str, Any]:
        """Return the known limits, and whether this process grants sends."""
        limits = self.state.limits
        limits.observe(self.state.is_ready(), now)
        return {
            "limits": limits.reports(now),
            "knows_limits": True,
            "grants_limits": limits.readiness.is_settled(now),
        }

    def apply(self, broadcast: Pulse, peer: EntryPeer, now: float) -> None:
        """Record the limits that a peer reports."""
        self.state.limits.record_reports(broadcast.limits, now)

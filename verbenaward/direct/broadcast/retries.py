"""Section: whether a process that has just started asks for a part of the retry budget."""

from typing import Any

from ...schema.messages import Pulse
from ..budget_grants import THOUSANDTHS
from ..entry_peers import EntryPeer
from .sections import SECTIONS, SharedState


@SECTIONS.register("retries")
class RetriesSection:
    """The question of this process, and its answers, which go to the one that has asked."""

    def __init__(self, state: SharedState) -> None:
        self.state = state

    def fields(self, now: float) -> dict[str, Any]:
        """Return whether this process asks."""
        return {"asks_retries": self.state.budget.asks(now)}

    def apply(self, broadcast: Pulse, peer: EntryPeer, now: float) -> None:
        """Give a part to a peer that asks."""
        if not broadcast.asks_retries:
            return
        retries = self.state.budget.give(broadcast.incarnation, now)
        if retries:
            thousandths = round(retries * THOUSANDTHS)
            grant = Pulse(grant_to=broadcast.incarnation, grant_thousandths=thousandths)
            self.state.send(grant, peer.control)

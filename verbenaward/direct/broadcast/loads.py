"""Section: the load that a process puts on each backend."""

from typing import Any

from ...placement.backends import REMOTE_LOAD_TTL_SECONDS, RemoteLoad
from ...placement.fleet import Fleet
from ...placement.levels import LessUrgent
from ...schema.messages import BackendLoad, Pulse
from ..entry_peers import EntryPeer
from ..peer_table import MAXIMUM_TARGETS
from .sections import SECTIONS, SharedState

TTL_INTERVALS = 2.0
"""Time for which a report counts, in mean intervals between two reports of a peer."""
FULL_BROADCAST_SECONDS = 1.0
"""Longest time between two full broadcasts of a peer."""
MAXIMUM_REPORT_TTL_SECONDS = 8.0
"""Most requests have ended by then, so an older report says nothing of the present load."""


@SECTIONS.register("loads")
class LoadsSection:
    """Requests and prompt tokens in flight, by backend."""

    def __init__(self, state: SharedState) -> None:
        self.fleet = state.fleet
        self.peers = state.peers

    def fields(self, now: float) -> dict[str, Any]:
        """Return the load that this process puts on backends."""
        return {"loads": own_loads(self.fleet)}

    def apply(self, broadcast: Pulse, peer: EntryPeer, now: float) -> None:
        """Replace the loads that a peer puts on backends."""
        loads = {load.backend: load for load in broadcast.loads}
        ttl = report_ttl_seconds(len(self.peers.by_control))
        for view in self.fleet.backends.values():
            load = loads.get(view.short_name)
            if load is not None:
                view.remote_loads[broadcast.vm] = remote_load(load, now, ttl)
            else:
                view.remote_loads.pop(broadcast.vm, None)


def own_loads(fleet: Fleet) -> tuple[BackendLoad, ...]:
    """Return the requests and prompt tokens that this process has in flight, by backend."""
    return tuple(
        BackendLoad(
            view.short_name,
            view.running,
            max(0, view.prompt_tokens),
            *view.less_urgent.requests,
            *view.less_urgent.prompt_tokens,
        )
        for view in fleet.backends.values()
        if view.running
    )


def report_ttl_seconds(peers: int) -> float:
    """Return the age from which the load in a full broadcast is ignored.

    With many peers each broadcast reaches a sample of them, so the reports of one peer arrive
    seldom. If they were ignored before the next one, its load would count as none for a part of
    the time, and overloaded backends would look idle.
    """
    interval = FULL_BROADCAST_SECONDS * peers / MAXIMUM_TARGETS
    ttl = max(REMOTE_LOAD_TTL_SECONDS, TTL_INTERVALS * interval)
    return min(MAXIMUM_REPORT_TTL_SECONDS, ttl)


def remote_load(load: BackendLoad, now: float, ttl_seconds: float) -> RemoteLoad:
    """Return a reported load with the time of its arrival."""
    less_urgent = LessUrgent(
        (load.waiting_below0, load.waiting_below1), (load.tokens_below0, load.tokens_below1)
    )
    return RemoteLoad(load.running, load.prompt_tokens, now, ttl_seconds, less_urgent)


def apply_changed_loads(
    fleet: Fleet, vm: str, changed: tuple[BackendLoad, ...], ttl_seconds: float, now: float
) -> None:
    """Update the loads of a peer that have changed.

    Args:
      fleet: Backends of this process.
      vm: Name of the peer.
      changed: Its new loads; an empty one means that the backend has none any more.
      ttl_seconds: Age from which they are ignored; unchanged loads come with full broadcasts only.
      now: Present time, monotonic, in seconds.
    """
    loads = {load.backend: load for load in changed}
    for view in fleet.backends.values():
        load = loads.get(view.short_name)
        if load is not None:
            view.remote_loads[vm] = remote_load(load, now, ttl_seconds)

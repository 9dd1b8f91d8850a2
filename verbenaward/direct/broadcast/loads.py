"""Section: the load that a process puts on each backend."""

from typing import Any

from ...placement.backends import RemoteLoad
from ...placement.fleet import Fleet
from ...placement.levels import LessUrgent
from ...schema.messages import BackendLoad, Pulse
from ..entry_peers import EntryPeer
from .sections import SECTIONS, SharedState


@SECTIONS.register("loads")
class LoadsSection:
    """Requests and prompt tokens in flight, by backend."""

    def __init__(self, state: SharedState) -> None:
        self.fleet = state.fleet

    def fields(self, now: float) -> dict[str, Any]:
        """Return the load that this process puts on backends."""
        return {"loads": own_loads(self.fleet)}

    def apply(self, broadcast: Pulse, peer: EntryPeer, now: float) -> None:
        """Replace the loads that a peer puts on backends."""
        loads = {load.backend: load for load in broadcast.loads}
        for view in self.fleet.backends.values():
            load = loads.get(view.short_name)
            if load is not None:
                view.remote_loads[broadcast.vm] = remote_load(load, now)
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


def remote_load(load: BackendLoad, now: float) -> RemoteLoad:
    """Return a reported load with the time of its arrival."""
    less_urgent = LessUrgent(
        (load.waiting_below0, load.waiting_below1), (load.tokens_below0, load.tokens_below1)
    )
    return RemoteLoad(load.running, load.prompt_tokens, now, less_urgent)


def apply_changed_loads(
    fleet: Fleet, vm: str, changed: tuple[BackendLoad, ...], now: float
) -> None:
    """Update the loads of a peer that have changed.

    Args:
      fleet: Backends of this process.
      vm: Name of the peer.
      changed: Its new loads; an empty one means that the backend has none any more.
      now: Present time, monotonic, in seconds.
    """
    loads = {load.backend: load for load in changed}
    for view in fleet.backends.values():
        load = loads.get(view.short_name)
        if load is not None:
            view.remote_loads[vm] = remote_load(load, now)

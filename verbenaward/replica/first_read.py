"""First content of a replica: from a seed process that has read the store, else from the store.

After a restart of all processes, reads of the whole store from every VM would fill the links
between the regions, and time out together. A peer sends the same content compressed, at about a
tenth of the size.
"""

import asyncio
import random
from collections.abc import Sequence

import aiohttp

from .. import clock
from ..configuration.settings import host_of, port_of
from ..platform.key_value import Position
from .peer_transfer import fetch_changes
from .store_replica import Changes

MAXIMUM_SEED_WAIT_SECONDS = 2.5
"""Time after which a process reads the store itself: the seed processes may be lost."""
RETRY_SECONDS = 0.2
CONNECT_SECONDS = 0.15
"""Time to connect to a seed process. After a loss of power the VMs start within fractions of a
second of each other, and a connection to one that has not started yet would hang."""
FRESH_ONLY_SECONDS = 0.001
"""Shortest long poll. A process answers a long poll only while its replica is fresh."""


def seed_controls(seeds: Sequence[str], listen: str) -> list[str]:
    """Return the control addresses of the seed processes; empty if this process is one of them.

    Args:
      seeds: Addresses of the seed processes at any port.
      listen: Control address of this process; all processes of a deployment use the same port.
    """
    hosts = [host_of(seed) for seed in seeds]
    if host_of(listen) in hosts:
        return []
    return [f"{host}:{port_of(listen)}" for host in hosts]


async def read_from_seeds(session: aiohttp.ClientSession, controls: list[str]) -> Changes | None:
    """Return the whole content of the store from a seed process; None if none has it in time."""
    until = clock.now() + MAXIMUM_SEED_WAIT_SECONDS
    while controls and clock.now() < until:
        control = random.choice(controls)
        changes = await fetch_changes(
            session, control, Position(), FRESH_ONLY_SECONDS, CONNECT_SECONDS
        )
        if changes is not None and changes.revision and changes.is_snapshot:
            return changes
        await asyncio.sleep(RETRY_SECONDS * random.uniform(0.5, 1.0))
    return None

"""Decides which of several bodies this process sends next, when its link is the bottleneck.

Bodies that share a narrow link all end late. If their receivers give up meanwhile, what was sent is
sent again, and no receiver may ever be done. So only as many bytes are under way as keep the link
busy, and a body that has begun goes before one that has not. Bodies for engines go before those for
other regions, and among them the engine that lacks least goes first: engines that share the link
equally would all be loaded as late as the last one.

This answers a start of all VMs at once, or a rollout, while links are far narrower than usual.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import IntEnum

QUEUE_SECONDS = 0.1
"""Time that the bytes under way may take on the link: requests and short answers wait behind them.
It is longer than a round trip between regions."""
MINIMUM_UNSENT_BYTES = 32 * 1024
"""Bytes that may be under way on any link."""
MAXIMUM_UNSENT_BYTES = 256 * 1024
"""Bytes that are under way at most."""
CONNECTION_UNSENT_BYTES = 16 * 1024
"""Bytes of one body that are under way at most, so that a slow receiver does not keep the link from
the others, and so that requests to the engine of a receiver with a narrow link wait behind few."""
RATE_WINDOW_SECONDS = 0.1
"""Shortest time over which the rate of the link is measured."""
NARROW_SECONDS = 0.25
"""Time that the bodies which wait would take, from which less urgent ones do not begin."""


class Receiver(IntEnum):
    """Who waits for a body, the most urgent first.

    ENGINE: an endpoint process. REGION: an entry process that passes the chunk on in its region.
    READER: another reader, so that the chunk is not lost with one process.
    """

    ENGINE = 0
    REGION = 1
    READER = 2


@dataclass(frozen=True, slots=True)
class LinkRate:
    """Rate at which receivers acknowledge bytes while more wait to be sent.

    Attributes:
      measured_at: When the measurement began, monotonic, in seconds.
      acknowledged_bytes: Bytes that had been acknowledged then.
      was_busy: True if slices have waited since then because too many bytes were under way.
      bytes_per_second: Rate in the window before; infinity if no slice waited.
      limit_bytes: Bytes that may be under way.
    """

    measured_at: float
    acknowledged_bytes: int
    was_busy: bool = False
    bytes_per_second: float = math.inf
    limit_bytes: int = MINIMUM_UNSENT_BYTES


def updated_rate(rate: LinkRate, acknowledged_bytes: int, is_busy: bool, now: float) -> LinkRate:
    """Return the rate of the link by now.

    Args:
      rate: The rate before.
      acknowledged_bytes: Bytes that have been acknowledged by now.
      is_busy: True if slices wait because too many bytes are under way.
      now: Present time, monotonic, in seconds.
    """
    was_busy = rate.was_busy or is_busy
    seconds = now - rate.measured_at
    if seconds < RATE_WINDOW_SECONDS:
        return replace(rate, was_busy=was_busy)
    if not was_busy:
        return LinkRate(now, acknowledged_bytes, limit_bytes=rate.limit_bytes)
    measured = (acknowledged_bytes - rate.acknowledged_bytes) / seconds
    limit = min(MAXIMUM_UNSENT_BYTES, max(MINIMUM_UNSENT_BYTES, int(QUEUE_SECONDS * measured)))
    return LinkRate(now, acknowledged_bytes, False, measured, limit)


@dataclass(frozen=True, slots=True)
class PendingSlice:
    """The next slice of a body.

    Attributes:
      number: Position of the body in the order of requests.
      receiver: Who waits for it.
      lacking: Chunks of the version that the receiver lacks; 0 if it did not tell.
      has_begun: True once a slice of the body was sent.
      unsent_bytes: Bytes of the body that the receiver has not acknowledged.
    """

    number: int
    receiver: Receiver
    lacking: int
    has_begun: bool
    unsent_bytes: int


def next_slice(
    pending: Collection[PendingSlice], unsent_bytes: int, rate: LinkRate, least: Receiver
) -> PendingSlice | None:
    """Return the slice to send next; None to send nothing now.

    Args:
      pending: The next slice of each body.
      unsent_bytes: Bytes of all bodies that receivers have not acknowledged, without those of
        receivers that take nothing.
      rate: Rate of the link.
      least: Least urgent receiver whose bodies may begin.
    """
    if unsent_bytes >= rate.limit_bytes:
        return None
    ready = [
        item
        for item in pending
        if item.unsent_bytes < CONNECTION_UNSENT_BYTES
        and (item.has_begun or item.receiver <= least)
    ]
    return min(ready, key=rank_of, default=None)


def rank_of(item: PendingSlice) -> tuple[bool, Receiver, int, int]:
    """Return the rank of a slice; the lowest one is sent first."""
    return not item.has_begun, item.receiver, item.lacking, item.number


def least_urgent(waiting_bytes: int, rate: LinkRate, most_urgent: Receiver) -> Receiver:
    """Return the least urgent receiver whose bodies may begin now.

    Args:
      waiting_bytes: Bytes of all bodies that are still to be sent.
      rate: Rate of the link.
      most_urgent: Most urgent receiver that has lately requested a body; its next request may
        follow at once.
    """
    is_narrow = waiting_bytes > NARROW_SECONDS * rate.bytes_per_second
    return most_urgent if is_narrow else Receiver.READER

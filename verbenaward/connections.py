"""The connections to a process: what is closed and refused, with its gauges and log lines.

The decisions are those of `placement/connection_limits.py`.
"""

import asyncio
import random
import resource
from collections.abc import Hashable
from typing import Any, Protocol, runtime_checkable

from aiohttp import web

from . import clock, metrics
from .data import CallerLimits, Refusal
from .logs import get_logger
from .placement.connection_limits import SHORTAGE_REASON, Cause, ConnectionTable, Kind, Phase
from .placement.memory_budget import MemoryBudget
from .requests.refusals import not_run, plain_response_of

LOG = get_logger(__name__)
SWEEP_SECONDS = 0.5
"""Interval at which a server looks for connections whose time has ended, if its role does not."""
LIMIT_INTERVAL_SECONDS = 1.0
"""Interval at which the limit of descriptors is read."""
LINE_INTERVAL_SECONDS = 10.0
"""Least time between two lines about connections that are closed or cannot be read."""
RETRY_AFTER_SECONDS = 1.0
"""Least retry delay of a refusal; a random extension of up to the same time spreads the callers."""


@runtime_checkable
class OpenConnection(Protocol):
    """A connection that can be closed."""

    def end(self, cause: Cause) -> None:
        """Close the connection."""
        ...


def descriptor_limit() -> float:
    """Return the limit of this process on open descriptors; infinite for none."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return float("inf") if soft == resource.RLIM_INFINITY else float(soft)


class Connections:
    """The connections to this process, with their gauges and log lines.

    Attributes:
      table: Decides which connections are accepted, refused and closed.
      limit_read_at: When the limit of descriptors was read, monotonic.
      was_full: True if the process was full at the last look.
      closed_for_room: Connections closed for others since the last line about them.
      closed_for_memory: Connections closed for want of memory since then.
      unreadable: Requests that could not be parsed since then.
      line_at: When that line was written, monotonic.
      excessive: Connections that sent too much since the last line about them.
      excess_line_at: When that line was written, monotonic.
    """

    def __init__(self, memory: MemoryBudget | None = None) -> None:
        self.table = ConnectionTable(self.close, memory)
        self.limit_read_at = float("-inf")
        self.was_full = False
        self.closed_for_room = 0
        self.closed_for_memory = 0
        self.unreadable = 0
        self.line_at = float("-inf")
        self.excessive = 0
        self.excess_line_at = float("-inf")

    def close(self, connection: Hashable, cause: Cause) -> None:
        """Close a connection for a cause."""
        metrics.CONNECTIONS_CLOSED.labels(cause.value).inc()
        self.closed_for_room += cause is Cause.ROOM
        self.closed_for_memory += cause is Cause.MEMORY
        if isinstance(connection, OpenConnection):
            connection.end(cause)

    def is_full(self, now: float) -> bool:
        """Return True if the process cannot take a connection, or could not a moment ago."""
        return self.table.is_full(now)

    def record_shortage(self) -> None:
        """Record that a send got no descriptor."""
        metrics.DESCRIPTOR_SHORTAGES.inc()
        self.table.record_shortage(clock.now())

    def refuse(self, request: web.BaseRequest) -> web.Response:
        """Return the refusal of a request, after which its connection is closed."""
        message = "the process has no descriptors for more connections"
        wait = RETRY_AFTER_SECONDS * random.uniform(1.0, 2.0)
        refusal = not_run(503, SHORTAGE_REASON, message, wait)
        metrics.CONNECTIONS_REFUSED.inc()
        self.log_refused(request, refusal)
        response = plain_response_of(refusal)
        response.force_close()
        return response

    def log_refused(self, request: web.BaseRequest, refusal: Refusal) -> None:
        """Log the refusal of a request; the table logs that the process is full anyway."""

    def sweep(self, limits: CallerLimits | None, now: float) -> None:
        """Close the connections whose time has ended; log whether the process is full.

        Args:
          limits: Limits of the configuration in force; None while there is none.
          now: Present time, monotonic, in seconds.
        """
        table = self.table
        table.limits = limits or CallerLimits()
        if now - self.limit_read_at >= LIMIT_INTERVAL_SECONDS:
            self.limit_read_at = now
            table.descriptors = descriptor_limit()
            table.memory.publish()
        table.sweep(now)
        for kind in Kind:
            metrics.OPEN_CONNECTIONS.labels(kind.value).set(table.open_by_kind[kind])
        if table.is_full(now) != self.was_full:
            self.was_full = not self.was_full
            if self.was_full:
                LOG.warning("connections.full", **self.counts())
            else:
                LOG.info("connections.available", **self.counts())
        if now - self.line_at >= LINE_INTERVAL_SECONDS:
            self.log_closed(now)

    def log_closed(self, now: float) -> None:
        """Log what was closed or could not be parsed since the last line, if anything."""
        if not (self.closed_for_room or self.closed_for_memory or self.unreadable):
            return
        LOG.warning(
            "connections.short",
            closed=self.closed_for_room,
            closed_for_memory=self.closed_for_memory,
            unreadable=self.unreadable,
            **self.counts(),
        )
        self.closed_for_room = self.closed_for_memory = self.unreadable = 0
        self.line_at = now

    def record_excess(self, kind: Kind, raw_bytes: int, now: float) -> None:
        """Count a connection that sent too much; a crowd of them writes few lines."""
        self.excessive += 1
        if now - self.excess_line_at >= LINE_INTERVAL_SECONDS:
            LOG.warning(
                "connection.excess", kind=kind.value, raw_bytes=raw_bytes, closed=self.excessive
            )
            self.excessive = 0
            self.excess_line_at = now

    async def run(self) -> None:
        """Sweep until cancelled, for a role that has no limits of callers."""
        while True:
            self.sweep(None, clock.now())
            await asyncio.sleep(SWEEP_SECONDS)

    def counts(self) -> dict[str, Any]:
        """Return the open connections by kind, those with a request and the limit, for a line."""
        table = self.table
        limit = table.descriptors
        return {
            "open": {kind.value: table.open_by_kind[kind] for kind in Kind},
            "busy": len(table.members[Phase.BUSY]) + len(table.other_members[Phase.BUSY]),
            "limit": int(limit) if limit != float("inf") else 0,
        }

"""Keeps the connections to an entry process within the limits of callers and of descriptors.

The decisions are those of `placement/connection_limits.py`; here are the hooks into aiohttp's
server that feed them.
"""

import asyncio
import random
import resource
from collections.abc import Hashable
from typing import Any

from aiohttp import web

from .. import clock, metrics
from ..arriving_bytes import BoundedHandler, BoundedRunner, BoundedServer
from ..data import CallerLimits
from ..header_bytes import head_writer
from ..logs import get_logger
from ..placement.connection_limits import (
    LIMITED_KINDS,
    SHORTAGE_REASON,
    Cause,
    ConnectionTable,
    Kind,
    Phase,
    Verdict,
)
from ..platform import names
from ..requests.refusals import not_run
from .front import refusal_response
from .request_log import RequestLog

LOG = get_logger(__name__)
UNUSED_KEEPALIVE_SECONDS = 86_400.0
"""Idle time for aiohttp's own timer, which does not follow a limit that changes."""
LIMIT_INTERVAL_SECONDS = 1.0
"""Interval at which the limit of descriptors is read."""
LINE_INTERVAL_SECONDS = 10.0
"""Least time between two lines about connections that are closed to make room."""
RETRY_AFTER_SECONDS = 1.0
"""Least retry delay of a refusal; a random extension of up to the same time spreads the callers."""
LATE_HEADER = (
    b"HTTP/1.1 408 Request Timeout\r\nX-Reason: slow-caller\r\nX-Verdict: not-run\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
"""Answer to a header that did not arrive in time."""


def descriptor_limit() -> float:
    """Return the limit of this process on open descriptors; infinite for none."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return float("inf") if soft == resource.RLIM_INFINITY else float(soft)


class Connections:
    """The connections to this process, with their gauges and log lines.

    Attributes:
      log: Writes log lines about requests.
      table: Decides which connections are accepted, refused and closed.
      limit_read_at: When the limit of descriptors was read, monotonic.
      was_full: True if the process was full at the last look.
      closed_for_room: Connections closed for others since the last line about them.
      line_at: When that line was written, monotonic.
    """

    def __init__(self, log: RequestLog) -> None:
        self.log = log
        self.table = ConnectionTable(self.close)
        self.limit_read_at = float("-inf")
        self.was_full = False
        self.closed_for_room = 0
        self.line_at = float("-inf")

    def close(self, connection: Hashable, cause: Cause) -> None:
        """Close a connection for a cause."""
        metrics.CONNECTIONS_CLOSED.labels(cause.value).inc()
        if cause is Cause.ROOM:
            self.closed_for_room += 1
        if isinstance(connection, ConnectionHandler):
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
        self.log.refused_early(request.headers.get(names.REQUEST_ID, ""), refusal)
        response = refusal_response(refusal)
        response.force_close()
        return response

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
        table.sweep(now)
        for kind in Kind:
            metrics.OPEN_CONNECTIONS.labels(kind.value).set(table.open_by_kind[kind])
        if table.is_full(now) != self.was_full:
            self.was_full = not self.was_full
            if self.was_full:
                LOG.warning("connections.full", **self.counts())
            else:
                LOG.info("connections.available", **self.counts())
        if self.closed_for_room and now - self.line_at >= LINE_INTERVAL_SECONDS:
            LOG.warning("connections.short", closed=self.closed_for_room, **self.counts())
            self.closed_for_room = 0
            self.line_at = now

    def counts(self) -> dict[str, Any]:
        """Return the open connections by kind, those with a request and the limit, for a line."""
        table = self.table
        limit = table.descriptors
        return {
            "open": {kind.value: table.open_by_kind[kind] for kind in Kind},
            "busy": len(table.members[Phase.BUSY]),
            "limit": int(limit) if limit != float("inf") else 0,
        }


class ConnectionHandler(BoundedHandler):
    """One connection, which reports to `Connections`.

    Attributes:
      wire: Transport of the connection; None before it is made.
    """

    __slots__ = ("connections", "kind", "wire")

    def __init__(
        self, manager: web.Server, connections: Connections, kind: Kind, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self.connections = connections
        self.kind = kind
        self.wire: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection, or drop it."""
        super().connection_made(transport)
        self.wire = self.transport
        table, now = self.connections.table, clock.now()
        if table.opened(self, self.kind, now) is Verdict.DROP:
            table.end(self, Cause.DROPPED, now)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record that the connection has ended."""
        self.connections.table.lost(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what was received."""
        if data:
            self.connections.table.received(self, clock.now())
        super().data_received(data)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the rest of an answer; once the request is read too, the connection is idle.

        A request that is refused early may still send its body.
        """
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            request.content.on_eof(lambda: self.connections.table.ended(self, clock.now()))

    def abort_excess(self) -> None:
        """Abort the connection of a caller that sends bytes without end."""
        LOG.warning("connection.excess", kind=self.kind.value, raw_bytes=self.arriving.raw)
        metrics.CONNECTIONS_CLOSED.labels(Cause.EXCESS.value).inc()
        super().abort_excess()

    def end(self, cause: Cause) -> None:
        """Close the connection; at once if that is the only way to release its descriptor."""
        if self.wire is None:
            return
        if cause is Cause.HEADER and not self.wire.is_closing():
            self.wire.write(LATE_HEADER)
        self.force_close()
        if cause in (Cause.UNREAD, Cause.DROPPED):
            self.wire.abort()


class ConnectionServer(BoundedServer):
    """Makes the handlers of the connections to one listener, and refuses their requests.

    Attributes:
      limiter: The connections of the process.
      kind: What the connections to this listener are for.
    """

    def __init__(
        self, inner: web.Server, limiter: Connections, kind: Kind, options: dict[str, Any]
    ) -> None:
        super().__init__(inner, options)
        self.limiter = limiter
        self.kind = kind

    def __call__(self) -> ConnectionHandler:
        """Return the handler of a new connection."""
        loop = asyncio.get_running_loop()
        return ConnectionHandler(self, self.limiter, self.kind, loop=loop, **self.options)

    def begin(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        """Record that a request begins and return it, with a writer that keeps bytes of headers."""
        self.limiter.table.began(protocol, clock.now())
        return super().begin(message, payload, protocol, head_writer(writer, protocol), task)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request; with a refusal if its connection is one too many."""
        if self.limiter.table.is_refused(request.protocol):
            return self.limiter.refuse(request)
        return await super().answer(request)


class ConnectionRunner(BoundedRunner):
    """Runs an application whose connections are kept within their limits."""

    def __init__(
        self,
        application: web.Application,
        connections: Connections,
        kind: Kind,
        shutdown_timeout: float,
        **options: Any,
    ) -> None:
        super().__init__(application, shutdown_timeout, **options)
        self.connections = connections
        self.kind = kind
        if kind in LIMITED_KINDS:
            self.options["keepalive_timeout"] = UNUSED_KEEPALIVE_SECONDS

    async def _make_server(self) -> BoundedServer:
        bounded = await super()._make_server()
        return ConnectionServer(bounded.inner, self.connections, self.kind, self.options)

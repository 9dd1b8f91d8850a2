"""HTTP servers whose connections stay within the descriptors and the memory of their process.

The decisions are those of `placement/connection_limits.py`; here are the hooks into aiohttp's
server that feed them. All listeners of all programs use them.
"""

import asyncio
import contextlib
import socket
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.web_protocol import _ErrInfo

from . import clock
from .arriving_bytes import HEAD_SLACK_BYTES, ArrivingBytes
from .bounded_reading import KIBIBYTE
from .configuration.settings import host_of, port_of
from .connections import Connections
from .header_bytes import head_writer
from .placement.connection_limits import (
    Cause,
    ConnectionTable,
    Kind,
    Verdict,
)
from .requests.refusals import not_run, plain_response_of

UNUSED_KEEPALIVE_SECONDS = 86_400.0
"""Idle time for aiohttp's own timer, which does not follow a limit that changes."""
SLICE_BYTES = 16 * KIBIBYTE
"""What is parsed at once, so that a head that is too long ends early."""
RECEIVE_BUFFER_BYTES = 64 * KIBIBYTE
"""Receive buffer of a connection, which the kernel doubles: it limits what is read at once, and
what is not read while a request waits. Without a limit it grows to several megabytes."""
LONGEST_LINE_BYTES = 64 * KIBIBYTE
"""Longest line that the parser takes. It is above the usual limit on a whole head, which is checked
first, as each error of the parser costs far more."""
LONGEST_MESSAGE = 200
"""Characters of a parser's message in the answer; it repeats what was received."""
BACKLOG = 512
CLOSING_ANSWERS = {
    Cause.HEADER: (
        b"HTTP/1.1 408 Request Timeout\r\nX-Reason: slow-caller\r\nX-Verdict: not-run\r\n"
        b"Content-Length: 0\r\nConnection: close\r\n\r\n"
    ),
    Cause.LONG_HEAD: (
        b"HTTP/1.1 431 Request Header Fields Too Large\r\nX-Reason: long-header\r\n"
        b"X-Verdict: not-run\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    ),
    Cause.UNREADABLE: (
        b"HTTP/1.1 400 Bad Request\r\nX-Reason: unreadable\r\nX-Verdict: not-run\r\n"
        b"Content-Length: 0\r\nConnection: close\r\n\r\n"
    ),
}
"""Answers to headers that did not arrive in time, are too long or cannot be parsed."""
ABORTING = (Cause.UNREAD, Cause.DROPPED, Cause.EXCESS, Cause.MEMORY)
"""Causes after which nothing that is left to write is of use."""


class BoundedHandler(web.RequestHandler):
    """One connection, which reports to `Connections` and ends if it sends bytes without end.

    Attributes:
      connections: The connections of the process.
      kind: What the connection is for.
      wire: Transport of the connection; None before it is made.
      arriving: Counters of what it sends.
      latest_body: Body of the request that was parsed last; None before the first one.
    """

    __slots__ = ("arriving", "connections", "kind", "latest_body", "wire")

    def __init__(
        self, manager: web.Server, connections: Connections, kind: Kind, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self.connections = connections
        self.kind = kind
        self.wire: asyncio.Transport | None = None
        self.arriving = ArrivingBytes(counts_bodies=kind is not Kind.CALLER)
        self.latest_body: StreamReader | None = None

    @property
    def table(self) -> ConnectionTable:
        """Return the table of the connections of the process."""
        return self.connections.table

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection, or drop it."""
        super().connection_made(transport)
        self.wire = self.transport
        now = clock.now()
        if self.table.opened(self, self.kind, now) is Verdict.DROP:
            self.table.end(self, Cause.DROPPED, now)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record that the connection has ended."""
        self.table.lost(self)
        super().connection_lost(exc)
        self._messages.clear()

    def pause_writing(self) -> None:
        """Record that the caller does not read."""
        super().pause_writing()
        self.record_held()

    def resume_writing(self) -> None:
        """Record that the caller reads again."""
        super().resume_writing()
        self.record_held()

    def record_held(self) -> None:
        """Report what the connection holds."""
        arriving, wire = self.arriving, self.wire
        unread = wire.get_write_buffer_size() if self.writing_paused and wire is not None else 0
        # Without a paused queue of requests the handler reads on soon.
        unparsed = 2 * RECEIVE_BUFFER_BYTES if self._buffer_paused else 0
        self.table.hold(
            self,
            arriving.held + unread + unparsed,
            clock.now(),
            is_waiting=arriving.is_waiting,
            is_unread=self.writing_paused,
        )

    @property
    def has_failed(self) -> bool:
        """Return True if the last that was parsed is an error, after which no request can follow.

        aiohttp's parser would fail again with each further piece, and queue an error that holds it.
        """
        return bool(self._messages) and isinstance(self._messages[-1][0], _ErrInfo)

    @property
    def longest_head(self) -> int:
        """Return the most bytes that a head may have."""
        return self.table.limits_of(self).max_header_bytes + HEAD_SLACK_BYTES

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, in slices; end the connection if it is too much."""
        if not data:
            super().data_received(data)
            return
        self.table.received(self, clock.now())
        start = 0
        while start < len(data) and self.transport is not None:
            size = SLICE_BYTES
            if self.is_in_head:
                size = min(size, self.longest_head + 1 - self.arriving.head)
            self.parse(data[start : start + size])
            start += size
            if self.arriving.are_too_many():
                self.end_excess(Cause.EXCESS)
            elif self.arriving.head > self.longest_head:
                self.end_excess(Cause.LONG_HEAD)
        self.record_held()

    @property
    def is_in_head(self) -> bool:
        """Return True if what comes next belongs to a head."""
        return self.latest_body is None or self.latest_body.is_eof()

    def parse(self, piece: bytes) -> None:
        """Parse a piece and count it as what it is."""
        if self.has_failed:
            self.arriving.drop(piece)
            return
        if self._upgraded:
            self.arriving.add_other_protocol(piece)
            super().data_received(piece)
            return
        was_in_head, before = self.is_in_head, self._request_count
        super().data_received(piece)
        if self.has_failed:
            self.end_unreadable()
            return
        requests = self._request_count - before
        if requests:
            body = self._messages[-1][1]
            self.latest_body = body if isinstance(body, StreamReader) else None
        if was_in_head or requests:
            self.arriving.add_head(piece, requests)
        else:
            self.arriving.add_body(piece)

    def end_unreadable(self) -> None:
        """End the connection after an error of the parser, unless a request has to be answered.

        Then the error is answered after that one.
        """
        error = self._messages[-1][0]
        assert isinstance(error, _ErrInfo)
        # The traceback refers to the error and the bytes, so nothing of them would be freed.
        error.exc.with_traceback(None)
        if not self._request_in_progress and len(self._messages) == 1:
            self.connections.unreadable += 1
            self.table.end(self, Cause.UNREADABLE, clock.now())

    def end_excess(self, cause: Cause) -> None:
        """End the connection of a caller that sends more than any one may."""
        now = clock.now()
        self.connections.record_excess(self.kind, self.arriving.raw, now)
        self.table.end(self, cause, now)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the rest of an answer; once the request is read too, the connection is idle.

        A request that is refused early may still send its body.
        """
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.arriving.end()
            self.record_held()
            request.content.on_eof(lambda: self.table.ended(self, clock.now()))

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that cannot be parsed; a crowd of them writes one line, not one each."""
        if status != 400:
            return super().handle_error(request, status, exc, message)
        self.connections.unreadable += 1
        text = (message or "the request cannot be parsed")[:LONGEST_MESSAGE]
        response = plain_response_of(not_run(status, "unreadable", text))
        response.force_close()
        return response

    def end(self, cause: Cause) -> None:
        """Close the connection; at once if nothing that is left to write is of use."""
        if self.wire is None:
            return
        answer = CLOSING_ANSWERS.get(cause)
        # An answer now would be taken for that of a request before.
        is_aborted = cause in ABORTING or (answer is not None and self.has_requests)
        if answer is not None and not is_aborted and not self.wire.is_closing():
            self.wire.write(answer)
        self.force_close()
        if is_aborted:
            self.wire.abort()
        if is_aborted or answer is not None:
            self.drop_requests()

    @property
    def has_requests(self) -> bool:
        """Return True if a request is being answered or waits."""
        is_waiting = any(not isinstance(message, _ErrInfo) for message, _ in self._messages)
        return self._request_in_progress or is_waiting

    def drop_requests(self) -> None:
        """Release the requests that wait, parsed or not; nobody can get their answers."""
        self._messages.clear()
        self._message_tail = b""
        # It holds what is not parsed, and many connections may end before one is closed.
        self._parser = None
        if self._task_handler is not None:
            self._task_handler.cancel()

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log an error, unless it only says that this process has ended the connection."""
        if self.transport is not None:
            super().log_exception(*args, **options)


class BoundedServer(web.Server):
    """Makes the handlers of the connections to one listener, and refuses their requests.

    Attributes:
      inner: Server of the application.
      limiter: The connections of the process.
      kind: What the connections to this listener are for.
      options: Options of the handlers.
    """

    def __init__(
        self, inner: web.Server, connections: Connections, kind: Kind, options: dict[str, Any]
    ) -> None:
        super().__init__(self.answer, request_factory=self.begin, handler_cancellation=True)
        self.inner = inner
        self.limiter = connections
        self.kind = kind
        self.options = options

    def __call__(self) -> BoundedHandler:
        """Return the handler of a new connection."""
        loop = asyncio.get_running_loop()
        return BoundedHandler(self, self.limiter, self.kind, loop=loop, **self.options)

    def begin(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        """Record that a request begins and return it, with a writer that keeps bytes of headers."""
        protocol.arriving.begin(payload)
        self.limiter.table.began(protocol, clock.now())
        protocol.record_held()
        writer = head_writer(writer, protocol)
        return self.inner.request_factory(message, payload, protocol, writer, task)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request; with a refusal if its connection is one too many, or for a tunnel."""
        if self.limiter.table.is_refused(request.protocol):
            return self.limiter.refuse(request)
        if request.method == "CONNECT":
            response = plain_response_of(not_run(405, "no-tunnel", "this server opens no tunnels"))
            response.force_close()
            return response
        answered: web.StreamResponse = await self.inner.request_handler(request)
        return answered


class BoundedRunner(web.AppRunner):
    """Runs an application whose connections are kept within their limits.

    Requests are cancelled if their callers leave.
    """

    def __init__(
        self,
        application: web.Application,
        connections: Connections,
        kind: Kind,
        shutdown_timeout: float = 60.0,
        **options: Any,
    ) -> None:
        super().__init__(application, shutdown_timeout=shutdown_timeout)
        self.connections = connections
        self.kind = kind
        self.options = {
            "keepalive_timeout": UNUSED_KEEPALIVE_SECONDS,
            "max_line_size": LONGEST_LINE_BYTES,
            "max_field_size": LONGEST_LINE_BYTES,
            **options,
        }

    async def _make_server(self) -> BoundedServer:
        inner = await super()._make_server()
        return BoundedServer(inner, self.connections, self.kind, self.options)


async def open_listener(runner: web.AppRunner, address: str, backlog: int = BACKLOG) -> None:
    """Set an application's runner up and listen at an address, with small receive buffers.

    Raises:
      OSError: The address is in use.
    """
    await runner.setup()
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    with contextlib.ExitStack() as stack:
        stack.callback(listener.close)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setblocking(False)
        listener.bind((host_of(address), port_of(address)))
        await web.SockSite(runner, listener, backlog=backlog).start()
        stack.pop_all()

"""Bounds on what one connection buffers, for callers and backends that read or send slowly.

A stream whose caller does not read is paused at its backend: events are only read while what was
written before is on its way, and the buffers on both sides are small. The bounds are in force if
the settings name a memory limit.
"""

import asyncio
import contextlib
import socket
from typing import Any

from aiohttp import web
from returns.result import Failure, Result

from ..data import Refusal
from ..placement.request_types import RefusedError
from ..sockets import keepalive_socket, unsent_bytes

READ_BUFFER_BYTES = 16 * 1024
"""Argument `read_bufsize` of aiohttp: reading pauses once twice this size is buffered, and resumes
below it. With its default of 256 KiB, a caller that takes 10 KB/s would leave its backend unread
for 26 s, and backends cut off answers that are unread for some seconds."""
KERNEL_BUFFER_BYTES = 64 * 1024
"""Send buffer of a caller's and receive buffer of a backend's connection; the kernel doubles it.
Without a limit it grows to several megabytes for each. 64 KiB each round trip of 6 ms is more than
any stream needs."""
WRITE_BUFFER_BYTES = 32 * 1024
"""Unsent bytes of a caller's connection from which its stream is paused."""
WRITE_RESUME_BYTES = 24 * 1024
"""Unsent bytes below which it goes on: 8 KiB less, so a slow caller's stream pauses briefly."""
PAUSED_STREAM_BYTES = 2 * READ_BUFFER_BYTES + 2 * KERNEL_BUFFER_BYTES
"""Bytes that the side of the backend may hold of a paused stream: the answer as parsed, and one
read, which the doubled receive buffer limits."""
UNREAD_SECONDS = 1.0
"""Sum of the pauses of a stream from which a break of its answer is blamed on the caller. Backends
cut off answers that are unread for some seconds, and the reading of one that has stopped does not
go on with each short pause."""
STALLED_ANSWER_SECONDS = 10.0
"""Interval at which the progress of a whole answer is checked; without any it is abandoned. A
caller that reads slowly but steadily makes progress in that time; it is the same limit as for
sending a body."""


def raise_refusal(result: Result[None, Refusal]) -> None:
    """Raise the refusal in a result, if there is one.

    Raises:
      RefusedError: The bytes may not be held.
    """
    if isinstance(result, Failure):
        raise RefusedError(result.failure())


def small_buffer_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Create a socket for a backend whose receive buffer stays small."""
    connection = keepalive_socket(address_info)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    return connection


def limit_send_buffers(caller: web.Request) -> None:
    """Keep the send buffers of a caller's connection small."""
    transport = caller.transport
    if transport is None or transport.is_closing():
        return
    transport.set_write_buffer_limits(WRITE_BUFFER_BYTES, WRITE_RESUME_BYTES)
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)


async def write_whole_answer(caller: web.Request, response: web.Response) -> None:
    """Write a whole answer, as long as the caller goes on reading it.

    Raises:
      ConnectionError: The caller closed its connection, or has read nothing for
        `STALLED_ANSWER_SECONDS`.
    """
    limit_send_buffers(caller)
    await response.prepare(caller)
    writing = asyncio.ensure_future(response.write_eof())
    unsent = -1
    try:
        while True:
            await asyncio.wait((writing,), timeout=STALLED_ANSWER_SECONDS)
            if writing.done():
                writing.result()
                return
            if unsent == unsent_bytes(caller):
                raise ConnectionError("the caller does not read the answer")
            unsent = unsent_bytes(caller)
    finally:
        writing.cancel()
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await writing

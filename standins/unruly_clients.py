"""Stand-ins of clients that do not behave: heads, bodies and pipelines that never end.

Each habit is what one connection sends: a beginning, then the same block again and again.
"""

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass

BLOCK_BYTES = 64 * 1024
MOST_BYTES = 1024 * 1024
"""Most bytes that one connection sends; then it stays open and silent."""
CONNECT_SECONDS = 1.0
RETURN_SECONDS = 0.05
"""Pause before a client whose connection was closed opens the next one."""
LINE_BYTES = 16 * 1024
"""Length of the longest line that a listener takes."""


@dataclass(frozen=True, slots=True)
class Habit:
    """What a client sends on each of its connections.

    Attributes:
      beginning: Sent first.
      block: Sent again and again after it; empty for nothing more.
      most_bytes: Most bytes on one connection.
      is_reading: False if it reads no answer.
    """

    beginning: bytes
    block: bytes = b""
    most_bytes: int = MOST_BYTES
    is_reading: bool = True


def repeated(line: bytes) -> bytes:
    """Return about a block of the same line."""
    return line * max(1, BLOCK_BYTES // len(line))


def head(first_line: bytes, *fields: bytes) -> bytes:
    """Return a whole head."""
    return b"\r\n".join((first_line + b" HTTP/1.1", b"Host: caller.example", *fields, b"", b""))


def long_field(size: int) -> bytes:
    """Return a header line of a size in bytes."""
    return b"X-A: " + b"a" * (size - 7) + b"\r\n"


GET = b"GET /look/x HTTP/1.1\r\nHost: caller.example\r\n"
CHUNKED = head(b"POST /look/x", b"Transfer-Encoding: chunked", b"X-Deadline-Ms: 2000")
LETTERS = b"a" * BLOCK_BYTES
OPEN_LINES = 31 * long_field(LINE_BYTES)
OPEN_SHORT_LINES = 120 * long_field(4096)
WHOLE_LONG_HEAD = GET + 40 * long_field(4096) + b"\r\n"
LARGEST_HEAD = GET + 3 * long_field(5000) + b"\r\n"
"""A whole head just below 16 KiB, which is no fault by itself."""
LONG_BODY = b"Content-Length: 100000000"
ALLOWED_BODY = b"Content-Length: 4000000"
HABITS = {
    "a request line without end": Habit(b"GET /", LETTERS),
    "a header line without end": Habit(GET + b"X-A: ", LETTERS),
    "short header lines without end": Habit(GET, repeated(b"a:b\r\n")),
    "header lines of 1 KB without end": Habit(GET, repeated(long_field(1024))),
    "another protocol's preface and bytes without end": Habit(
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", LETTERS
    ),
    "CONNECT and bytes without end": Habit(head(b"CONNECT caller.example:443"), LETTERS),
    "Upgrade and bytes without end": Habit(
        head(b"GET /look/x", b"Connection: Upgrade", b"Upgrade: websocket"), LETTERS
    ),
    "31 header lines of 16 KB and no end": Habit(GET + OPEN_LINES),
    "120 header lines of 4 KB and no end": Habit(GET + OPEN_SHORT_LINES),
    "120 short header lines and no end": Habit(GET + 120 * b"a:b\r\n"),
    "one header line of 15 KB and no end": Habit(GET + long_field(15 * 1024)),
    "whole heads over the limit": Habit(b"", WHOLE_LONG_HEAD),
    "empty lines without end": Habit(b"", repeated(b"\r\n")),
    "400 KB of empty lines and a head without end": Habit(200_000 * b"\r\n" + GET),
    "bodies of 60 KB that stop": Habit(head(b"POST /look/x", LONG_BODY) + b"a" * 60_000),
    "bodies of 1 MB that stop": Habit(head(b"POST /look/x", LONG_BODY), LETTERS),
    "bodies of 3 MB for a model that stop": Habit(
        head(b"POST /v1/chat/completions", ALLOWED_BODY), LETTERS, 3_000_000
    ),
    "bodies of 3 MB for a run that stop": Habit(
        head(b"POST /run", ALLOWED_BODY), LETTERS, 3_000_000
    ),
    "control messages of 3 MB that stop": Habit(
        head(b"POST /control/ConfigurationOffer", ALLOWED_BODY), LETTERS, 3_000_000
    ),
    "a body in chunks of one byte without end": Habit(CHUNKED, repeated(b"1\r\na\r\n")),
    "trailers without end": Habit(CHUNKED + b"0\r\n", repeated(b"X-A: b\r\n")),
    "pipelined requests and reads no answer": Habit(b"", repeated(GET + b"\r\n"), is_reading=False),
    "pipelined heads of 15 KB and reads no answer": Habit(b"", LARGEST_HEAD, is_reading=False),
    "requests for metrics and reads no answer": Habit(
        b"", repeated(head(b"GET /metrics")), is_reading=False
    ),
    "requests for all items and reads no answer": Habit(
        b"", repeated(head(b"GET /items/0")), is_reading=False
    ),
    "long polls for items": Habit(head(b"GET /items/999999999999?wait=10")),
    "nothing": Habit(b""),
}
"""Habits by what their clients send."""


@dataclass(slots=True)
class Crowd:
    """Clients of one habit at one address, whose connections are replaced when they are closed.

    Attributes:
      address: Host and port.
      habit: What each client sends.
      count: Connections at once.
      opened: Connections that were opened.
      closed: Connections that the process has ended.
    """

    address: str
    habit: Habit
    count: int
    opened: int = 0
    closed: int = 0

    async def run(self, seconds: float) -> None:
        """Keep the connections open for a time, then leave.

        Args:
          seconds: How long.
        """
        until = time.monotonic() + seconds
        await asyncio.gather(*(self.come_back(until) for _ in range(self.count)))

    async def come_back(self, until: float) -> None:
        """Open one connection after the other until a time, monotonic."""
        while time.monotonic() < until:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout_at(self.loop_time(until)):
                    await self.connect_once()
                self.closed += 1
            await asyncio.sleep(RETURN_SECONDS * random.uniform(0.5, 1.5))

    @staticmethod
    def loop_time(until: float) -> float:
        """Return a monotonic time as the event loop counts it."""
        return asyncio.get_running_loop().time() + until - time.monotonic()

    async def connect_once(self) -> None:
        """Send what the habit says, and wait until the process closes the connection.

        Raises:
          OSError: The connection was refused or reset.
          TimeoutError: It could not be opened in time.
        """
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port), limit=BLOCK_BYTES)
        self.opened += 1
        try:
            sending = asyncio.create_task(self.send(writer))
            try:
                if not self.habit.is_reading:
                    await sending
                while await reader.read(BLOCK_BYTES):
                    if not self.habit.is_reading:
                        await asyncio.sleep(3600)
            finally:
                sending.cancel()
                with contextlib.suppress(OSError, asyncio.CancelledError):
                    await sending
        finally:
            writer.transport.abort()

    async def send(self, writer: asyncio.StreamWriter) -> None:
        """Send the beginning, then blocks up to the limit."""
        habit = self.habit
        writer.write(habit.beginning)
        await writer.drain()
        sent = len(habit.beginning)
        while habit.block and sent < habit.most_bytes:
            writer.write(habit.block)
            await writer.drain()
            sent += len(habit.block)

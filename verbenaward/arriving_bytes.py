"""Counts of the bytes that the caller of an HTTP server sends, by what they are.

aiohttp limits a line, the number of lines and a decoded body, but not a whole head, empty lines,
the framing of a body, or what comes after an early refusal. Bytes without end there take the time
and the memory of all other requests of the process.
"""

from collections import deque
from dataclasses import dataclass

from aiohttp import StreamReader

from .bounded_reading import KIBIBYTE, MEBIBYTE

HEAD_SLACK_BYTES = KIBIBYTE
"""Bytes that a head may have over its limit, for empty lines before it."""
PIPELINED_BYTES = 512 * KIBIBYTE
"""Most bytes from one request to the next: what is read at once may hold many short ones."""
FRAMING_BYTES = 64 * KIBIBYTE
"""Most bytes of a body's framing beyond its own length, trailers included."""
UNREAD_BODY_BYTES = 8 * MEBIBYTE
"""Most bytes that are read and dropped after a refusal: a caller may send its body before it reads
the refusal, which is lost if the connection is closed meanwhile."""
RAW_BYTES_PER_BODY_BYTE = 2
"""Most bytes on the wire for each byte of a body; chunks of 8 bytes need two."""
OTHER_PROTOCOL_BYTES = 16 * KIBIBYTE
"""Most bytes after a request for another protocol, before its answer, which refuses that."""
COPIES_OF_BODY = 2
"""How often a body is held while its parts are joined."""
COPIES_OF_HEAD = 3
"""How often the parser holds the bytes of a head: as they came, as bytes and as text of a field."""
LINE_BYTES = 400
"""Memory of the objects for a header line beyond its bytes."""


HEAD_END = b"\r\n\r\n"


@dataclass(slots=True)
class WaitingRequest:
    """Memory of a request that was parsed and has not begun, in bytes.

    Attributes:
      head: Memory of its head.
      body: Bytes of its body so far.
    """

    head: int
    body: int = 0


def head_cost(piece: bytes) -> int:
    """Return the memory that the parser takes for a part of a head, in bytes."""
    return COPIES_OF_HEAD * len(piece) + LINE_BYTES * piece.count(b"\n")


class ArrivingBytes:
    """Counts what arrives on a connection since the latest request began, and what is held of it.

    Attributes:
      raw: Bytes since then.
      allowed: Most bytes that may come while no body is read.
      body: Body of the request while it may be read; None else.
      body_before: Bytes of the body that had come by then.
      head: Bytes of a head that has not ended.
      held_head: Memory that the parser holds for it.
      waiting: Requests that have not begun, in their order.
      counts_bodies: True if the body of a request stays in the memory until its answer, and its
        handler does not count it.
      current: Memory of the request that is being answered.
      other_protocol: Bytes after a request for another protocol.
    """

    __slots__ = (
        "allowed",
        "body",
        "body_before",
        "counts_bodies",
        "current",
        "head",
        "held_head",
        "other_protocol",
        "raw",
        "waiting",
    )

    def __init__(self, counts_bodies: bool = False) -> None:
        self.counts_bodies = counts_bodies
        self.raw = 0
        self.allowed = PIPELINED_BYTES
        self.body: StreamReader | None = None
        self.body_before = 0
        self.head = 0
        self.held_head = 0
        self.waiting: deque[WaitingRequest] = deque()
        self.current = 0
        self.other_protocol = 0

    @property
    def held(self) -> int:
        """Return the memory that the connection holds for what has arrived, in bytes."""
        waiting = sum(item.head + item.body for item in self.waiting)
        return self.held_head + waiting + self.current + self.other_protocol

    def begin(self, body: StreamReader) -> None:
        """Count for a request that begins."""
        self.raw = 0
        self.allowed = PIPELINED_BYTES
        self.body = body
        self.body_before = body.total_bytes
        begun = self.waiting.popleft() if self.waiting else WaitingRequest(0)
        self.current = begun.head
        if self.counts_bodies:
            self.current += COPIES_OF_BODY * begun.body

    def end(self) -> None:
        """Count for what comes after an answer."""
        is_unread = self.body is not None and not self.body.is_eof()
        self.raw = 0
        self.allowed = UNREAD_BODY_BYTES if is_unread else PIPELINED_BYTES
        self.body = None
        self.current = 0
        self.other_protocol = 0

    def add_head(self, piece: bytes, requests: int) -> None:
        """Count a part of a head, and the requests whose heads have ended in it.

        What follows the last of them in the piece is counted with that one.
        """
        self.raw += len(piece)
        if not requests:
            self.head += len(piece)
            self.held_head += head_cost(piece)
            return
        end = piece.find(HEAD_END) + len(HEAD_END) if requests == 1 else 0
        heads = piece[:end] if end >= len(HEAD_END) else piece
        held = (self.held_head + head_cost(heads)) // requests
        self.waiting.extend(WaitingRequest(held) for _ in range(requests))
        self.waiting[-1].body += len(piece) - len(heads)
        self.head = self.held_head = 0

    def add_body(self, piece: bytes) -> None:
        """Count a part of a body; what a request that waits has got stays in the memory."""
        self.raw += len(piece)
        if self.waiting:
            self.waiting[-1].body += len(piece)
        elif self.counts_bodies and self.body is not None:
            self.current += COPIES_OF_BODY * len(piece)

    @property
    def is_waiting(self) -> bool:
        """Return True if requests wait, or the rest of a body is awaited that is counted here."""
        is_incomplete = self.body is not None and not self.body.is_eof()
        return bool(self.waiting) or (self.counts_bodies and is_incomplete)

    def add_other_protocol(self, piece: bytes) -> None:
        """Count bytes after a request for another protocol."""
        self.raw += len(piece)
        self.other_protocol += len(piece)

    def drop(self, piece: bytes) -> None:
        """Count bytes that are not parsed, as no request can follow any more."""
        self.raw += len(piece)

    def are_too_many(self) -> bool:
        """Return True if more has arrived than any caller needs to send."""
        if self.other_protocol > OTHER_PROTOCOL_BYTES:
            return True
        if self.body is None:
            return self.raw > self.allowed
        allowed = self.allowed if self.body.is_eof() else FRAMING_BYTES
        body_bytes = self.body.total_bytes - self.body_before
        return self.raw > allowed + RAW_BYTES_PER_BODY_BYTE * body_bytes

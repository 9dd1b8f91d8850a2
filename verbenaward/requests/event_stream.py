"""Incremental parser of event streams (text/event-stream) that keeps their bytes.

The format is that of the HTML standard, section "Server-sent events": lines end with LF, CR LF or
CR, an empty line ends an event, and a byte order mark at the start is no part of the first line.
"""

from dataclasses import dataclass

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LINE_ENDS = b"\r\n"


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event: one or more lines and the empty line after them.

    Attributes:
      start: Offset of its first byte in the bytes with which it was returned.
      end: Offset after its last byte.
      data: Its data, with LF between lines; None if it has no data field. An event without one,
        such as a comment, is forwarded but not dispatched by its reader.
      event_id: Id that it sets, which may be empty; None if it sets none.
    """

    start: int
    end: int
    data: bytes | None
    event_id: str | None


@dataclass(frozen=True, slots=True)
class Received:
    """What can be forwarded after a piece of a stream.

    Attributes:
      raw: Bytes up to the end of the last whole event, as they were received. It may hold line ends
        alone: the LF of a CR that was forwarded before, or empty lines between events.
      events: The events in it.
    """

    raw: bytes
    events: tuple[Event, ...] = ()


NOTHING = Received(b"")


class EventStreamParser:
    """Splits the bytes of one stream, received in pieces of any size, into whole events.

    An event that ends with CR is returned at once; an LF that follows belongs to its last line and
    is returned with the next piece. The time that it takes grows with the number of bytes, not with
    their square.

    Attributes:
      drops_mark: True to leave out a byte order mark at the start, for a part that is joined to an
        earlier one: there the mark would become part of a field's name.
      buffer: Bytes after the last whole event.
      line_start: Offset in the buffer of the line that has not ended.
      is_at_start: True while the stream may still begin with a byte order mark.
      ends_with_cr: True if the last byte received was CR.
      has_lines: True if a line of the next event has ended.
      data_lines: Data fields of that event.
      event_id: Id that it sets; None if it has set none yet.
    """

    def __init__(self, drops_mark: bool = False) -> None:
        self.drops_mark = drops_mark
        self.buffer = bytearray()
        self.line_start = 0
        self.is_at_start = True
        self.ends_with_cr = False
        self.has_lines = False
        self.data_lines: list[bytes] = []
        self.event_id: str | None = None

    @property
    def unfinished_bytes(self) -> int:
        """Return the number of bytes received after the last whole event."""
        return len(self.buffer)

    def feed(self, piece: bytes) -> Received:
        """Return the bytes and events that are whole after a piece.

        Args:
          piece: Next bytes of the stream.
        """
        if self.is_at_start:
            piece = self.after_mark(piece)
        # For bytes, unlike text, these are the line ends of the format.
        lines = piece.splitlines(keepends=True)
        if not lines:
            return NOTHING
        position, end = len(self.buffer), 0
        if self.ends_with_cr and lines[0] == b"\n":
            # With nothing before it, it belongs to an event that was returned.
            end = 0 if position else 1
            position += 1
            self.line_start = position
            del lines[0]
        self.ends_with_cr = piece.endswith(b"\r")
        events = []
        for line in lines:
            content = line.rstrip(LINE_ENDS)
            if len(content) == len(line):
                break
            if self.line_start < position:
                content = b"".join((self.buffer[self.line_start :], content))
            position += len(line)
            self.line_start = position
            if content:
                self.read_line(content)
                continue
            if self.has_lines:
                events.append(self.finished_event(end, position))
            end = position
        return self.take(piece, end, events)

    def after_mark(self, piece: bytes) -> bytes:
        """Return the bytes after a byte order mark, which may itself come in pieces."""
        received = bytes(self.buffer) + piece
        self.buffer.clear()
        if len(received) < len(BYTE_ORDER_MARK) and BYTE_ORDER_MARK.startswith(received):
            self.buffer += received
            return b""
        self.is_at_start = False
        if not received.startswith(BYTE_ORDER_MARK):
            return received
        if not self.drops_mark:
            self.buffer += BYTE_ORDER_MARK
            self.line_start = len(BYTE_ORDER_MARK)
        return received[len(BYTE_ORDER_MARK) :]

    def read_line(self, line: bytes) -> None:
        """Read a line that is not empty; one without a colon is a field without a value."""
        self.has_lines = True
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            self.data_lines.append(value)
        elif name == b"id" and b"\0" not in value:
            self.event_id = value.decode(errors="replace")

    def finished_event(self, start: int, end: int) -> Event:
        """Return the event that an empty line has ended, and begin the next one."""
        data = b"\n".join(self.data_lines) if self.data_lines else None
        event = Event(start, end, data, self.event_id)
        self.has_lines = False
        self.data_lines = []
        self.event_id = None
        return event

    def take(self, piece: bytes, end: int, events: list[Event]) -> Received:
        """Add a piece to the buffer, and remove what is whole from it.

        Args:
          piece: The piece.
          end: Number of bytes of the buffer and the piece that are whole.
          events: The events in them.
        """
        if not self.buffer and end == len(piece):
            self.line_start = 0
            return Received(piece, tuple(events))
        self.buffer += piece
        if not end:
            return NOTHING
        raw = bytes(self.buffer[:end])
        del self.buffer[:end]
        self.line_start -= end
        return Received(raw, tuple(events))

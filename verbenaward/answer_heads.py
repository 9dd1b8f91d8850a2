"""The rule of what a sound head of an HTTP answer is (RFC 9110, RFC 9112).

Parsers are lenient: a status of 000 passes, and what they make of a line can depend on where a
packet ends. So the lines are judged here as they were received, before a parser gets any of them.
"""

import re
from dataclasses import dataclass
from enum import StrEnum

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\0\r]*)?")
"""RFC 9112, section 4; the blank before an empty reason may be missing."""
FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\0\r]*")
"""RFC 9112, section 5: the name is a token, next to its colon. Control bytes of a value other than
these stay, as RFC 9110 (section 5.5) lets a recipient do."""
FRAMING_FIELD = re.compile(
    rb"^(transfer-encoding|content-length):([^\r\n]*)", re.IGNORECASE | re.MULTILINE
)
LENGTH = re.compile(rb"[0-9]{1,19}")
"""A length that fits into 64 bits."""
FIRST_BYTES = b"HTTP/1."
"""Beginning of each status line; other protocols are refused at their first bytes."""
CODE_START = len(b"HTTP/1.1 ")
"""Where the status code begins in a status line."""
INTERIM = b"1"
"""First digit of the status codes of interim answers."""
LINE_OVERHEAD_BYTES = 64
"""What a line has beside the text that a parser's limit on lines counts: blanks, line end."""


class HeadFault(StrEnum):
    """Why the head of an answer is not sound."""

    STATUS_LINE = "no status line of HTTP/1.0 or HTTP/1.1 with a status from 100 to 599"
    FIELD_LINE = "a line that is no name, colon and value of a field"
    FRAMING = "neither one valid Content-Length nor the transfer coding chunked alone"
    TOO_LONG = "a line that is too long, or too many lines"


@dataclass(frozen=True, slots=True)
class HeadLimits:
    """Limits on what is kept of a head that is not complete.

    Attributes:
      line_bytes: Longest line.
      lines: Most lines.
    """

    line_bytes: int
    lines: int


def fault_of_line(line: bytes, is_first: bool) -> HeadFault | None:
    """Return what is wrong with a line of a head, without its line end.

    Args:
      line: The line; not the empty one that ends the head. One that begins with a blank is refused:
        it may be a folded line (obs-fold) or a name with a blank before it.
      is_first: True for the status line.
    """
    if is_first:
        return None if STATUS_LINE.fullmatch(line) else HeadFault.STATUS_LINE
    return None if FIELD_LINE.fullmatch(line) else HeadFault.FIELD_LINE


def fault_of_framing(head: bytes) -> HeadFault | None:
    """Return what is wrong with how a whole head says where the body ends.

    No call of ours accepts another transfer coding than chunked, and HTTP/1.0 has none (RFC 9112,
    sections 6.1 and 7). A coding and a length, or several of either, may contradict each other.
    """
    fields = [(name.lower(), value.strip(b" \t")) for name, value in FRAMING_FIELD.findall(head)]
    if not fields:
        return None
    if len(fields) > 1:
        return HeadFault.FRAMING
    name, value = fields[0]
    if name == b"content-length":
        return None if LENGTH.fullmatch(value) else HeadFault.FRAMING
    is_chunked = value.lower() == b"chunked" and head.startswith(b"HTTP/1.1")
    return None if is_chunked else HeadFault.FRAMING


class HeadReader:
    """Collects a head until its empty line, and judges each line as it becomes complete.

    The framing, which is a matter of several lines, is judged at the end. The verdict does not
    depend on how the bytes are cut into packets.

    Attributes:
      limits: Limits on the head.
      received: What has come of the head; once it is complete, also what came behind it.
      lines: Complete lines so far.
      line_start: Where the first line begins that is not complete.
      end: Where the head ends, behind its empty line; 0 while it is not complete.
      fault: What is wrong with the head; None for nothing so far.
    """

    def __init__(self, limits: HeadLimits) -> None:
        self.limits = limits
        self.received = bytearray()
        self.lines = 0
        self.line_start = 0
        self.end = 0
        self.fault: HeadFault | None = None

    def is_interim(self) -> bool:
        """Return True if the head is that of an interim answer (status 1xx)."""
        return self.received.startswith(INTERIM, CODE_START)

    def feed(self, data: bytes) -> None:
        """Add what has arrived, until the head is complete or has a fault."""
        searched = len(self.received)
        self.received += data
        if not self.received.startswith(FIRST_BYTES[: len(self.received)]):
            self.fault = HeadFault.STATUS_LINE
        while self.fault is None and not self.end:
            line_end = self.received.find(b"\n", max(searched, self.line_start))
            self.judge_length(len(self.received) if line_end < 0 else line_end)
            if line_end < 0 or self.fault is not None:
                return
            self.end_line(line_end)

    def judge_length(self, line_end: int) -> None:
        """Set the fault if the line that ends there is too long, or one too many."""
        is_too_long = line_end - self.line_start > self.limits.line_bytes
        if is_too_long or self.lines > self.limits.lines:
            self.fault = HeadFault.TOO_LONG

    def end_line(self, line_end: int) -> None:
        """Judge the line that a line feed ends; an empty one ends the head.

        A line feed without a carriage return is a line end too (RFC 9112, section 2.2).
        """
        line = bytes(self.received[self.line_start : line_end]).removesuffix(b"\r")
        self.line_start = line_end + 1
        if line:
            self.fault = fault_of_line(line, is_first=self.lines == 0)
            self.lines += 1
        else:
            self.end = self.line_start
            self.fault = fault_of_framing(bytes(self.received[: self.end]))

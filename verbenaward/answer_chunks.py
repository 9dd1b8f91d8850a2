"""Follows the chunks of a body, and finds data that does not end where its chunk does.

The parser is lenient here: behind the data of a chunk it takes a line feed alone for a line end, as
it does not behind a size. Where the size is too large by one, the carriage return of the line end
would pass as the last byte of the body.
"""

from enum import Enum, auto

LINE_END, LINE_FEED = b"\r\n", b"\n"
LONGEST_SIZE_LINE = 4096
"""Bytes of a line with a size that are looked at; the parser has its own limit."""


class Part(Enum):
    """What is expected next; `REST` stands for all that is left to the parser."""

    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    REST = auto()


class ChunkEnds:
    """Checks that a whole line end follows the data of each chunk.

    All other rules on chunks are the parser's.

    Attributes:
      part: What is expected next.
      left: Bytes of the data that are still to come.
      held: Beginning of a line or of a line end that is not complete.
      is_sound: False once data did not end where its chunk does.
    """

    def __init__(self) -> None:
        self.part = Part.SIZE
        self.left = 0
        self.held = b""
        self.is_sound = True

    def feed(self, data: bytes) -> None:
        """Follow the next bytes of a body."""
        position = 0
        while position < len(data) and self.part is not Part.REST:
            if self.part is Part.DATA:
                step = min(self.left, len(data) - position)
                self.left -= step
                position += step
                if not self.left:
                    self.part = Part.DATA_END
            elif self.part is Part.SIZE:
                position = self.read_size(data, position)
            else:
                position = self.read_data_end(data, position)

    def read_size(self, data: bytes, position: int) -> int:
        """Read a line with a size, and return the position behind what was read."""
        found = data.find(LINE_FEED, position)
        end = len(data) if found < 0 else found + 1
        self.held += data[position:end]
        if found < 0:
            if len(self.held) > LONGEST_SIZE_LINE:
                self.part = Part.REST
            return end
        line, self.held = self.held, b""
        try:
            self.left = int(line.partition(b";")[0], 16)
        except ValueError:
            self.left = 0
        self.part = Part.DATA if self.left > 0 else Part.REST
        return end

    def read_data_end(self, data: bytes, position: int) -> int:
        """Read the line end behind data, and return the position behind what was read."""
        end = position + len(LINE_END) - len(self.held)
        self.held += data[position:end]
        if not LINE_END.startswith(self.held):
            self.is_sound, self.part = False, Part.REST
        elif self.held == LINE_END:
            self.held, self.part = b"", Part.SIZE
        return end

"""How many staged chunks are read from an engine at the same time.

Load: an engine that is slow, which reads one chunk after the other would keep from its weights for
seconds. Reads go through the engine that also serves requests, so there are no more at a time than
needed, and not more if those that were added did not make the whole faster.
"""

MAXIMUM_PARALLEL_READS = 32
MAXIMUM_READ_BYTES = 8 * 1024 * 1024
"""Memory for the chunks that are read at the same time."""
PASS_SECONDS = 1.0
"""Time in which all chunks of a version should be read: half of the age at which a check ends to
count, so that one whose engine turns slow midway still ends in time."""
MINIMUM_READS = 2
"""Reads over which a rate is measured, at least: the first one may open a connection."""
LEAST_GAIN = 1.2
"""Factor by which the rate must rise for twice as many parallel reads to be kept."""
AMPLE_FACTOR = 3.0
"""Multiple of the needed rate from which half as many reads at a time suffice."""


class ReadPace:
    """Sets the number of parallel reads by the rate at which they end.

    Attributes:
      parallel: Number of reads that may run at the same time.
      read_seconds: Time that the last read took; 0 before the first one.
      chunk_bytes: Size of the largest chunk read.
      rate: Reads per second, as last measured; 0 before.
      rate_before_raise: Rate when the number was last raised, reads per second; 0 for none.
      since: Start of the present measurement, monotonic; None for none.
      ended: Reads that have ended since.
    """

    def __init__(self) -> None:
        self.parallel = 1
        self.read_seconds = 0.0
        self.chunk_bytes = 0
        self.rate = 0.0
        self.rate_before_raise = 0.0
        self.since: float | None = None
        self.ended = 0

    def start(self, now: float) -> None:
        """Start a measurement: from now on as many reads run as may."""
        self.since, self.ended = now, 0

    def record_read(self, total: int, seconds: float, size: int, now: float) -> None:
        """Record a read that has ended, and adapt the number of parallel ones.

        Args:
          total: Number of chunks that should be read within `PASS_SECONDS`.
          seconds: Time that it took.
          size: Number of bytes read.
          now: Present time, monotonic, in seconds.
        """
        self.read_seconds = seconds
        self.chunk_bytes = max(self.chunk_bytes, size)
        self.ended += 1
        if self.since is None or self.ended < max(MINIMUM_READS, self.parallel):
            return
        self.rate = self.ended / max(now - self.since, 1e-6)
        self.adapt(total / PASS_SECONDS)
        self.start(now)

    def adapt(self, needed_rate: float) -> None:
        """Raise or lower the number of parallel reads by the measured rate."""
        before, self.rate_before_raise = self.rate_before_raise, 0.0
        if self.rate < needed_rate and self.rate < LEAST_GAIN * before:
            self.parallel = self.fewer()
        elif self.rate < needed_rate and self.parallel < self.maximum():
            self.rate_before_raise = self.rate
            self.parallel = min(2 * self.parallel, self.maximum())
        elif self.rate > AMPLE_FACTOR * needed_rate:
            self.parallel = self.fewer()

    def record_failure(self, now: float) -> None:
        """Record a read that failed: fewer at a time may help an engine that is overloaded."""
        self.parallel = self.fewer()
        self.rate_before_raise = 0.0
        self.start(now)

    def fewer(self) -> int:
        """Return half of the number of parallel reads, at least one."""
        return max(1, self.parallel // 2)

    def maximum(self) -> int:
        """Return the largest number of parallel reads for chunks of this size."""
        fitting = MAXIMUM_READ_BYTES // max(1, self.chunk_bytes)
        return max(1, min(MAXIMUM_PARALLEL_READS, fitting))

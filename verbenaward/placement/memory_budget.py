"""Bytes that an entry process holds for callers and backends that send or read slowly.

The budget covers what grows with the load: request bodies, whole answers, streams whose callers do
not read, and all connections with their heads, waiting requests and unread answers. A body of
declared length is checked before it is read; all other bytes are counted as they arrive.
"""

import random
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from returns.result import Failure, Result, Success

from .. import metrics
from ..data import Refusal, Verdict
from ..logs import get_logger
from ..requests.refusals import not_run

LOG = get_logger(__name__)
BYTES_PER_MEGABYTE = 1_000_000
BASE_MEGABYTES = 80
"""Memory that is in use without any request: 53 MB after the imports, up to 12 MB of chunks, and
the replica of the store."""
BUFFER_SHARE = 0.75
"""Share of the rest that may be held. The other part covers fragmentation and the buffers of
connections that are too small to be counted."""
MINIMUM_BUFFER_SHARE = 0.125
"""Share of the whole limit that may be held at least, for a limit near `BASE_MEGABYTES`."""
BODY_SHARE = 0.75
"""Share of the capacity that request bodies may fill. The rest is kept for the answers of requests
that were admitted."""
COPIES = 2
"""How often a body or an answer is held at worst: its parts and the whole while they are joined,
later the whole and what its connection has not sent yet."""
UNKNOWN_BODY_BYTES = 64 * 1024
"""Assumed size of a body that does not state its length when its request is admitted."""
RETRY_AFTER_SECONDS = 1.0
"""Retry delay of a refusal. Bodies are held until their answers are sent, usually about a second;
a random extension of up to the same time keeps callers from returning at once."""
RECOVERED_SHARE = 0.5
"""Share of the capacity below which a shortage is over."""
CONNECTION_SHARE = 0.5
"""Share of the capacity that connections may fill, so that a crowd of them leaves room for the
bodies and answers of others."""
DEFAULT_CONNECTION_BYTES = 48 * BYTES_PER_MEGABYTE
"""Most bytes that connections hold in a process without a memory limit: 4,000 of them with usual
heads, below the memory of any VM."""
CONNECTION_PURPOSE = "connection"
"""Label of the gauge for what connections hold."""
MEMORY_REASON = "memory"
"""Reason of a refusal for lack of memory."""


class Purpose(StrEnum):
    """What bytes are held for.

    REQUEST_BODY: bodies of requests, until their answers are sent. ANSWER: whole answers. STREAM:
    parts of streams that cannot be forwarded yet.
    """

    REQUEST_BODY = "request-body"
    ANSWER = "answer"
    STREAM = "stream"


def connection_budget(limit_megabytes: float) -> "MemoryBudget":
    """Return the budget of a process that limits only what its connections hold."""
    return MemoryBudget(connection_limit_bytes=int(limit_megabytes * BYTES_PER_MEGABYTE))


def capacity_of(limit_megabytes: float) -> int:
    """Return the bytes that a process with a memory limit may hold; 0 for no limit."""
    limit = limit_megabytes * BYTES_PER_MEGABYTE
    free = limit - BASE_MEGABYTES * BYTES_PER_MEGABYTE
    return int(max(BUFFER_SHARE * free, MINIMUM_BUFFER_SHARE * limit))


@dataclass(slots=True, eq=False)
class MemoryBudget:
    """Bytes that the process holds, and its limit on them.

    Attributes:
      capacity_bytes: Limit on the bytes held for all purposes; 0 for no limit.
      held: Bytes held for requests, by purpose.
      connection_limit_bytes: Most bytes that connections hold if there is no limit on all.
      connection_bytes: Bytes held for connections: heads that are being received, requests that
        wait and answers that are not read.
      is_short: True from a refusal until less than half of the capacity is held.
      rng: Randomises retry delays.
    """

    capacity_bytes: int = 0
    held: Counter[Purpose] = field(default_factory=Counter)
    connection_limit_bytes: int = DEFAULT_CONNECTION_BYTES
    connection_bytes: int = 0
    is_short: bool = False
    rng: random.Random = field(default_factory=random.Random)

    @property
    def is_limited(self) -> bool:
        """Return True if there is a limit."""
        return self.capacity_bytes > 0

    @property
    def total_bytes(self) -> int:
        """Return the bytes held for requests and connections."""
        return self.held.total() + self.connection_bytes

    @property
    def is_over(self) -> bool:
        """Return True if connections hold more than the process has memory for."""
        if not self.is_limited:
            return self.connection_bytes > self.connection_limit_bytes
        is_crowded = self.connection_bytes > CONNECTION_SHARE * self.capacity_bytes
        return is_crowded or self.total_bytes > self.capacity_bytes

    def hold_for_connections(self, size: int) -> None:
        """Count bytes that connections hold from now on; negative for bytes that are released."""
        self.connection_bytes += size

    def publish(self) -> None:
        """Set the gauge of what connections hold, which changes too often to set it each time."""
        metrics.BUFFERED_BYTES.labels(CONNECTION_PURPOSE).set(self.connection_bytes)

    def check_body(self, declared_bytes: int | None) -> Result[None, Refusal]:
        """Return whether a request may send its body, a refusal if it would not fit.

        Args:
          declared_bytes: Length that the request states; None if it states none.
        """
        size = UNKNOWN_BODY_BYTES if declared_bytes is None else declared_bytes
        return self.check(Purpose.REQUEST_BODY, COPIES * size)

    def check(self, purpose: Purpose, size: int) -> Result[None, Refusal]:
        """Return whether this many more bytes may be held for a purpose, else a refusal."""
        share = BODY_SHARE if purpose is Purpose.REQUEST_BODY else 1.0
        if not self.is_limited or self.total_bytes + size <= share * self.capacity_bytes:
            return Success(None)
        metrics.MEMORY_REFUSALS.labels(purpose.value).inc()
        if not self.is_short:
            self.is_short = True
            held = {name.value: count for name, count in self.held.items()}
            LOG.warning("memory.short", purpose=purpose.value, held=held, limit=self.capacity_bytes)
        return Failure(self.refusal(purpose))

    def refusal(self, purpose: Purpose) -> Refusal:
        """Return the refusal of a request whose bytes do not fit."""
        if purpose is not Purpose.REQUEST_BODY:
            message = "the process has no memory for the answer"
            return Refusal(Verdict.MAY_HAVE_RUN, 502, MEMORY_REASON, message)
        wait = RETRY_AFTER_SECONDS * self.rng.uniform(1.0, 2.0)
        return not_run(503, MEMORY_REASON, "the process has no memory for the body", wait)

    def change(self, purpose: Purpose, size: int) -> None:
        """Count bytes that are held from now on; negative for bytes that are released."""
        self.held[purpose] += size
        metrics.BUFFERED_BYTES.labels(purpose.value).set(self.held[purpose])
        if self.is_short and self.held.total() < RECOVERED_SHARE * self.capacity_bytes:
            self.is_short = False
            LOG.info("memory.enough", held=self.held.total(), limit=self.capacity_bytes)


@dataclass(slots=True, eq=False)
class HeldBytes:
    """Bytes held for one request.

    Attributes:
      budget: Budget of the process.
      held: Bytes held for the request, by purpose.
    """

    budget: MemoryBudget = field(default_factory=MemoryBudget)
    held: Counter[Purpose] = field(default_factory=Counter)

    def add(self, purpose: Purpose, size: int) -> Result[None, Refusal]:
        """Hold more bytes for a purpose, unless the process has no room for them."""
        return self.put(purpose, self.held[purpose] + size)

    def put(self, purpose: Purpose, size: int) -> Result[None, Refusal]:
        """Hold this many bytes for a purpose, unless that is more and there is no room for them.

        Nothing is counted without a limit.
        """
        grown = size - self.held[purpose]
        if grown == 0 or (grown > 0 and not self.budget.is_limited):
            return Success(None)
        checked = self.budget.check(purpose, grown) if grown > 0 else Success(None)
        if isinstance(checked, Success):
            self.held[purpose] = size
            self.budget.change(purpose, grown)
        return checked

    def drop(self, purpose: Purpose) -> None:
        """Release the bytes held for a purpose."""
        self.put(purpose, 0)

    def release(self) -> None:
        """Release all bytes of the request."""
        for purpose in Purpose:
            self.drop(purpose)


@dataclass(slots=True)
class HeldPart:
    """Bytes that one of several sends of a request holds for a purpose.

    Attributes:
      whole: Bytes held for the request.
      purpose: What they are held for.
      size: Bytes of this part.
    """

    whole: HeldBytes
    purpose: Purpose
    size: int = 0

    def put(self, size: int) -> Result[None, Refusal]:
        """Hold this many bytes, unless that is more and there is no room for them."""
        if not self.whole.budget.is_limited:
            return Success(None)
        result = self.whole.add(self.purpose, size - self.size)
        if isinstance(result, Success):
            self.size = size
        return result

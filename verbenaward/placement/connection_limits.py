"""Which connections an entry process accepts, refuses and closes, by its limit of descriptors.

A connection of a caller costs one descriptor while it is idle and two while its request runs, as
each request has a connection to a backend. A reserve is kept for all other purposes.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Hashable
from enum import Enum, StrEnum

from ..data import CallerLimits

RESERVED_SHARE = 0.25
"""Share of the limit that is reserved at most."""
RESERVED_DESCRIPTORS = 512
"""Descriptors for files (200), calls to peers and the store, and connections that are refused."""
REFUSED_SHARE = 0.25
"""Share of the reserve for connections that are accepted only to be refused or closed."""
REFUSED_SECONDS = 1.0
"""Time in which a connection that is refused must send its request."""
CLOSABLE_SECONDS = 0.5
"""Idle time from which a connection may be closed for another: its request may be on its way."""
CLOSING_SECONDS = 10.0
"""Time in which the rest of an answer must be read from a connection that is being closed."""
SHORTAGE_REASON = "connections"
"""Reason of a refusal for want of descriptors."""
SHORTAGE_CLOSINGS = 32
"""Idle connections that are closed when a send got no descriptor."""
STALL_SECONDS = 1.0
"""Time between two sweeps from which the process has stalled."""
FULL_SECONDS = 1.0
"""Time for which a process is not ready after it refused a connection."""


class Kind(StrEnum):
    """What a connection to this process is for."""

    CALLER = "caller"
    DIRECTORY = "directory"
    READINESS = "readiness"
    CONTROL = "control"


LIMITED_KINDS = frozenset((Kind.CALLER, Kind.DIRECTORY))
"""Kinds that callers open, to which the limits of the configuration apply."""


class Phase(Enum):
    """State of a limited connection.

    IDLE: no request. HEADER: a part of a request's header has arrived. BUSY: a request runs.
    REFUSED: its request is answered with a refusal. CLOSING: unsent bytes of its answer are left.
    """

    IDLE = "idle"
    HEADER = "header"
    BUSY = "busy"
    REFUSED = "refused"
    CLOSING = "closing"


class Verdict(Enum):
    """What is done with a new connection."""

    ACCEPT = "accept"
    REFUSE = "refuse"
    DROP = "drop"


class Cause(StrEnum):
    """Why a connection is closed.

    IDLE, HEADER: a limit of the configuration. ROOM: for another connection. REFUSED: no request
    came to be refused. DROPPED: no descriptor is left to refuse it. UNREAD: the caller did not read
    the end of its answer. EXCESS: the caller sent bytes without end.
    """

    IDLE = "idle"
    HEADER = "header"
    ROOM = "room"
    REFUSED = "refused"
    DROPPED = "dropped"
    UNREAD = "unread"
    EXCESS = "excess"


def reserved_descriptors(descriptors: float) -> float:
    """Return how many descriptors of a limit are not used for connections of callers."""
    return min(RESERVED_DESCRIPTORS, RESERVED_SHARE * descriptors)


class ConnectionTable:
    """The open connections of a process.

    Attributes:
      descriptors: Limit of the process; infinite for none.
      limits: Limits of the configuration in force.
      close: Closes a connection for a cause.
      open_by_kind: Number of open connections.
      kinds: Kind of each open connection.
      phase_of: Phase of each limited connection.
      members: Limited connections by phase, the earliest first, with the start of the phase.
      full_until: Time until which the process is not ready, monotonic.
      swept_at: When the connections were last looked through, monotonic.
    """

    def __init__(self, close: Callable[[Hashable, Cause], None]) -> None:
        self.descriptors = math.inf
        self.limits = CallerLimits()
        self.close = close
        self.open_by_kind: Counter[Kind] = Counter()
        self.kinds: dict[Hashable, Kind] = {}
        self.phase_of: dict[Hashable, Phase] = {}
        self.members: dict[Phase, OrderedDict[Hashable, float]] = {
            phase: OrderedDict() for phase in Phase
        }
        self.full_until = -math.inf
        self.swept_at = -math.inf

    @property
    def capacity(self) -> float:
        """Return the descriptors for incoming connections and those of their requests."""
        return self.descriptors - reserved_descriptors(self.descriptors)

    @property
    def in_use(self) -> int:
        """Return the descriptors in use, but for connections that are refused or closing."""
        others = sum(
            count for kind, count in self.open_by_kind.items() if kind not in LIMITED_KINDS
        )
        unused = len(self.members[Phase.IDLE]) + len(self.members[Phase.HEADER])
        return others + unused + 2 * len(self.members[Phase.BUSY])

    def move(self, connection: Hashable, phase: Phase, now: float) -> None:
        """Begin a phase of a limited connection."""
        previous = self.phase_of.get(connection)
        if previous is not None:
            del self.members[previous][connection]
        self.phase_of[connection] = phase
        self.members[phase][connection] = now

    def opened(self, connection: Hashable, kind: Kind, now: float) -> Verdict:
        """Record a new connection and return what is done with it; others may be closed for it."""
        self.kinds[connection] = kind
        self.open_by_kind[kind] += 1
        if kind not in LIMITED_KINDS:
            return Verdict.ACCEPT
        if self.make_room(1, now):
            self.move(connection, Phase.IDLE, now)
            return Verdict.ACCEPT
        self.move(connection, Phase.REFUSED, now)
        extra = len(self.members[Phase.REFUSED]) + len(self.members[Phase.CLOSING])
        limit = REFUSED_SHARE * reserved_descriptors(self.descriptors)
        return Verdict.REFUSE if extra <= limit else Verdict.DROP

    def received(self, connection: Hashable, now: float) -> None:
        """Record bytes of a connection; on an idle one they begin a header."""
        if self.phase_of.get(connection) is Phase.IDLE:
            self.move(connection, Phase.HEADER, now)

    def began(self, connection: Hashable, now: float) -> None:
        """Record that a whole header was received; its request is refused if there is no room."""
        if connection not in self.phase_of or self.is_refused(connection):
            return
        self.move(connection, Phase.BUSY, now)
        if not self.make_room(0, now):
            self.move(connection, Phase.REFUSED, now)

    def is_refused(self, connection: Hashable) -> bool:
        """Return True if a request of a connection is to be refused."""
        return self.phase_of.get(connection) in (Phase.REFUSED, Phase.CLOSING)

    def ended(self, connection: Hashable, now: float) -> None:
        """Record that the answer to a request was written."""
        if self.phase_of.get(connection) is Phase.BUSY:
            self.move(connection, Phase.IDLE, now)

    def lost(self, connection: Hashable) -> None:
        """Record that a connection has ended."""
        kind = self.kinds.pop(connection, None)
        if kind is not None:
            self.open_by_kind[kind] -= 1
        phase = self.phase_of.pop(connection, None)
        if phase is not None:
            del self.members[phase][connection]

    def make_room(self, count: int, now: float) -> bool:
        """Close the connections that are idle longest until `count` more fit.

        Returns:
          False if they do not fit; the process is full then.
        """
        while self.in_use + count > self.capacity:
            connection = self.closable(now)
            if connection is None:
                self.full_until = now + FULL_SECONDS
                return False
            self.end(connection, Cause.ROOM, now)
        return True

    def closable(self, now: float) -> Hashable | None:
        """Return the connection that is idle longest, if it may be closed for another."""
        idle = self.members[Phase.IDLE]
        first = next(iter(idle), None)
        return first if first is not None and now - idle[first] >= CLOSABLE_SECONDS else None

    def is_full(self, now: float) -> bool:
        """Return True if the process cannot take a connection, or could not a moment ago."""
        has_room = self.in_use + 1 <= self.capacity or self.closable(now) is not None
        return now < self.full_until or not has_room

    def record_shortage(self, now: float) -> None:
        """Record that the process got no descriptor for a send.

        The reserve is used up, by what is not counted here: some idle connections make room.
        """
        for _ in range(SHORTAGE_CLOSINGS):
            connection = self.closable(now)
            if connection is None:
                self.full_until = now + FULL_SECONDS
                return
            self.end(connection, Cause.ROOM, now)

    def end(self, connection: Hashable, cause: Cause, now: float) -> None:
        """Close a connection; it stays recorded until it has ended."""
        self.move(connection, Phase.CLOSING, now)
        self.close(connection, cause)

    def sweep(self, now: float) -> None:
        """Close the connections whose time has ended; called at short intervals.

        None is closed after a stall, as what was received meanwhile has not been read yet.
        """
        has_stalled = now - self.swept_at > STALL_SECONDS
        self.swept_at = now
        if has_stalled:
            return
        for phase, seconds, cause in (
            (Phase.IDLE, self.limits.idle_seconds, Cause.IDLE),
            (Phase.HEADER, self.limits.header_seconds, Cause.HEADER),
            (Phase.REFUSED, REFUSED_SECONDS, Cause.REFUSED),
        ):
            members = self.members[phase]
            while members and now - next(iter(members.values())) >= seconds:
                self.end(next(iter(members)), cause, now)
        closing = self.members[Phase.CLOSING]
        while closing and now - next(iter(closing.values())) >= CLOSING_SECONDS:
            connection = next(iter(closing))
            self.lost(connection)
            self.close(connection, Cause.UNREAD)

"""Which connections a process accepts, refuses and closes, by its descriptors and its memory.

A connection of a caller costs one descriptor while it is idle and two while its request runs, as
each request has a connection to a backend. A reserve is kept for all other purposes. What all
connections hold is part of one sum, the `MemoryBudget` of the process.
"""

import itertools
import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Hashable, Iterable
from enum import Enum, StrEnum

from ..data import CallerLimits
from .memory_budget import MemoryBudget

RESERVED_SHARE = 0.25
"""Share of the limit that is reserved at most."""
RESERVED_DESCRIPTORS = 512
"""Descriptors for files (200), calls to peers and the store, and connections that are refused."""
REFUSED_SHARE = 0.25
"""Share of the reserve for connections that are accepted only to be refused or closed."""
OTHER_SHARE = 0.5
"""Share of the capacity that connections of other processes and the platform may take where callers
have a listener of their own."""
OTHER_RESERVED_SHARE = 0.5
"""Share of the reserve up to which these are accepted also while callers fill the capacity."""
REFUSED_SECONDS = 1.0
"""Time in which a connection that is refused must send its request."""
CLOSABLE_SECONDS = 0.5
"""Idle time from which a connection may be closed for another: its request may be on its way."""
CLOSING_SECONDS = 10.0
"""Time in which the rest of an answer must be read from a connection that is being closed."""
CONNECTION_BYTES = 6 * 1024
"""Memory of an open connection by itself: handler, task, parser and transport."""
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
OTHER_LIMITS = CallerLimits(idle_seconds=75.0)
"""Limits for other processes and the platform, which keep connections for longer."""


class Phase(Enum):
    """State of a connection.

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
    the end of its answer. EXCESS: the caller sent bytes without end. LONG_HEAD: the header of a
    request was too long. UNREADABLE: it cannot be parsed. MEMORY: the process had no memory for
    what the connection holds.
    """

    IDLE = "idle"
    HEADER = "header"
    ROOM = "room"
    REFUSED = "refused"
    DROPPED = "dropped"
    UNREAD = "unread"
    EXCESS = "excess"
    LONG_HEAD = "long-head"
    UNREADABLE = "unreadable"
    MEMORY = "memory"


def reserved_descriptors(descriptors: float) -> float:
    """Return how many descriptors of a limit are not used for connections of callers."""
    return min(RESERVED_DESCRIPTORS, RESERVED_SHARE * descriptors)


class PhaseMembers:
    """Connections by phase, the earliest first, with the start of the phase."""

    def __init__(self) -> None:
        self.members: dict[Phase, OrderedDict[Hashable, float]] = {
            phase: OrderedDict() for phase in Phase
        }

    def __getitem__(self, phase: Phase) -> OrderedDict[Hashable, float]:
        return self.members[phase]

    def values(self) -> Iterable[OrderedDict[Hashable, float]]:
        """Return the connections of each phase."""
        return self.members.values()

    @property
    def unused(self) -> int:
        """Return the number of connections without a whole request."""
        return len(self.members[Phase.IDLE]) + len(self.members[Phase.HEADER])


class ConnectionTable:
    """The open connections of a process.

    Attributes:
      descriptors: Limit of the process; infinite for none.
      limits: Limits of the configuration in force.
      other_share: Share of the capacity for other processes and the platform.
      memory: What the process holds, connections included.
      close: Closes a connection for a cause.
      open_by_kind: Number of open connections.
      kinds: Kind of each open connection.
      phase_of: Phase of each connection.
      members: Connections of callers.
      other_members: Connections of other processes and the platform.
      held_bytes: Memory that each connection holds.
      waiting: Connections with requests that wait for the answer before them, and since when.
      unread: Connections whose callers do not read, and since when.
      full_until: Time until which the process is not ready, monotonic.
      swept_at: When the connections were last looked through, monotonic.
    """

    def __init__(
        self, close: Callable[[Hashable, Cause], None], memory: MemoryBudget | None = None
    ) -> None:
        self.descriptors = math.inf
        self.limits = CallerLimits()
        self.other_share = 1.0
        self.memory = memory or MemoryBudget()
        self.close = close
        self.open_by_kind: Counter[Kind] = Counter()
        self.kinds: dict[Hashable, Kind] = {}
        self.phase_of: dict[Hashable, Phase] = {}
        self.members = PhaseMembers()
        self.other_members = PhaseMembers()
        self.held_bytes: dict[Hashable, int] = {}
        self.waiting: OrderedDict[Hashable, float] = OrderedDict()
        self.unread: OrderedDict[Hashable, float] = OrderedDict()
        self.full_until = -math.inf
        self.swept_at = -math.inf

    @property
    def capacity(self) -> float:
        """Return the descriptors for incoming connections and those of their requests."""
        return self.descriptors - reserved_descriptors(self.descriptors)

    @property
    def in_use(self) -> int:
        """Return the descriptors in use, but for connections that are refused or closing."""
        callers = self.members.unused + 2 * len(self.members[Phase.BUSY])
        return self.other_in_use + callers

    @property
    def other_in_use(self) -> int:
        """Return the descriptors that other processes and the platform use."""
        return self.other_members.unused + len(self.other_members[Phase.BUSY])

    def limits_of(self, connection: Hashable) -> CallerLimits:
        """Return the limits on a connection."""
        return self.limits if self.kinds.get(connection) in LIMITED_KINDS else OTHER_LIMITS

    def members_with(self, connection: Hashable) -> PhaseMembers:
        """Return the connections to which one belongs."""
        is_limited = self.kinds[connection] in LIMITED_KINDS
        return self.members if is_limited else self.other_members

    def move(self, connection: Hashable, phase: Phase, now: float) -> None:
        """Begin a phase of a connection."""
        members = self.members_with(connection)
        previous = self.phase_of.get(connection)
        if previous is not None:
            del members[previous][connection]
        self.phase_of[connection] = phase
        members[phase][connection] = now

    def opened(self, connection: Hashable, kind: Kind, now: float) -> Verdict:
        """Record a new connection and return what is done with it; others may be closed for it."""
        self.kinds[connection] = kind
        self.open_by_kind[kind] += 1
        has_room = self.make_room(1, now) if kind in LIMITED_KINDS else self.admit_other(now)
        self.move(connection, Phase.IDLE if has_room else Phase.REFUSED, now)
        self.hold(connection, 0, now)
        if self.phase_of[connection] is not Phase.REFUSED:
            return Verdict.ACCEPT
        limit = REFUSED_SHARE * reserved_descriptors(self.descriptors)
        return Verdict.REFUSE if self.count_extra() <= limit else Verdict.DROP

    def count_extra(self) -> int:
        """Return the number of connections that are refused or closing."""
        return sum(
            len(members[phase])
            for members in (self.members, self.other_members)
            for phase in (Phase.REFUSED, Phase.CLOSING)
        )

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
        if connection not in self.kinds:
            return
        self.release(connection)
        phase = self.phase_of.pop(connection, None)
        if phase is not None:
            del self.members_with(connection)[phase][connection]
        self.open_by_kind[self.kinds.pop(connection)] -= 1

    def hold(
        self,
        connection: Hashable,
        size: int,
        now: float,
        is_waiting: bool = False,
        is_unread: bool = False,
    ) -> None:
        """Record what a connection holds; if that is too much together, some are closed.

        Args:
          connection: The connection.
          size: Bytes beyond those of the connection by itself.
          now: Present time, monotonic, in seconds.
          is_waiting: True if requests wait for the answer before them.
          is_unread: True if its caller does not read.
        """
        if self.phase_of.get(connection) in (None, Phase.CLOSING):
            return
        grown = CONNECTION_BYTES + size - self.held_bytes.get(connection, 0)
        self.held_bytes[connection] = CONNECTION_BYTES + size
        self.memory.hold_for_connections(grown)
        for members, is_member in ((self.waiting, is_waiting), (self.unread, is_unread)):
            if is_member:
                members.setdefault(connection, now)
            else:
                members.pop(connection, None)
        if grown > 0 and self.memory.is_over:
            self.free_memory(now)

    def release(self, connection: Hashable) -> None:
        """Record that a connection holds nothing from now on."""
        self.memory.hold_for_connections(-self.held_bytes.pop(connection, 0))
        self.waiting.pop(connection, None)
        self.unread.pop(connection, None)

    def free_memory(self, now: float) -> None:
        """Close connections until the rest fits into the memory, or none may be closed."""
        while self.memory.is_over:
            connection = self.closable_for_memory(now)
            if connection is None:
                return
            self.end(connection, Cause.MEMORY, now)

    def closable_for_memory(self, now: float) -> Hashable | None:
        """Return the connection that is closed first for want of memory.

        That is the one whose header is unfinished for longest, then the one with requests that wait
        for longest, then the one whose answer is unread for longest, then the longest idle one. A
        request that runs and is read is never ended for others.
        """
        header = self.earliest(Phase.HEADER)
        if header is not None:
            return header
        for members in (self.waiting, self.unread):
            if members:
                return next(iter(members))
        return self.closable_in(Phase.IDLE, now)

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

    def admit_other(self, now: float) -> bool:
        """Make room for a connection of another process or the platform; return False for none."""
        while self.other_in_use + 1 > self.other_share * self.capacity:
            connection = self.closable(now, self.other_members)
            if connection is None:
                return False
            self.end(connection, Cause.ROOM, now)
        reserved = OTHER_RESERVED_SHARE * reserved_descriptors(self.descriptors)
        return self.make_room(1, now) or self.other_in_use + 1 <= reserved

    def earliest(self, phase: Phase, *groups: PhaseMembers) -> Hashable | None:
        """Return the connection that is in a phase for longest, of some groups or of all."""
        firsts = [
            (since, connection)
            for group in groups or (self.members, self.other_members)
            for connection, since in itertools.islice(group[phase].items(), 1)
        ]
        return min(firsts, key=lambda item: item[0])[1] if firsts else None

    def closable_in(self, phase: Phase, now: float, *groups: PhaseMembers) -> Hashable | None:
        """Return the connection that is in a phase for longest, if it may be closed for another."""
        first = self.earliest(phase, *groups)
        if first is None or now - self.members_with(first)[phase][first] < CLOSABLE_SECONDS:
            return None
        return first

    def closable(self, now: float, *groups: PhaseMembers) -> Hashable | None:
        """Return the connection that is closed first for another one, of some groups or of all.

        That is the longest idle one, then the one whose header is unfinished for longest.
        """
        idle = self.closable_in(Phase.IDLE, now, *groups)
        return idle if idle is not None else self.closable_in(Phase.HEADER, now, *groups)

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
        self.release(connection)
        self.close(connection, cause)

    def sweep(self, now: float) -> None:
        """Close the connections whose time has ended; called at short intervals.

        None is closed after a stall, as what was received meanwhile has not been read yet.
        """
        has_stalled = now - self.swept_at > STALL_SECONDS
        self.swept_at = now
        if has_stalled:
            return
        for members, limits in ((self.members, self.limits), (self.other_members, OTHER_LIMITS)):
            for phase, seconds, cause in (
                (Phase.IDLE, limits.idle_seconds, Cause.IDLE),
                (Phase.HEADER, limits.header_seconds, Cause.HEADER),
                (Phase.REFUSED, REFUSED_SECONDS, Cause.REFUSED),
            ):
                found = members[phase]
                while found and now - next(iter(found.values())) >= seconds:
                    self.end(next(iter(found)), cause, now)
            closing = members[Phase.CLOSING]
            while closing and now - next(iter(closing.values())) >= CLOSING_SECONDS:
                connection = next(iter(closing))
                self.lost(connection)
                self.close(connection, Cause.UNREAD)

"""Parts of the retry budget that established processes give to one that has just started.

What a predecessor has spent stays charged to its address for a window, whatever its peers know of
it: it may have been cut off before its end. A process that has just started asks its peers, and
each of them gives it a part of what it has left itself. So the sum never grows, and lost grants are
lost for a window only.
"""

import math
from dataclasses import dataclass, field

THOUSANDTHS = 1000
RESEND_SECONDS = 1.0
"""Time after which a process that still asks is sent its grant again, which may have been lost."""


@dataclass(slots=True)
class Grant:
    """A grant to another process.

    Attributes:
      at: When it was given, monotonic.
      retries: Retries given, for each service.
      sent_at: When it was last sent, monotonic.
    """

    at: float
    retries: float
    sent_at: float


@dataclass(slots=True)
class RetryGrants:
    """Grants that this process has given and received.

    Attributes:
      given: Grants by the incarnation of the process that asked.
      received: Retries by the control address of the process that gave them.
    """

    given: dict[int, Grant] = field(default_factory=dict)
    received: dict[str, float] = field(default_factory=dict)

    def drop_expired(self, now: float, seconds: float) -> None:
        """Drop the given grants that are older than a time, in seconds."""
        if self.given:
            self.given = {
                incarnation: grant
                for incarnation, grant in self.given.items()
                if now - grant.at < seconds
            }

    def given_retries(self) -> float:
        """Return the retries that were given and have not expired."""
        return sum(grant.retries for grant in self.given.values())

    def received_retries(self) -> float:
        """Return the retries that were received."""
        return sum(self.received.values())

    def give(self, incarnation: int, available: float, entry_count: int, now: float) -> float:
        """Give a part of what is available to a process that asks; return the retries to be sent.

        They are 0 if there are none, or if they were sent a moment ago.

        Args:
          incarnation: Incarnation of the process that asks.
          available: Retries that this process has left, of the service where they are fewest.
          entry_count: Number of the entry processes.
          now: Present time, monotonic, in seconds.
        """
        held = self.given.get(incarnation)
        if held is not None:
            is_due = now - held.sent_at >= RESEND_SECONDS
            held.sent_at = now if is_due else held.sent_at
            return held.retries if is_due else 0.0
        retries = math.floor(THOUSANDTHS * available / max(1, entry_count)) / THOUSANDTHS
        if retries <= 0.0:
            return 0.0
        self.given[incarnation] = Grant(now, retries, now)
        return retries

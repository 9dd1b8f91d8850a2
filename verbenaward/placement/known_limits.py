"""What is known of the limit that one incarnation of a backend names in its answers.

Answers and the reports of peers arrive out of order. Each carries a time for which it holds, and
the latest one counts. An answer that names a limit holds for the time at which it arrived, one that
names none for the time at which its request was sent: its backend may have written it before the
limit began.
"""

import math
from dataclasses import dataclass

ANNOUNCED_END_SECONDS = 10.0
"""Time for which the peers are told that a limit has ended. Each broadcast may reach only a sample
of them."""


@dataclass(slots=True, eq=False)
class KnownLimit:
    """The limit of one incarnation of a backend.

    Attributes:
      per_second: Requests a second from all processes together; infinite for no limit.
      known_at: Time for which that holds, monotonic.
      is_own: True if an answer to this process shows it; False if a peer has reported it.
      ended_at: When this process found that a limit has ended, monotonic; 0 for never.
    """

    per_second: float = math.inf
    known_at: float = 0.0
    is_own: bool = False
    ended_at: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Return True if the backend names a limit."""
        return self.per_second < math.inf

    def record_answer(self, per_second: float, sent_at: float, now: float) -> bool:
        """Record what an answer to this process shows.

        Args:
          per_second: Limit that it names; infinite for none.
          sent_at: When its request was sent, monotonic.
          now: Present time, monotonic, in seconds.

        Returns:
          True if the limit has changed.
        """
        was_limited = self.is_limited
        changed = self.record(per_second, sent_at if per_second == math.inf else now, True)
        if was_limited and not self.is_limited:
            self.ended_at = now
        return changed

    def record_report(self, per_second: float, known_at: float) -> bool:
        """Record what a peer has reported, and return True if the limit has changed."""
        return self.record(per_second, known_at, False)

    def record(self, per_second: float, known_at: float, is_own: bool) -> bool:
        """Take over a limit unless a later one is known; return True if the limit has changed."""
        if known_at <= self.known_at:
            return False
        # Reports carry rates per 1000 seconds, so own values are rounded alike.
        rounded = round(per_second, 3)
        changed = rounded != self.per_second
        self.per_second = rounded
        self.known_at = known_at
        self.is_own = is_own
        return changed

    def is_announced(self, now: float) -> bool:
        """Return True if the peers are told: an own answer shows a limit, or its recent end."""
        is_end_recent = self.ended_at > 0 and now - self.ended_at < ANNOUNCED_END_SECONDS
        return self.is_own and (self.is_limited or is_end_recent)

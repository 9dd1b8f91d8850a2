"""Owners of limits that do not answer, and when another process grants sends in their place.

With sampled broadcasts the registrations decide who owns a limit, and one of a killed process ends
only after 6 to 10 s. A cold backend would not be used in that time. A process that gets no answer
from the owner therefore asks the next one, which grants sends once its own questions to the owner
have had no answer for longer than any stall that leaves the owner in charge.
"""

from dataclasses import dataclass

from .entry_peers import EntryPeer
from .limit_owners import STALL_SECONDS

REPLY_SECONDS = 0.1
"""Time to wait for an answer of the owner."""
PASS_OVER_SECONDS = 1.0
"""Time for which a process that has not answered is not asked again; doubled each time."""
MAXIMUM_PASS_OVER_SECONDS = 8.0
PROBE_SECONDS = 0.5
"""Interval of the questions by which a process checks whether the owner answers again."""
MINIMUM_UNANSWERED = 3
"""Questions without an answer after which an owner may be replaced; a few may be lost."""


@dataclass(slots=True)
class Silence:
    """Requests to a process since its last message.

    Attributes:
      first_at: When the first of them was sent, monotonic.
      last_at: When the last of them was sent, monotonic.
      count: Their number; those sent at about the same time count as one.
    """

    first_at: float
    last_at: float
    count: int = 1

    def unanswered(self, now: float) -> int:
        """Return how many have had no answer in the time for one."""
        return self.count if now - self.last_at > REPLY_SECONDS else self.count - 1

    def is_passed_over(self, now: float) -> bool:
        """Return True if the process is not asked now."""
        longest = PASS_OVER_SECONDS * 2.0 ** min(10, self.count - 1)
        pause = min(MAXIMUM_PASS_OVER_SECONDS, longest)
        return self.unanswered(now) > 0 and now - self.last_at < pause

    def is_long(self, now: float) -> bool:
        """Return True if the process may be replaced."""
        return now - self.first_at >= STALL_SECONDS and self.unanswered(now) >= MINIMUM_UNANSWERED


class SilentOwners:
    """Processes that have not sent anything since they were asked.

    Attributes:
      by_control: Their silence, by control address.
    """

    def __init__(self) -> None:
        self.by_control: dict[str, Silence] = {}

    def record_asked(self, control: str, now: float) -> None:
        """Record that a question is sent to a process."""
        silence = self.by_control.get(control)
        if silence is None:
            self.by_control[control] = Silence(now, now)
        elif silence.unanswered(now) == silence.count:
            silence.count += 1
            silence.last_at = now

    def record_heard(self, control: str) -> None:
        """Record that a question or an answer of a process has come."""
        self.by_control.pop(control, None)

    def silence_of(self, peer: EntryPeer) -> Silence | None:
        """Return the silence of a peer; None if it has sent something since it was asked."""
        silence = self.by_control.get(peer.control)
        if silence is not None and peer.received_at > silence.first_at:
            self.record_heard(peer.control)
            return None
        return silence

    def is_passed_over(self, peer: EntryPeer, now: float) -> bool:
        """Return True if another process is to be asked in place of a peer."""
        silence = self.silence_of(peer)
        return silence is not None and silence.is_passed_over(now)

    def is_replaced(self, peer: EntryPeer, now: float) -> bool:
        """Return True if a peer owns no limits, as it has not answered this process for long."""
        silence = self.silence_of(peer)
        return silence is not None and silence.is_long(now)

    def is_probe_due(self, peer: EntryPeer, now: float) -> bool:
        """Return True if a peer is to be asked whether it is there."""
        silence = self.silence_of(peer)
        return silence is None or now - silence.last_at >= PROBE_SECONDS

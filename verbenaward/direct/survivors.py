"""Which backends live on after a connection to them ended as in a crash.

A reset, or an answer that is cut off, is the first sign of a crash. A backend that has crashed
starts again as another incarnation, with a registration of its own, or its registration ends after
three heartbeats. So an incarnation has not crashed if its registration still stands

- some time after it has answered a request that was sent to it after the supposed crash. The answer
  alone does not show it: the next incarnation may answer at the same address under the same id
  before its registration is known here;
- or for longer than the platform keeps the registration of a backend that is silent.

Time in which the store is away counts for neither, as it may end no registrations then.
"""

import math
from dataclasses import dataclass

from ..placement.fleet import Fleet
from ..replica.store_replica import KEPT_REGISTRATION_SECONDS
from .crash_tracker import CrashTracker
from .peer_table import STORE_DOWN_SECONDS

NEXT_REGISTRATION_SECONDS = 2.0
"""Time after an answer within which the registration of the incarnation that has sent it is known
here: a heartbeat, and the way through the store."""
OUTLIVED_SECONDS = KEPT_REGISTRATION_SECONDS + STORE_DOWN_SECONDS
"""Time after a crash in which the registration ends, also if an outage of the store that is too
short to be noticed has held that up."""
SETTLING_SECONDS = 3.0
"""Time after an outage of the store in which registrations come back, or are replaced."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The first answer of a backend after a supposed crash that was not judged yet.

    Attributes:
      sent_at: When the answered request was sent, monotonic, in seconds.
      received_at: When the answer came.
    """

    sent_at: float
    received_at: float


class Survivors:
    """Finds backends that were taken for crashed and live on.

    Attributes:
      tracker: Evidence of crashes.
      fleet: Backends that are registered.
      answers: Answers by the name of the backend's incarnation.
      away_until: Time until which the store was away, or its return was too recent, monotonic.
    """

    def __init__(self, tracker: CrashTracker, fleet: Fleet) -> None:
        self.tracker = tracker
        self.fleet = fleet
        self.answers: dict[int, Answer] = {}
        self.away_until = -math.inf

    def record_answer(self, backend: int, sent_at: float, now: float) -> None:
        """Record that an answer of a backend came to a request that was sent at a time."""
        crashed_at = self.tracker.crashed_at.get(backend)
        if crashed_at is not None and sent_at > crashed_at and backend not in self.answers:
            self.answers[backend] = Answer(sent_at, now)

    def update(self, complete_until: float, now: float) -> None:
        """Withdraw the crashes of backends that live on.

        Args:
          complete_until: Time before which every change of the store is known, monotonic.
          now: Present time, monotonic, in seconds.
        """
        self.tracker.forget_backends(now)
        if now - complete_until > STORE_DOWN_SECONDS:
            self.away_until = now + SETTLING_SECONDS
        if not self.tracker.crashed_at or now < self.away_until:
            self.answers.clear()
            return
        registered = self.registered()
        for backend, crashed_at in list(self.tracker.crashed_at.items()):
            if backend not in registered:
                self.answers.pop(backend, None)
                continue
            answer = self.answers.get(backend)
            if answer and complete_until >= answer.received_at + NEXT_REGISTRATION_SECONDS:
                del self.answers[backend]
                self.tracker.record_alive(backend, answer.sent_at, now)
            elif self.has_outlived(crashed_at, complete_until):
                self.tracker.record_alive(backend, crashed_at, now)

    def has_outlived(self, crashed_at: float, complete_until: float) -> bool:
        """Return True if the registration of a crashed backend would have ended by now."""
        since = max(crashed_at, self.away_until, self.fleet.started_at)
        return complete_until >= since + OUTLIVED_SECONDS

    def registered(self) -> set[int]:
        """Return the names of the incarnations whose registrations stand and tell their start."""
        return {
            view.notices.name
            for view in self.fleet.backends.values()
            if view.backend.born_unix_ms and not view.lapsed_until
        }

"""Decides from crashes of backends whether what they ran is to blame.

The evidence on one key, for example the fingerprint of a request, is the set of backends that
crashed while they ran a request with that key, and the last proof that a backend can run it. Many
requests are in flight at a backend that crashes, and many backends may be lost at once, so the
number of crashes alone proves little: a request that is to blame also crashes backends to which it
is sent after the first crash. Such crashes make a further round.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..requests.quarantine import QuarantineState

FIRST_TRIAL_SECONDS = 120.0
"""Time after the last crash for which a poison key is refused before it is tried again. Doubled for
each further round of crashes."""
MAXIMUM_TRIAL_SECONDS = 600.0
RECORD_LIFETIME_SECONDS = 1200.0
"""Time after the last crash for which the evidence is kept; longer than any wait for a trial."""
MAXIMUM_CRASHES = 8
"""Crashes of a key that are kept; further ones would not change the decision."""


@dataclass(frozen=True, slots=True)
class EvidenceRule:
    """How much evidence makes a key suspect or poison.

    Attributes:
      suspect_crashes: Crashes, even if all at once, from which a key is quarantined.
      poison_crashes: Crashes from which a key is poison, if there were several rounds.
    """

    suspect_crashes: int
    poison_crashes: int


REQUEST_RULE = EvidenceRule(suspect_crashes=2, poison_crashes=2)
"""Rule for whole requests: an equal one is rarely in flight at two backends that end by chance."""
POISON_ROUNDS = 2
"""Rounds of crashes from which a key may be poison."""


@dataclass(frozen=True, slots=True)
class BackendCrash:
    """End of a backend that ran a request with a key.

    Attributes:
      backend: Hash that names the incarnation of the backend; it can crash only once.
      at: Time of the crash, monotonic, in seconds.
      sent_at: When the request had been sent to it.
    """

    backend: int
    at: float
    sent_at: float


@dataclass(slots=True)
class CrashRecord:
    """Evidence on one key.

    Attributes:
      rule: Rule that applies to the key.
      crashes: Crashes by incarnation of the backend.
      answered_at: Time of the last proof that a backend can run it, monotonic; 0 for none.
    """

    rule: EvidenceRule
    crashes: dict[int, BackendCrash] = field(default_factory=dict)
    answered_at: float = 0.0

    def add(self, crash: BackendCrash) -> bool:
        """Add a crash; return True if it counts and was not known."""
        if crash.backend in self.crashes or crash.at <= self.answered_at:
            return False
        if len(self.crashes) >= MAXIMUM_CRASHES:
            # The oldest ones prove the first rounds, so one of the middle gives way.
            oldest_first = sorted(self.crashes.values(), key=lambda item: item.at)
            del self.crashes[oldest_first[MAXIMUM_CRASHES // 2].backend]
        self.crashes[crash.backend] = crash
        return True

    def clear(self, now: float) -> None:
        """Record that a backend can run it, which takes back the blame for earlier crashes."""
        self.answered_at = max(self.answered_at, now)
        self.crashes = {
            name: crash for name, crash in self.crashes.items() if crash.at > self.answered_at
        }

    @property
    def last_crash_at(self) -> float:
        """Return the time of the last crash; 0 if there was none."""
        return max((crash.at for crash in self.crashes.values()), default=0.0)

    def state(self, now: float) -> QuarantineState:
        """Return what follows from the evidence.

        Args:
          now: Present time, monotonic, in seconds.
        """
        rounds = rounds_of(self.crashes.values())
        if len(self.crashes) >= self.rule.poison_crashes and rounds >= POISON_ROUNDS:
            if now - self.last_crash_at < trial_seconds(rounds):
                return QuarantineState.POISON
            return QuarantineState.QUARANTINED
        if len(self.crashes) >= self.rule.suspect_crashes:
            return QuarantineState.QUARANTINED
        return QuarantineState.NONE


def rounds_of(crashes: Iterable[BackendCrash]) -> int:
    """Return the length of the longest series in which each send followed the crash before it."""
    rounds = 0
    last_at = float("-inf")
    for crash in sorted(crashes, key=lambda item: item.at):
        if crash.sent_at > last_at:
            rounds += 1
            last_at = crash.at
    return rounds


def trial_seconds(rounds: int) -> float:
    """Return the time after the last crash until a poison key is tried again, in seconds."""
    return min(MAXIMUM_TRIAL_SECONDS, FIRST_TRIAL_SECONDS * float(2 ** (rounds - POISON_ROUNDS)))

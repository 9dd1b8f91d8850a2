"""Decides from crashes of backends whether what they ran is to blame.

A key stands for a whole request or for a part of a prompt. The evidence on it is the set of
backends that crashed while they ran a request with the key, and the last proof that a backend can
run one. Many requests are in flight at a backend that crashes, and many backends may be lost at
once, so the number of crashes alone proves little. Three things separate what is to blame:

- It also crashes backends to which it is sent after the first crash. Such crashes make a further
  round.
- It has not been answered. A key that has been, at some time, is proven: it needs more rounds.
- A crash that a part to blame explains counts against no other key.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from ..requests.quarantine import QuarantineState

FIRST_TRIAL_SECONDS = 120.0
"""Time after the last crash for which a poison key is refused before it is tried again. Doubled for
each further round of crashes."""
MAXIMUM_TRIAL_SECONDS = 600.0
SUSPECT_SECONDS = 30.0
"""Time after the last crash for which weak evidence keeps a key quarantined. Its callers may never
ask the process that is to try it."""
RECORD_LIFETIME_SECONDS = 1200.0
"""Time after the last crash for which the evidence is kept; longer than any wait for a trial."""
MAXIMUM_CRASHES = 64
"""Crashes of a key that are kept; one that is not can count against other keys."""

AGE_STEP_SECONDS = 0.002
"""Error of the time between two events that other processes have reported: ages travel in whole
milliseconds, and a retry follows a crash at once."""


@dataclass(frozen=True, slots=True)
class EvidenceRule:
    """How much evidence makes a key suspect or poison.

    Attributes:
      suspect_crashes: Crashes, even if all at once, from which a key that was never answered is
        quarantined.
      poison_crashes: Crashes from which a key is poison, if there were several rounds.
    """

    suspect_crashes: int
    poison_crashes: int


REQUEST_RULE = EvidenceRule(suspect_crashes=2, poison_crashes=2)
"""Rule for whole requests: an equal one is rarely in flight at two backends that end by chance."""
PART_RULE = EvidenceRule(suspect_crashes=5, poison_crashes=3)
"""Rule for parts of prompts: many requests with the same part are in flight at all times."""
POISON_ROUNDS = 2
"""Rounds of crashes from which a key that was never answered is poison."""
PROVEN_POISON_ROUNDS = 4
"""Rounds of crashes from which a key that was answered before is poison: its weights may have
changed."""


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
        """Add a crash; return True if it counts and was not known.

        Of several times of one crash the earliest is closest, as reports of it take time.
        """
        if crash.at <= self.answered_at:
            return False
        known = self.crashes.get(crash.backend)
        if known is not None:
            if crash.at < known.at:
                self.crashes[crash.backend] = crash
            return False
        if len(self.crashes) >= MAXIMUM_CRASHES:
            oldest = min(self.crashes.values(), key=lambda item: item.at)
            del self.crashes[oldest.backend]
        self.crashes[crash.backend] = crash
        return True

    def clear(self, answered_at: float) -> None:
        """Record that a backend could run it, which takes back the blame for earlier crashes."""
        self.answered_at = max(self.answered_at, answered_at)
        self.crashes = {
            name: crash for name, crash in self.crashes.items() if crash.at > self.answered_at
        }

    def withdraw(self, backend: int, alive_at: float) -> bool:
        """Drop the crash of a backend that lived later on; return True if there was one."""
        crash = self.crashes.get(backend)
        if crash is None or crash.at > alive_at:
            return False
        del self.crashes[backend]
        return True

    @property
    def last_crash_at(self) -> float:
        """Return the time of the last crash; 0 if there was none."""
        return max((crash.at for crash in self.crashes.values()), default=0.0)

    @property
    def is_proven(self) -> bool:
        """Return True if a backend has run a request with the key before."""
        return self.answered_at > 0

    @property
    def poison_rounds(self) -> int:
        """Return the rounds of crashes from which the key is poison."""
        return PROVEN_POISON_ROUNDS if self.is_proven else POISON_ROUNDS

    def is_blamed_part(self) -> bool:
        """Return True if this is a part with as many crashes as make it poison."""
        return (
            self.rule is PART_RULE
            and len(self.crashes) >= self.rule.poison_crashes
            and rounds_of(self.crashes.values()) >= self.poison_rounds
        )

    def explains_crashes(self) -> bool:
        """Return True if this is a part that is clearly to blame for its crashes."""
        return not self.is_proven and self.is_blamed_part()

    def explains(self, other: "CrashRecord") -> bool:
        """Return True if half or more of the crashes of another key are also crashes of this."""
        shared = self.crashes.keys() & other.crashes.keys()
        return 2 * len(shared) >= len(other.crashes)

    def state(self, explained: Container[int], now: float) -> QuarantineState:
        """Return what follows from the evidence.

        Args:
          explained: Backends whose crashes are explained by another key.
          now: Present time, monotonic, in seconds.
        """
        if len(self.crashes) < self.rule.poison_crashes:
            return QuarantineState.NONE
        crashes = [crash for crash in self.crashes.values() if crash.backend not in explained]
        if len(crashes) < self.rule.poison_crashes:
            return QuarantineState.NONE
        rounds = rounds_of(crashes)
        if rounds >= self.poison_rounds:
            if now - self.last_crash_at < trial_seconds(rounds):
                return QuarantineState.POISON
            return QuarantineState.QUARANTINED
        is_suspect = rounds >= POISON_ROUNDS or (
            not self.is_proven and len(crashes) >= self.rule.suspect_crashes
        )
        if is_suspect and now - self.last_crash_at < SUSPECT_SECONDS:
            return QuarantineState.QUARANTINED
        return QuarantineState.NONE


def blamed_keys(proven: dict[bytes, bool]) -> list[bytes]:
    """Return the keys of a crashed request that may be to blame.

    Args:
      proven: For each key, whether a backend has run a request with it before. Those that were
        never run are to blame first.
    """
    unproven = [key for key, is_proven in proven.items() if not is_proven]
    return unproven or list(proven)


def rounds_of(crashes: Iterable[BackendCrash]) -> int:
    """Return the length of the longest series in which each send followed the crash before it."""
    rounds = 0
    last_at = float("-inf")
    for crash in sorted(crashes, key=lambda item: item.at):
        if crash.sent_at >= last_at - AGE_STEP_SECONDS:
            rounds += 1
            last_at = crash.at
    return rounds


def trial_seconds(rounds: int) -> float:
    """Return the time after the last crash until a poison key is tried again, in seconds."""
    return min(MAXIMUM_TRIAL_SECONDS, FIRST_TRIAL_SECONDS * float(2 ** (rounds - POISON_ROUNDS)))

"""Poison requests: requests that crash the backends that run them.

Each entry process records the crashes that it sees and sends the latest ones to its peers. A
process that learns of a poison request passes its crashes on for a limited time, so that all
refuse it.
"""

import time
from collections import deque

from blake3 import blake3

from ..requests.quarantine import (
    RECORD_LIFETIME_SECONDS,
    CrashRegistry,
    QuarantineState,
    crash_of,
)
from ..schema.messages import Crash

FINGERPRINT_BYTES = 16
MAXIMUM_BROADCAST_CRASHES = 16
"""Limit on the own crashes in a full broadcast, and again on those of poison requests."""
CRASH_BROADCAST_SECONDS = 10.0
"""Time for which a crash is sent, or passed on, to the other entry processes."""


def fingerprint_of(method: str, raw_path: str, workspace: str, body: bytes) -> bytes:
    """Return the hash that identifies the content of a request; it does not cover its id."""
    text = f"{method}\0{raw_path}\0{workspace}\0".encode()
    return blake3(text + body).digest(length=FINGERPRINT_BYTES)


class CrashTracker:
    """Requests during which backends crashed.

    Attributes:
      crash_registry: Crashes by fingerprint, seen by this process or received from others.
      own_crashes: Latest crashes that this process saw, with the time of each.
      poison_since: When this process learned from others that a request is poison, by fingerprint.
    """

    def __init__(self) -> None:
        self.crash_registry = CrashRegistry()
        self.own_crashes: deque[tuple[float, Crash]] = deque(maxlen=MAXIMUM_BROADCAST_CRASHES)
        self.poison_since: dict[bytes, float] = {}

    def quarantine_state_of(self, fingerprint: bytes, now: float) -> QuarantineState:
        """Return whether a request is quarantined or poison because backends crashed with it."""
        return self.crash_registry.state_of(fingerprint, now)

    def record_crash(self, fingerprint: bytes, backend: str, now: float) -> None:
        """Record that a backend broke the connection while it may have run a request."""
        crash = crash_of(fingerprint, backend, 0, time.time())
        self.crash_registry.record(crash, now)
        self.own_crashes.append((now, crash))

    def record_success(self, fingerprint: bytes) -> None:
        """Clear a request that a backend has completed: it does not crash backends."""
        self.crash_registry.records.pop(fingerprint, None)

    def merge(self, crashes: tuple[Crash, ...], now: float) -> None:
        """Add the crashes that another entry process has broadcast."""
        for crash in crashes:
            is_new = self.crash_registry.record(crash, now)
            if (
                is_new
                and self.quarantine_state_of(crash.fingerprint, now) is QuarantineState.POISON
            ):
                self.poison_since.setdefault(crash.fingerprint, now)

    def recent_crashes(self, now: float) -> tuple[Crash, ...]:
        """Return the crashes that the next full broadcast should contain."""
        own = [
            crash
            for noted_at, crash in self.own_crashes
            if now - noted_at < CRASH_BROADCAST_SECONDS
        ]
        return (*own, *self.crashes_to_pass_on(now))

    def crashes_to_pass_on(self, now: float) -> list[Crash]:
        """Return crashes of the requests that others have lately shown to be poison.

        Each request is passed on for a limited time after the first news of it, so that it does
        not go round for ever.
        """
        self.poison_since = {
            fingerprint: since
            for fingerprint, since in self.poison_since.items()
            if now - since < RECORD_LIFETIME_SECONDS
        }
        crashes = [
            crash
            for fingerprint, since in self.poison_since.items()
            if now - since < CRASH_BROADCAST_SECONDS
            for crash in self.crash_registry.crashes_of(fingerprint)
        ]
        return crashes[-MAXIMUM_BROADCAST_CRASHES:]

"""Poison requests: requests that crash the backends that run them.

Each entry process records the crashes that it sees and sends the latest ones to its peers, so that
all processes refuse a poison request.
"""

import time
from collections import deque

from blake3 import blake3

from ..requests.quarantine import CrashRegistry, QuarantineState, crash_of
from ..schema.messages import Crash

FINGERPRINT_BYTES = 16
MAXIMUM_BROADCAST_CRASHES = 16
"""Own crashes that each full broadcast contains at most, the latest ones."""
CRASH_BROADCAST_SECONDS = 10.0
"""Time for which a crash is sent to the other entry processes."""


def fingerprint_of(method: str, raw_path: str, workspace: str, body: bytes) -> bytes:
    """Return the hash that identifies the content of a request; it does not cover its id."""
    text = f"{method}\0{raw_path}\0{workspace}\0".encode()
    return blake3(text + body).digest(length=FINGERPRINT_BYTES)


class CrashTracker:
    """Requests during which backends crashed.

    Attributes:
      crash_registry: Crashes by fingerprint, seen by this process or received from others.
      own_crashes: Latest crashes that this process saw, with the time of each.
    """

    def __init__(self) -> None:
        self.crash_registry = CrashRegistry()
        self.own_crashes: deque[tuple[float, Crash]] = deque(maxlen=MAXIMUM_BROADCAST_CRASHES)

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
            self.crash_registry.record(crash, now)

    def recent_crashes(self, now: float) -> tuple[Crash, ...]:
        """Return the own crashes that the next full broadcast should contain."""
        return tuple(
            crash
            for noted_at, crash in self.own_crashes
            if now - noted_at < CRASH_BROADCAST_SECONDS
        )

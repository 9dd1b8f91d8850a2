"""Requests that crash backends, as all entry processes know them."""

import time
from collections import deque

from blake3 import blake3

from ..requests.poison import PoisonList, Suspicion, crash_of
from ..schema.messages import Crash

FINGERPRINT_BYTES = 16
TOLD = 16
"""Latest crashes that are told to the other entry processes in each message."""
TELL_SECONDS = 10.0


def fingerprint_of(method: str, raw_path: str, workspace: str, body: bytes) -> bytes:
    """Return the hash of what a request asks for, without its id."""
    text = f"{method}\0{raw_path}\0{workspace}\0".encode()
    return blake3(text + body).digest(length=FINGERPRINT_BYTES)


class Crashes:
    """Requests whose backends broke while they ran.

    Attributes:
      known: Crashes by fingerprint.
      latest: Own crashes that are told to others, with the time of each.
    """

    def __init__(self) -> None:
        self.known = PoisonList()
        self.latest: deque[tuple[float, Crash]] = deque(maxlen=TOLD)

    def judge(self, fingerprint: bytes, now: float) -> Suspicion:
        """Return what is thought of a request."""
        return self.known.judge(fingerprint, now)

    def note_broken(self, fingerprint: bytes, backend: str, now: float) -> None:
        """Note that a backend broke off while it may have run a request."""
        crash = crash_of(fingerprint, backend, 0, time.time())
        self.known.note(crash, now)
        self.latest.append((now, crash))

    def note_survived(self, fingerprint: bytes) -> None:
        """Note that a backend ran a request to a good end: it is no cause of crashes."""
        self.known.records.pop(fingerprint, None)

    def take(self, crashes: tuple[Crash, ...], now: float) -> None:
        """Take what another entry process tells."""
        for crash in crashes:
            self.known.note(crash, now)

    def to_tell(self, now: float) -> tuple[Crash, ...]:
        """Return the crashes that others should hear of."""
        return tuple(crash for noted_at, crash in self.latest if now - noted_at < TELL_SECONDS)

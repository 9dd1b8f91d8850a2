"""Poison requests: requests that crash the backends that run them.

Each entry process records the crashes that it sees and exchanges the evidence with its peers. All
refuse a poison request. A quarantined one, for which the evidence is not clear, is sent by one
appointed process only, one request at a time, until it crashes another backend or is answered.
"""

import contextlib
from collections import Counter
from collections.abc import Callable, Iterator

from blake3 import blake3

from ..logs import get_logger
from ..requests.quarantine import MAXIMUM_FINGERPRINTS, QuarantineState
from ..schema.messages import CrashedBackend, CrashEvidence
from .crash_evidence import (
    RECORD_LIFETIME_SECONDS,
    REQUEST_RULE,
    BackendCrash,
    CrashRecord,
    EvidenceRule,
)

LOG = get_logger(__name__)
FINGERPRINT_BYTES = 16
MAXIMUM_BROADCAST_RECORDS = 16
"""Limit on the records in a full broadcast; the next one contains those left out."""
NEWS_SECONDS = 10.0
"""Time for which a crash or an answer is broadcast, if the key is neither quarantined nor poison.
Each broadcast may reach only a sample of the peers."""
ANSWER_STEP_SECONDS = 1.0
"""A peer's last answer counts if it is later by this than the last one known: the reported age does
not include network delays, so one answer that circulates would seem to get younger."""
MILLISECONDS_PER_SECOND = 1000
MAXIMUM_AGE_MS = 2**32 - 1
"""Largest age that a message holds."""


def fingerprint_of(method: str, raw_path: str, workspace: str, body: bytes) -> bytes:
    """Return the hash that identifies the content of a request; it does not cover its id."""
    text = f"{method}\0{raw_path}\0{workspace}\0".encode()
    return blake3(text + body).digest(length=FINGERPRINT_BYTES)


class CrashTracker:
    """Evidence of crashes, of this process and of its peers.

    Attributes:
      records: Evidence by key.
      running: Requests of this process in flight by key, of those keys that have evidence.
      broadcast_at: When each record was last broadcast, monotonic.
      logged: Last state of each key that was logged.
      is_appointed: Returns whether this process alone tries quarantined requests with a key.
      on_news: Called when this process has evidence that its peers lack.
    """

    def __init__(
        self,
        is_appointed: Callable[[bytes, float], bool] = lambda *_: True,
        on_news: Callable[[], None] = lambda: None,
    ) -> None:
        self.is_appointed = is_appointed
        self.on_news = on_news
        self.records: dict[bytes, CrashRecord] = {}
        self.running: Counter[bytes] = Counter()
        self.broadcast_at: dict[bytes, float] = {}
        self.logged: dict[bytes, QuarantineState] = {}

    def state_of(self, key: bytes, now: float) -> QuarantineState:
        """Return whether a key is quarantined or poison because backends crashed with it."""
        record = self.records.get(key)
        return QuarantineState.NONE if record is None else record.state(now)

    def admits(self, key: bytes, now: float) -> bool:
        """Return True if a request with a key may be sent.

        Args:
          key: The key.
          now: Present time, monotonic, in seconds.
        """
        state = self.state_of(key, now)
        if state is QuarantineState.QUARANTINED:
            return not self.running[key] and self.is_appointed(key, now)
        return state is QuarantineState.NONE

    @contextlib.contextmanager
    def counted_run(self, key: bytes) -> Iterator[None]:
        """Count a request as in flight while the context lasts, if its key has evidence."""
        if key not in self.records:
            yield
            return
        self.running[key] += 1
        try:
            yield
        finally:
            self.running[key] -= 1

    def record_crash(self, key: bytes, backend: int, sent_at: float, now: float) -> None:
        """Record that a backend crashed while it may have run a request.

        Args:
          key: Key of the request.
          backend: Hash that names the incarnation of the backend.
          sent_at: When the request was sent to it, monotonic, in seconds.
          now: Present time, monotonic, in seconds.
        """
        self.record_of(key, REQUEST_RULE, now).add(BackendCrash(backend, now, sent_at))
        self.log_change(key, now)
        self.on_news()

    def record_answered(self, key: bytes, now: float) -> None:
        """Record that a backend has answered a request with a key, so that this is not to blame."""
        record = self.records.get(key)
        if record is not None and record.crashes:
            record.clear(now)
            self.log_change(key, now)
            self.on_news()

    def record_of(self, key: bytes, rule: EvidenceRule, now: float) -> CrashRecord:
        """Return the record of a key, added if new."""
        if key not in self.records:
            self.make_room(now)
            self.records[key] = CrashRecord(rule)
        return self.records[key]

    def make_room(self, now: float) -> None:
        """Drop the record with the oldest news if there are too many, poison ones last."""
        if len(self.records) < MAXIMUM_FINGERPRINTS:
            return
        self.forget(
            min(
                self.records,
                key=lambda key: (
                    self.state_of(key, now) is QuarantineState.POISON,
                    newest_at(self.records[key]),
                ),
            )
        )

    def forget(self, key: bytes) -> None:
        """Drop the record of a key."""
        for table in (self.records, self.broadcast_at, self.logged):
            table.pop(key, None)

    def merge(self, received: tuple[CrashEvidence, ...], now: float) -> None:
        """Add the evidence that another entry process has broadcast.

        Args:
          received: The evidence, with ages in place of times.
          now: Present time, monotonic, in seconds.
        """
        for evidence in received:
            record = self.record_of(evidence.key, REQUEST_RULE, now)
            answered_at = now - evidence.answered_ms / MILLISECONDS_PER_SECOND
            if evidence.answered_ms and answered_at >= record.answered_at + ANSWER_STEP_SECONDS:
                record.clear(answered_at)
            for crash in evidence.crashes:
                record.add(
                    BackendCrash(
                        crash.backend,
                        now - crash.age_ms / MILLISECONDS_PER_SECOND,
                        now - crash.sent_ms / MILLISECONDS_PER_SECOND,
                    )
                )
            self.log_change(evidence.key, now)

    def evidence_to_broadcast(self, now: float) -> tuple[CrashEvidence, ...]:
        """Return the evidence that the next full broadcast should contain.

        Records of quarantined and poison keys are always broadcast, as a process may have just
        started; the others while they are new. If there are too many, they take turns.
        """
        for key in [key for key, record in self.records.items() if is_expired(record, now)]:
            self.forget(key)
        open_keys = [key for key in self.records if self.state_of(key, now) != QuarantineState.NONE]
        new_keys = [
            key
            for key, record in self.records.items()
            if key not in open_keys and now - newest_at(record) < NEWS_SECONDS
        ]
        chosen = [*self.longest_untold(open_keys), *self.longest_untold(new_keys)]
        chosen = chosen[:MAXIMUM_BROADCAST_RECORDS]
        self.broadcast_at.update(dict.fromkeys(chosen, now))
        return tuple(message_of(key, self.records[key], now) for key in chosen)

    def longest_untold(self, keys: list[bytes]) -> list[bytes]:
        """Return keys in the order of their last broadcasts, the longest ago first."""
        return sorted(keys, key=lambda key: self.broadcast_at.get(key, 0.0))

    def log_change(self, key: bytes, now: float) -> None:
        """Write a line if the state of a key has changed."""
        state = self.state_of(key, now)
        if state is self.logged.get(key, QuarantineState.NONE):
            return
        self.logged[key] = state
        crashes = len(self.records[key].crashes)
        LOG.warning("poison.changed", key=key.hex(), state=state.value, crashes=crashes)


def newest_at(record: CrashRecord) -> float:
    """Return the time of the last crash or answer of a record."""
    return max(record.last_crash_at, record.answered_at)


def is_expired(record: CrashRecord, now: float) -> bool:
    """Return True if a record is too old to matter."""
    return now - newest_at(record) > RECORD_LIFETIME_SECONDS


def message_of(key: bytes, record: CrashRecord, now: float) -> CrashEvidence:
    """Return the message with the evidence on a key."""
    return CrashEvidence(
        key,
        tuple(
            CrashedBackend(crash.backend, age_ms(crash.at, now), age_ms(crash.sent_at, now))
            for crash in record.crashes.values()
        ),
        max(1, age_ms(record.answered_at, now)) if record.answered_at else 0,
    )


def age_ms(at: float, now: float) -> int:
    """Return the age of a time in milliseconds."""
    return min(MAXIMUM_AGE_MS, max(0, round((now - at) * MILLISECONDS_PER_SECOND)))

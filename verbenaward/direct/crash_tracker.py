"""Poison requests, and poison parts of prompts: what crashes the backends that run it.

Each entry process records the crashes that it sees and exchanges the evidence with its peers. All
refuse what is poison. What is quarantined, as the evidence on it is not clear, is sent by one
appointed process only, one request at a time, until it crashes another backend or is answered.
"""

import contextlib
from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Iterator

from blake3 import blake3

from ..logs import get_logger
from ..requests.quarantine import MAXIMUM_FINGERPRINTS, QuarantineState
from ..schema.messages import CrashEvidence
from .crash_evidence import (
    PART_RULE,
    RECORD_LIFETIME_SECONDS,
    REQUEST_RULE,
    BackendCrash,
    CrashRecord,
    EvidenceRule,
    blamed_keys,
)
from .crash_messages import answered_at_of, crashes_of, message_of

LOG = get_logger(__name__)
FINGERPRINT_BYTES = 16
MAXIMUM_BROADCAST_RECORDS = 16
"""Limit on the records in a full broadcast; the next one contains those left out."""
MAXIMUM_BROADCAST_PARTS = 12
"""Limit on those of them that are about parts of prompts; more requests share these."""
MAXIMUM_ANSWERED_PARTS = 5_000
"""Limit on the parts whose last answer is remembered; the one answered longest ago is dropped."""
NEWS_SECONDS = 10.0
"""Time for which a crash or an answer is broadcast, if the key is neither quarantined nor poison.
Each broadcast may reach only a sample of the peers."""
ANSWER_STEP_SECONDS = 1.0
"""A peer's last answer counts if it clears crashes, or is later by this than the last one known.
The reported age does not include network delays, so one that circulates seems to get younger."""
STORED_DELAY_SECONDS = 3.0
"""Longest time that evidence usually takes through the store to a process that follows it."""


def part_keys_of(service: str, parts: tuple[str, ...]) -> tuple[bytes, ...]:
    """Return the keys of the parts of a prompt that may crash an engine.

    The last part belongs to the request or its session; the evidence on the whole request covers
    it.
    """
    return tuple(
        blake3(f"{service}\0{part}".encode()).digest(length=FINGERPRINT_BYTES)
        for part in parts[:-1]
    )


def fingerprint_of(method: str, raw_path: str, workspace: str, body: bytes) -> bytes:
    """Return the hash that identifies the content of a request; it does not cover its id."""
    text = f"{method}\0{raw_path}\0{workspace}\0".encode()
    return blake3(text + body).digest(length=FINGERPRINT_BYTES)


class CrashTracker:
    """Evidence of crashes, of this process and of its peers.

    Attributes:
      records: Evidence by key.
      answered: When a backend last answered a request with each of the latest parts, monotonic.
      explained: Backends whose crashes a part that is to blame explains.
      running: Requests of this process in flight by key, of those keys that have evidence.
      broadcast_at: When each record was last broadcast, monotonic.
      logged: Last state of each key that was logged.
      crashed_at: When each backend that has a part in the evidence crashed last, monotonic.
      alive_at: Time at which a backend is known to have lived, though a connection to it had ended
        as in a crash, monotonic.
      changed: Keys whose records this process has changed, until the store is up to date.
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
        self.answered: OrderedDict[bytes, float] = OrderedDict()
        self.explained: frozenset[int] = frozenset()
        self.running: Counter[bytes] = Counter()
        self.broadcast_at: dict[bytes, float] = {}
        self.logged: dict[bytes, QuarantineState] = {}
        self.crashed_at: dict[int, float] = {}
        self.alive_at: dict[int, float] = {}
        self.changed: set[bytes] = set()

    def state_of(self, key: bytes, now: float) -> QuarantineState:
        """Return whether a key is quarantined or poison because backends crashed with it."""
        record = self.records.get(key)
        if record is None:
            return QuarantineState.NONE
        return record.state(() if record.explains_crashes() else self.explained, now)

    def admits(self, keys: Collection[bytes], now: float) -> bool:
        """Return True if a request may be sent.

        Args:
          keys: Keys of the request.
          now: Present time, monotonic, in seconds.
        """
        return all(self.admits_key(key, keys, now) for key in keys if key in self.records)

    def admits_key(self, key: bytes, keys: Collection[bytes], now: float) -> bool:
        """Return True if a request with several keys may be sent in spite of one of them."""
        state = self.state_of(key, now)
        if state is QuarantineState.NONE:
            return True
        if state is QuarantineState.POISON and self.rivals_of(key).issubset(keys):
            return False
        return not self.running[key] and self.is_appointed(key, now)

    def rivals_of(self, key: bytes) -> frozenset[bytes]:
        """Return the parts that explain the crashes of a part as well as it does itself.

        They were in the same requests. Only a request that has them all is known to crash backends.
        """
        record = self.records[key]
        if not record.is_blamed_part():
            return frozenset()
        return frozenset(
            other_key
            for other_key, other in self.records.items()
            if other.is_blamed_part() and other.explains(record)
        )

    @contextlib.contextmanager
    def counted_run(self, *keys: bytes) -> Iterator[None]:
        """Count a request as in flight while the context lasts, for those keys with evidence."""
        counted = [key for key in keys if key in self.records]
        self.running.update(counted)
        try:
            yield
        finally:
            self.running.subtract(counted)
            for key in counted:
                if not self.running[key]:
                    del self.running[key]

    def record_crash(
        self,
        key: bytes,
        backend: int,
        sent_at: float,
        now: float,
        rule: EvidenceRule = REQUEST_RULE,
    ) -> None:
        """Record that a backend crashed while it may have run a request.

        Args:
          key: Key of the request.
          backend: Hash that names the incarnation of the backend.
          sent_at: When the request was sent to it, monotonic, in seconds.
          now: Present time, monotonic, in seconds.
          rule: Rule that applies to the key.
        """
        self.add_crash(self.record_of(key, rule, now), BackendCrash(backend, now, sent_at))
        self.record_news(key, now)

    def record_part_crash(
        self, parts: tuple[bytes, ...], backend: int, sent_at: float, now: float
    ) -> None:
        """Record that a backend crashed as it began to answer a request with parts.

        Args:
          parts: Keys of the parts.
          backend: Hash that names the incarnation of the backend.
          sent_at: When the request was sent to it, monotonic, in seconds.
          now: Present time, monotonic, in seconds.
        """
        for key in blamed_keys({key: self.is_proven(key) for key in parts}):
            self.record_crash(key, backend, sent_at, now, PART_RULE)

    def is_proven(self, key: bytes) -> bool:
        """Return True if a backend is known to have answered a request with a key."""
        record = self.records.get(key)
        return key in self.answered or (record is not None and record.is_proven)

    def record_parts_answered(self, parts: tuple[bytes, ...], began_at: float, now: float) -> None:
        """Record that a backend can answer a request with parts, so that these are proven.

        Args:
          parts: Keys of the parts.
          began_at: When the answer began, monotonic, in seconds: a part may turn bad while answers
            that have begun go on.
          now: Present time, monotonic, in seconds.
        """
        for key in parts:
            self.answered[key] = max(began_at, self.answered.get(key, 0.0))
            self.answered.move_to_end(key)
            self.record_answered(key, began_at, now)
        while len(self.answered) > MAXIMUM_ANSWERED_PARTS:
            self.answered.popitem(last=False)

    def record_answered(self, key: bytes, answered_at: float, now: float) -> None:
        """Record that a backend can answer a request with a key.

        The key is not to blame for crashes before that.

        Args:
          key: Key of the request.
          answered_at: Time for which that is shown, monotonic, in seconds.
          now: Present time, monotonic, in seconds.
        """
        record = self.records.get(key)
        if record is not None and record.crashes and answered_at > record.answered_at:
            record.clear(answered_at)
            self.record_news(key, now)

    def record_news(self, key: bytes, now: float) -> None:
        """Record that this process has changed a record: it is broadcast first, and stored."""
        self.broadcast_at.pop(key, None)
        self.changed.add(key)
        self.update_explained()
        self.log_change(key, now)
        self.on_news()

    def update_explained(self) -> None:
        """Determine the crashes that parts to blame explain, after a change of the evidence."""
        self.explained = frozenset(
            backend
            for record in self.records.values()
            if record.explains_crashes()
            for backend in record.crashes
        )

    def record_of(self, key: bytes, rule: EvidenceRule, now: float) -> CrashRecord:
        """Return the record of a key, added if new."""
        if key not in self.records:
            self.make_room(now)
            self.records[key] = CrashRecord(rule, answered_at=self.answered.get(key, 0.0))
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
        self.changed.discard(key)

    def merge(self, received: tuple[CrashEvidence, ...], now: float) -> None:
        """Add the evidence that another entry process has broadcast.

        Args:
          received: The evidence, with ages in place of times.
          now: Present time, monotonic, in seconds.
        """
        if not received:
            return
        for evidence in received:
            rule = PART_RULE if evidence.is_part else REQUEST_RULE
            record = self.record_of(evidence.key, rule, now)
            answered_at = answered_at_of(evidence, now)
            is_later = answered_at >= record.answered_at + ANSWER_STEP_SECONDS
            if answered_at and (is_later or 0 < record.last_crash_at < answered_at):
                record.clear(answered_at)
            for crash in crashes_of(evidence, now):
                self.add_crash(record, crash)
        self.update_explained()
        for evidence in received:
            self.log_change(evidence.key, now)

    def merge_stored(self, evidence: CrashEvidence, now: float) -> None:
        """Add evidence that was read from the store.

        How long it was there is unknown, so its crashes seem to be later than they were. To a
        process that knows of an answer they count only if they are later by more than that.
        """
        is_new = evidence.key not in self.records
        record = self.record_of(evidence.key, PART_RULE if evidence.is_part else REQUEST_RULE, now)
        known_answer_at = record.answered_at
        if is_new:
            record.answered_at = max(known_answer_at, answered_at_of(evidence, now))
        for crash in crashes_of(evidence, now):
            if not known_answer_at or crash.at > known_answer_at + STORED_DELAY_SECONDS:
                self.add_crash(record, crash)
        self.update_explained()
        self.log_change(evidence.key, now)

    def add_crash(self, record: CrashRecord, crash: BackendCrash) -> None:
        """Add a crash to a record, unless the backend is known to have lived later on."""
        if crash.at <= self.alive_at.get(crash.backend, 0.0):
            return
        record.add(crash)
        self.crashed_at[crash.backend] = max(crash.at, self.crashed_at.get(crash.backend, 0.0))

    def record_alive(self, backend: int, alive_at: float, now: float) -> None:
        """Withdraw the crashes of a backend that lived later on: only connections have ended.

        Args:
          backend: Hash that names the incarnation of the backend.
          alive_at: Time at which it is known to have lived, monotonic, in seconds.
          now: Present time, monotonic, in seconds.
        """
        self.alive_at[backend] = max(alive_at, self.alive_at.get(backend, 0.0))
        if self.crashed_at.get(backend, 0.0) <= alive_at:
            self.crashed_at.pop(backend, None)
        keys = [key for key, record in self.records.items() if record.withdraw(backend, alive_at)]
        self.update_explained()
        for key in keys:
            self.log_change(key, now)
        LOG.info("crashes.withdrawn", backend=backend, keys=len(keys))

    def forget_backends(self, now: float) -> None:
        """Forget backends whose last crash or sign of life is too old to matter."""
        for times in (self.crashed_at, self.alive_at):
            for backend in [name for name, at in times.items() if is_too_old(at, now)]:
                del times[backend]

    def evidence_to_broadcast(self, now: float) -> tuple[CrashEvidence, ...]:
        """Return the evidence that the next full broadcast should contain.

        Records of quarantined and poison keys are always broadcast, as a process may have just
        started; the others while they are new. If there are too many, they take turns, those that
        this process has changed first.
        """
        expired = [key for key, record in self.records.items() if is_expired(record, now)]
        for key in expired:
            self.forget(key)
        if expired:
            self.update_explained()
        part_keys: list[bytes] = []
        request_keys: list[bytes] = []
        for key, record in self.records.items():
            is_new = now - newest_at(record) < NEWS_SECONDS
            if is_new or self.state_of(key, now) is not QuarantineState.NONE:
                (part_keys if record.rule is PART_RULE else request_keys).append(key)
        chosen = self.longest_untold(part_keys)[:MAXIMUM_BROADCAST_PARTS]
        chosen += self.longest_untold(request_keys)[: MAXIMUM_BROADCAST_RECORDS - len(chosen)]
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
    return is_too_old(newest_at(record), now)


def is_too_old(at: float, now: float) -> bool:
    """Return True if evidence of a time is too old to matter."""
    return now - at > RECORD_LIFETIME_SECONDS

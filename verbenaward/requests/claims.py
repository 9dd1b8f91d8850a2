"""Claims of idempotency keys in the key-value service, written before a key runs."""

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from blake3 import blake3
from returns.result import Success

from .. import clock, metrics
from ..logs import get_logger
from ..platform.key_value import KeyValueEntry, KeyValueFailure, KeyValueService
from ..platform.stored_values import decode_value
from .slots import OwnWrite, may_run_without_claim
from .tenures import Tenures

LOG = get_logger(__name__)
CLAIM_PREFIX = "verbenaward/claims"
RETRY_SECONDS = 0.05
"""Pause between two tries to write a claim."""
MAXIMUM_OWN_WRITES = 64
"""Number of own writes kept as evidence for taking over slots."""


class ClaimOutcome(StrEnum):
    """Outcome of a claim.

    UNCLAIMED: the service is down, and the key may run without a claim. TAKEN: another process
    has claimed the key. NO_SERVICE: the service did not answer before the deadline.
    """

    CLAIMED = "claimed"
    UNCLAIMED = "unclaimed"
    TAKEN = "taken"
    NO_SERVICE = "no-service"


@dataclass(frozen=True, slots=True)
class Claim:
    """The stored value of a claim: the process that runs the key."""

    vm: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ClaimTimes:
    """Times of the at-most-once protocol, in seconds.

    Attributes:
      outage_grace: Length of an outage of the key-value service after which keys run without
        claims (setting patience_seconds).
      write_delay: Longest time until a write takes effect.
      renewal_interval: Interval between renewals.
      resend_window: Time for which callers may resend a key.
    """

    outage_grace: float
    write_delay: float
    renewal_interval: float
    resend_window: float


class ClaimWriter:
    """Writes claims, and queues those of keys that ran in an outage until it ends.

    Attributes:
      service: The key-value service.
      role: Role of the endpoint process.
      owner: Value of all claims of this process.
      times: Times of the protocol.
      tenures: The held slots, with the claims of their former holders.
      last_success: Time of the last successful call, monotonic.
      last_renewal_sent: Time at which the last renewal was sent, monotonic.
      pending: Key-value keys of the claims that are not written yet, oldest first.
      flush_lock: Held while pending claims are written.
      own_writes: Last successful writes of this process, oldest first.
    """

    def __init__(
        self, service: KeyValueService, role: str, owner: Claim, times: ClaimTimes, now: float
    ) -> None:
        self.service = service
        self.role = role
        self.owner = owner
        self.times = times
        self.tenures = Tenures(times.resend_window)
        self.last_success = now
        self.last_renewal_sent = now
        self.pending: deque[str] = deque()
        self.flush_lock = asyncio.Lock()
        self.own_writes: deque[OwnWrite] = deque(maxlen=MAXIMUM_OWN_WRITES)

    def prefix_of(self, slot: int) -> str:
        """Return the prefix of the key-value keys of all claims of a slot."""
        return f"{CLAIM_PREFIX}/{self.role}/{slot:03}/"

    def may_skip_claims(self, now: float) -> bool:
        """Return True if the outage has lasted long enough to run keys without claims.

        Args:
          now: Current time, monotonic, in seconds.
        """
        return may_run_without_claim(
            self.last_success, self.last_renewal_sent, self.times.outage_grace, now
        )

    async def claim(self, slot: int, key: str, deadline: float) -> ClaimOutcome:
        """Claim a key before it runs.

        Args:
          slot: Slot of the key.
          key: The key.
          deadline: Time by which the caller needs the answer, monotonic.

        Returns:
          CLAIMED or UNCLAIMED if the key may run now.
        """
        name = claim_name(key)
        path = self.prefix_of(slot) + name
        while True:
            now = clock.now()
            if self.tenures.has_former_claim(slot, name):
                return ClaimOutcome.TAKEN
            if self.may_skip_claims(now) and self.tenures.knows_former_claims(slot, now):
                self.pending.append(path)
                return ClaimOutcome.UNCLAIMED
            outcome = await self.try_claim(path)
            if outcome is not ClaimOutcome.NO_SERVICE:
                return outcome
            if clock.now() + RETRY_SECONDS >= deadline:
                return ClaimOutcome.NO_SERVICE
            await asyncio.sleep(RETRY_SECONDS)

    async def try_claim(self, path: str) -> ClaimOutcome:
        """Try once to write a claim; if it exists already, read whose it is."""
        sent_at = clock.now()
        value = msgspec.json.encode(self.owner)
        result = await self.service.write(path, value, 0, 2 * self.times.resend_window)
        if isinstance(result, Success):
            self.record_write(result.unwrap(), sent_at)
            metrics.KEY_VALUE_CALLS.labels("claim", "ok").inc()
            return ClaimOutcome.CLAIMED
        failure = result.failure().failure
        metrics.KEY_VALUE_CALLS.labels("claim", failure.value).inc()
        if failure is not KeyValueFailure.CONFLICT:
            return ClaimOutcome.NO_SERVICE
        read = await self.service.read(path)
        if not isinstance(read, Success):
            return ClaimOutcome.NO_SERVICE
        self.last_success = clock.now()
        entry = read.unwrap()
        is_own = entry is not None and claim_of(entry) == self.owner
        return ClaimOutcome.CLAIMED if is_own else ClaimOutcome.TAKEN

    async def read_former_claims(self) -> None:
        """Read the claims of the former holders of the held slots, unless they are known."""
        now = clock.now()
        self.tenures.drop_old_claims(now)
        for slot, tenure in self.tenures.without_claims(now):
            prefix = self.prefix_of(slot)
            read = await self.service.read_prefix(prefix)
            metrics.KEY_VALUE_CALLS.labels("claims", outcome_of(read)).inc()
            if not isinstance(read, Success):
                return
            self.last_success = clock.now()
            tenure.former_claims = frozenset(
                entry.key.removeprefix(prefix)
                for entry in read.unwrap().entries
                if claim_of(entry) != self.owner
            )

    def record_write(self, version: int, sent_at: float) -> None:
        """Record a successful write."""
        self.last_success = clock.now()
        self.own_writes.append(OwnWrite(version, sent_at))

    async def flush(self) -> bool:
        """Write all pending claims; return False if the key-value service fails."""
        async with self.flush_lock:
            while self.pending:
                outcome = await self.try_claim(self.pending[0])
                if outcome is ClaimOutcome.NO_SERVICE:
                    return False
                if outcome is ClaimOutcome.TAKEN:
                    LOG.error("claim.taken_by_other", path=self.pending[0])
                self.pending.popleft()
            return True


def claim_of(entry: KeyValueEntry) -> Claim | None:
    """Return the claim in an entry; None for a malformed one, which stands for another process."""
    try:
        return decode_value(entry.value, Claim)
    except msgspec.DecodeError as error:
        LOG.warning("claim.unreadable", key=entry.key, error=str(error))
        return None


def claim_name(key: str) -> str:
    """Return the name of an idempotency key in the key-value key of its claim."""
    return blake3(key.encode()).hexdigest(length=16)


def outcome_of(result: object) -> str:
    """Return the metric label for the outcome of a key-value call."""
    return "ok" if isinstance(result, Success) else "failed"

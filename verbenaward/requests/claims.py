"""Claims of keys in the key-value service, written before a key runs."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from blake3 import blake3
from returns.result import Success

from .. import metrics
from ..logs import get_logger
from ..platform.key_value import KeyValueFailure, KeyValueService
from .slots import OwnWrite, may_run_without_claim

LOG = get_logger(__name__)
CLAIM_PREFIX = "verbenaward/claims"
RETRY_SECONDS = 0.05
KEPT_WRITES = 64


class ClaimOutcome(StrEnum):
    """What became of a claim."""

    CLAIMED = "claimed"
    UNCLAIMED = "unclaimed"
    TAKEN = "taken"
    NO_SERVICE = "no-service"


@dataclass(frozen=True, slots=True)
class Claim:
    """The value of a claim: who runs the key."""

    vm: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ClaimTimes:
    """Times of the protocol, in seconds.

    Attributes:
      patience: Time without the service before keys run without claims.
      write_delay: Longest time until a write takes effect.
      renewal: Interval of renewals.
      horizon: Time for which callers may resend a key.
    """

    patience: float
    write_delay: float
    renewal: float
    horizon: float


class ClaimWriter:
    """Writes claims, and keeps those that could not be written.

    Attributes:
      service: The key-value service.
      owner: Value of all claims of this process.
      times: Times of the protocol.
      last_success: Time of the last call that was answered, monotonic.
      last_renewal_sent: Time at which the last renewal was sent, monotonic.
      unwritten: Keys of claims that are still to be written.
      own_writes: Last writes with their versions.
    """

    def __init__(
        self, service: KeyValueService, role: str, owner: Claim, times: ClaimTimes, now: float
    ) -> None:
        self.service = service
        self.role = role
        self.owner = owner
        self.times = times
        self.last_success = now
        self.last_renewal_sent = now
        self.unwritten: deque[str] = deque()
        self.own_writes: deque[OwnWrite] = deque(maxlen=KEPT_WRITES)

    def path_of(self, slot: int, key: str) -> str:
        """Return the key-value key of a claim."""
        name = blake3(key.encode()).hexdigest(length=16)
        return f"{CLAIM_PREFIX}/{self.role}/{slot:03}/{name}"

    def goes_without(self, now: float) -> bool:
        """Return True where keys run without claims.

        Args:
          now: Present time, monotonic, in seconds.
        """
        return may_run_without_claim(
            self.last_success, self.last_renewal_sent, self.times.patience, now
        )

    async def claim(self, slot: int, key: str, deadline: float) -> ClaimOutcome:
        """Claim a key before it runs.

        Args:
          slot: Slot of the key.
          key: The key.
          deadline: Time after which the answer is worthless, monotonic.

        Returns:
          CLAIMED or UNCLAIMED where the key may run now.
        """
        path = self.path_of(slot, key)
        while True:
            if self.goes_without(time.monotonic()):
                self.unwritten.append(path)
                return ClaimOutcome.UNCLAIMED
            outcome = await self.try_claim(path)
            if outcome is not ClaimOutcome.NO_SERVICE:
                return outcome
            if time.monotonic() + RETRY_SECONDS >= deadline:
                return ClaimOutcome.NO_SERVICE
            await asyncio.sleep(RETRY_SECONDS)

    async def try_claim(self, path: str) -> ClaimOutcome:
        """Write a claim once and read it back where it exists already."""
        sent_at = time.monotonic()
        value = msgspec.json.encode(self.owner)
        result = await self.service.write(path, value, 0, 2 * self.times.horizon)
        if isinstance(result, Success):
            self.note_write(result.unwrap(), sent_at)
            metrics.KEY_VALUE_CALLS.labels("claim", "ok").inc()
            return ClaimOutcome.CLAIMED
        failure = result.failure().failure
        metrics.KEY_VALUE_CALLS.labels("claim", failure.value).inc()
        if failure is not KeyValueFailure.CONFLICT:
            return ClaimOutcome.NO_SERVICE
        read = await self.service.read(path)
        if not isinstance(read, Success):
            return ClaimOutcome.NO_SERVICE
        self.last_success = time.monotonic()
        entry = read.unwrap()
        is_own = entry is not None and msgspec.json.decode(entry.value, type=Claim) == self.owner
        return ClaimOutcome.CLAIMED if is_own else ClaimOutcome.TAKEN

    def note_write(self, version: int, sent_at: float) -> None:
        """Note a write that was answered."""
        self.last_success = time.monotonic()
        self.own_writes.append(OwnWrite(version, sent_at))

    async def flush(self) -> bool:
        """Write all claims that are still to be written; False where the service fails."""
        while self.unwritten:
            outcome = await self.try_claim(self.unwritten[0])
            if outcome is ClaimOutcome.NO_SERVICE:
                return False
            if outcome is ClaimOutcome.TAKEN:
                LOG.error("claim.taken_by_other", path=self.unwritten[0])
            self.unwritten.popleft()
        return True

"""Runs non-idempotent requests at most once, on the holder of their slot."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from ..data import Refusal, Verdict
from ..waiting import wait_at_most
from .claims import ClaimOutcome
from .keys import KeyRecord, KeyStatus
from .records import Answer
from .refusals import may_have_run, not_run
from .slot_keeper import SlotKeeper
from .slots import slot_of

RETRY_AFTER_SECONDS = 1.0

Run = Callable[[], Awaitable[Result[Answer, Refusal]]]


class OnceRunner:
    """Runs each key at most once and answers resends from memory.

    Attributes:
      keeper: Slots and claims of this process.
    """

    def __init__(self, keeper: SlotKeeper) -> None:
        self.keeper = keeper

    async def run(
        self, workspace: str, key: str, fingerprint: bytes, deadline: float, work: Run
    ) -> Result[Answer, Refusal]:
        """Run a request under its key.

        Args:
          workspace: Customer; keys of different ones never meet.
          key: Idempotency key.
          fingerprint: Hash of the request, to notice a key that is used for another one.
          deadline: Time after which the answer is worthless, monotonic.
          work: Runs the request; called at most once for a key.

        Returns:
          The answer of the one run, or why there is none.
        """
        name = f"{workspace}\0{key}"
        slot = slot_of(workspace, key)
        if not self.keeper.holds(slot):
            return Failure(self.not_holder(slot))
        known = self.keeper.memory.records.get(name)
        if known is not None:
            return await self.resend(known, fingerprint, deadline)
        if self.keeper.leaving:
            return Failure(not_run(503, "leaving", "this VM is leaving", RETRY_AFTER_SECONDS))
        now = time.monotonic()
        if not self.keeper.memory.has_room(now):
            return Failure(not_run(503, "keys-full", "too many keys", RETRY_AFTER_SECONDS))
        self.keeper.memory.begin(name, fingerprint, slot, now)
        try:
            refusal = await self.admit(slot, name, deadline)
            result = Failure(refusal) if refusal else await work()
        except BaseException:
            self.keeper.memory.finish(name, None, time.monotonic())
            raise
        self.settle(name, result)
        return result

    async def admit(self, slot: int, name: str, deadline: float) -> Refusal | None:
        """Claim a key; None where it may run."""
        outcome = await self.keeper.claims.claim(slot, name, deadline)
        if not self.keeper.holds(slot):
            return self.not_holder(slot)
        if outcome is ClaimOutcome.TAKEN:
            return may_have_run("claimed", "a former holder of the key claimed it")
        if outcome is ClaimOutcome.NO_SERVICE:
            message = "the key-value service did not answer"
            return not_run(503, "key-value-outage", message, RETRY_AFTER_SECONDS)
        if self.keeper.is_doubtful(slot, time.monotonic()):
            return may_have_run("claimed", "a former holder may have run the key in an outage")
        return None

    async def resend(
        self, known: KeyRecord, fingerprint: bytes, deadline: float
    ) -> Result[Answer, Refusal]:
        """Answer a key that is known: wait for its run, then repeat its answer."""
        if known.fingerprint != fingerprint:
            return Failure(not_run(422, "key-reused", "the key belongs to another request"))
        try:
            await wait_at_most(known.finished.wait(), max(0.0, deadline - time.monotonic()))
        except asyncio.TimeoutError:
            return Failure(may_have_run("running", "the request is still running"))
        if known.status is KeyStatus.DONE and known.answer is not None:
            return Success(known.answer)
        if known.status is KeyStatus.DOUBT:
            return Failure(may_have_run("claimed", "an earlier run ended without an answer"))
        return Failure(not_run(503, "ended", "an earlier try did not run", RETRY_AFTER_SECONDS))

    def settle(self, name: str, result: Result[Answer, Refusal]) -> None:
        """Remember how a key ended."""
        now = time.monotonic()
        if isinstance(result, Success):
            self.keeper.memory.finish(name, result.unwrap(), now)
        elif result.failure().verdict is Verdict.NOT_RUN:
            self.keeper.memory.cancel(name)
        else:
            self.keeper.memory.finish(name, None, now)

    def not_holder(self, slot: int) -> Refusal:
        """Return the refusal that names the holder of a slot."""
        holder = self.keeper.table.holders[slot]
        message = "another VM holds the slot of the key"
        is_other = holder.vm != self.keeper.own.member.vm
        named = holder.vm if holder.vm and not holder.released and is_other else ""
        reason = "not-holder" if named else "no-holder"
        return not_run(503, reason, message, RETRY_AFTER_SECONDS, named)

"""Runs non-idempotent requests at most once, on the holder of their key's slot."""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from .. import clock
from ..data import Refusal, Verdict
from ..waiting import wait_at_most
from .claims import ClaimOutcome
from .keys import KeyRecord, KeyStatus
from .records import Answer
from .refusals import may_have_run, not_run
from .slot_manager import SlotManager
from .slots import slot_of

RETRY_AFTER_SECONDS = 1.0
"""Retry-After value of the refusals."""
OUTAGE_REASON = "key-value-outage"
"""Reason of the refusal of a key that could not be claimed."""

RunFunction = Callable[[], Awaitable[Result[Answer, Refusal]]]


class AtMostOnceRunner:
    """Runs each key at most once and answers resends with the recorded outcome.

    Attributes:
      slot_manager: Slots, claims and key records of this process.
    """

    def __init__(self, slot_manager: SlotManager) -> None:
        self.slot_manager = slot_manager

    async def run(
        self, workspace: str, key: str, fingerprint: bytes, deadline: float, work: RunFunction
    ) -> Result[Answer, Refusal]:
        """Run a request under its key.

        Args:
          workspace: Workspace of the caller; equal keys of different workspaces are distinct.
          key: Idempotency key.
          fingerprint: Hash of the request, to detect a key reused for a different one.
          deadline: Time by which the caller needs the answer, monotonic.
          work: Runs the request; called at most once for a key.

        Returns:
          The answer of the only run, or a refusal.
        """
        name = f"{workspace}\0{key}"
        slot = slot_of(workspace, key)
        if not self.slot_manager.holds(slot):
            return Failure(self.not_holder_refusal(slot))
        record = self.slot_manager.key_records.records.get(name)
        if record is not None:
            return await self.answer_resend(record, fingerprint, deadline)
        if self.slot_manager.leaving:
            return Failure(not_run(503, "leaving", "this VM is leaving", RETRY_AFTER_SECONDS))
        now = clock.now()
        if not self.slot_manager.key_records.has_room(now):
            return Failure(not_run(503, "keys-full", "too many keys", RETRY_AFTER_SECONDS))
        self.slot_manager.key_records.begin(name, fingerprint, slot, now)
        try:
            refusal = await self.claim_key(slot, name, deadline)
            result = Failure(refusal) if refusal else await work()
        except BaseException:
            self.slot_manager.key_records.finish(name, None, clock.now())
            raise
        self.record_result(name, result)
        return result

    async def claim_key(self, slot: int, name: str, deadline: float) -> Refusal | None:
        """Claim a key; return None if it may run, else the refusal."""
        outcome = await self.slot_manager.claims.claim(slot, name, deadline)
        if not self.slot_manager.holds(slot):
            return self.not_holder_refusal(slot)
        if outcome is ClaimOutcome.TAKEN:
            return may_have_run("claimed", "a former holder of the key claimed it")
        if outcome is ClaimOutcome.NO_SERVICE:
            return self.outage_refusal(slot)
        if self.slot_manager.is_uncertain(slot, clock.now()):
            return may_have_run("claimed", "a former holder may have run the key in an outage")
        return None

    def outage_refusal(self, slot: int) -> Refusal:
        """Return the refusal of a key that could not be claimed before its deadline.

        A former holder may have run the key if its claims were not read yet, or if it may have
        run keys without claims.
        """
        if self.slot_manager.knows_former_runs(slot, clock.now()):
            message = "the key-value service did not answer"
            return not_run(503, OUTAGE_REASON, message, RETRY_AFTER_SECONDS)
        message = "a former holder may have run the key; the key-value service did not answer"
        return may_have_run(OUTAGE_REASON, message)

    async def answer_resend(
        self, record: KeyRecord, fingerprint: bytes, deadline: float
    ) -> Result[Answer, Refusal]:
        """Answer a key that has a record: wait until its run ends, then return the outcome."""
        if record.fingerprint != fingerprint:
            return Failure(not_run(422, "key-reused", "the key belongs to another request"))
        try:
            await wait_at_most(record.finished.wait(), max(0.0, deadline - clock.now()))
        except asyncio.TimeoutError:
            return Failure(may_have_run("running", "the request is still running"))
        if record.status is KeyStatus.DONE and record.answer is not None:
            return Success(record.answer)
        if record.status is KeyStatus.UNKNOWN:
            return Failure(may_have_run("claimed", "an earlier run ended without an answer"))
        return Failure(not_run(503, "ended", "an earlier attempt did not run", RETRY_AFTER_SECONDS))

    def record_result(self, name: str, result: Result[Answer, Refusal]) -> None:
        """Record the outcome of a run; a request that did not run may be sent again."""
        now = clock.now()
        records = self.slot_manager.key_records
        if isinstance(result, Success):
            records.finish(name, result.unwrap(), now)
        elif result.failure().verdict is Verdict.NOT_RUN:
            records.cancel(name)
        elif result.failure().reason == OUTAGE_REASON:
            records.forget(name)
        else:
            records.finish(name, None, now)

    def not_holder_refusal(self, slot: int) -> Refusal:
        """Return the refusal of a key whose slot this process does not hold.

        It names the holder, unless the slot has none or the holder is an earlier process of
        this VM.
        """
        holder = self.slot_manager.table.holders[slot]
        message = "another VM holds the slot of the key"
        is_other = holder.vm != self.slot_manager.own.member.vm
        holder_vm = holder.vm if holder.vm and not holder.released and is_other else ""
        reason = "not-holder" if holder_vm else "no-holder"
        return not_run(503, reason, message, RETRY_AFTER_SECONDS, holder_vm)

"""Acquires, renews and releases the slots of one endpoint process."""

import asyncio
import dataclasses

import msgspec
from returns.result import Success

from .. import clock, metrics
from ..logs import get_logger
from ..membership.directory import Directory
from ..membership.own_record import OwnRecord
from ..platform.key_value import KeyValueEntry, KeyValueService
from ..platform.vm_list import VmList
from ..schema.messages import Member, MemberStatus
from .claims import Claim, ClaimTimes, ClaimWriter, claim_of, outcome_of
from .keys import KeyRecords
from .slots import (
    SLOT_COUNT,
    Evidence,
    SlotHolder,
    SlotTable,
    decode_table,
    desired_holder,
    encode_table,
    has_all_claims,
)

LOG = get_logger(__name__)
TABLE_PREFIX = "verbenaward/slots"
RENEWAL_PREFIX = "verbenaward/holders"
WATCH_TIMEOUT_SECONDS = 25.0
"""Longest wait of one watch on the slot table."""
STARTUP_DELAY_SECONDS = 2.5
"""Time after the start before slots are acquired, so that the directory lists the others."""
RETRY_SECONDS = 0.2
"""Pause after a failed watch."""


class SlotManager:
    """Manages the slots that this process holds.

    Attributes:
      table: Slot table as last read.
      version: Version of the table's key in the key-value service.
      table_loaded: True once the table was read.
      ended_at: By (VM, incarnation), the time at which a holder's process was known to have
        ended, monotonic.
      renewals: Number of renewals sent.
      renewal_version: Version of the last renewal.
      claims: Writer of claims.
      key_records: Outcomes of the keys that this process ran.
      leaving: True once the process shuts down and takes no more slots or keys.
      given_up: Slots whose release has begun, whether or not it has taken effect.
    """

    def __init__(
        self,
        service: KeyValueService,
        vm_list: VmList | None,
        directory: Directory,
        own: OwnRecord,
        times: ClaimTimes,
        now: float,
    ) -> None:
        self.service = service
        self.vm_list = vm_list
        self.directory = directory
        self.own = own
        self.times = times
        member = own.member
        owner = Claim(member.vm, member.incarnation)
        self.claims = ClaimWriter(service, member.role, owner, times, now)
        self.key_records = KeyRecords(times.resend_window)
        self.started_at = now
        self.table = SlotTable()
        self.version = 0
        self.table_loaded = False
        self.ended_at: dict[tuple[str, int], float] = {}
        self.renewals = 0
        self.renewal_version = 0
        self.leaving = False
        self.given_up: set[int] = set()

    @property
    def table_key(self) -> str:
        """Return the key-value key of the role's slot table."""
        return f"{TABLE_PREFIX}/{self.own.member.role}"

    def renewal_key(self, vm: str) -> str:
        """Return the key-value key of the renewals of a VM."""
        return f"{RENEWAL_PREFIX}/{self.own.member.role}/{vm}"

    def holds(self, slot: int) -> bool:
        """Return True if this process may run the keys of a slot."""
        return slot not in self.given_up and self.is_holder(slot)

    def is_holder(self, slot: int) -> bool:
        """Return True if the table names this process as holder and the slot isn't released."""
        holder = self.table.holders[slot]
        is_own = (holder.vm, holder.incarnation) == (
            self.own.member.vm,
            self.own.member.incarnation,
        )
        return is_own and not holder.released

    def held_slots(self) -> list[int]:
        """Return the slots that this process holds, in ascending order."""
        return [slot for slot in range(SLOT_COUNT) if self.holds(slot)]

    def is_uncertain(self, slot: int, now: float) -> bool:
        """Return True while a resent key may have run without a claim under an earlier holder."""
        is_marked = self.table.holders[slot].uncertain
        return is_marked and not self.claims.tenures.is_past_resends(slot, now)

    def knows_former_runs(self, slot: int, now: float) -> bool:
        """Return True if the known claims cover every resent key that former holders ran."""
        knows_claims = self.claims.tenures.knows_former_claims(slot, now)
        return knows_claims and not self.is_uncertain(slot, now)

    async def follow_table(self) -> None:
        """Watch the slot table and keep the copy current, until cancelled."""
        after = 0
        while True:
            result = await self.service.watch(self.table_key, after, WATCH_TIMEOUT_SECONDS)
            metrics.KEY_VALUE_CALLS.labels("watch", outcome_of(result)).inc()
            if isinstance(result, Success):
                after = max(after, result.unwrap().revision)
            await self.refresh()
            if not isinstance(result, Success):
                await asyncio.sleep(RETRY_SECONDS)
                after = 0

    async def run_renewals(self) -> None:
        """Renew and acquire free slots at the renewal interval, until cancelled."""
        while True:
            await self.run_round()
            await asyncio.sleep(self.times.renewal_interval)

    async def run_round(self) -> None:
        """Check the key-value service, write pending claims, renew, and acquire free slots.

        The claims of the former holders are read in the same round.
        """
        if not await self.is_service_available():
            return
        if not await self.claims.flush():
            return
        if not self.leaving and await self.renew():
            await self.acquire_free_slots()
            await self.clear_uncertain_slots()
        await self.claims.read_former_claims()

    async def is_service_available(self) -> bool:
        """Return True if the key-value service answers; after a failed call, test it by a read."""
        if self.table_loaded and not self.claims.pending and self.succeeded_since_renewal():
            return True
        return await self.refresh()

    def succeeded_since_renewal(self) -> bool:
        """Return True if a call has succeeded since the last renewal was sent."""
        return self.claims.last_success >= self.claims.last_renewal_sent

    async def refresh(self) -> bool:
        """Read the slot table; return False if the key-value service fails or none is known."""
        result = await self.service.read(self.table_key)
        metrics.KEY_VALUE_CALLS.labels("read", outcome_of(result)).inc()
        if not isinstance(result, Success):
            return False
        self.claims.last_success = clock.now()
        entry = result.unwrap()
        if entry is None or entry.revision >= self.version:
            self.use_table(entry)
        self.claims.tenures.update(self.held_slots(), clock.now())
        return self.table_loaded

    def use_table(self, entry: KeyValueEntry | None) -> None:
        """Use the slot table in an entry; keep the last good one if it is malformed.

        The version stays that of the table in use, so this process does not write over an entry
        that it cannot read.
        """
        try:
            self.table = decode_table(entry.value if entry else b"")
        except msgspec.DecodeError as error:
            LOG.error("slots.unreadable", key=self.table_key, error=str(error))
            return
        self.version = entry.revision if entry else 0
        self.table_loaded = True

    async def renew(self) -> bool:
        """Write a renewal; return False if the write failed."""
        key = self.renewal_key(self.own.member.vm)
        self.renewals += 1
        # The vm field holds a counter, so that no two renewals have the same value.
        value = msgspec.json.encode(Claim(str(self.renewals), self.own.member.incarnation))
        sent_at = clock.now()
        self.claims.last_renewal_sent = sent_at
        result = await self.service.write(key, value, self.renewal_version)
        metrics.KEY_VALUE_CALLS.labels("renewal", outcome_of(result)).inc()
        if isinstance(result, Success):
            self.renewal_version = result.unwrap()
            self.claims.record_write(self.renewal_version, sent_at)
            return True
        read = await self.service.read(key)
        if isinstance(read, Success):
            entry = read.unwrap()
            self.renewal_version = entry.revision if entry else 0
        return False

    async def acquire_free_slots(self) -> None:
        """Acquire all free slots that this process should hold."""
        if clock.now() - self.started_at < STARTUP_DELAY_SECONDS:
            return
        if not self.table_loaded and not await self.refresh():
            return
        await self.find_ended_holders()
        table = self.table
        version = self.version
        wanted = [slot for slot in range(SLOT_COUNT) if self.should_acquire(slot)]
        if not wanted:
            return
        changes = {slot: await self.successor_of(table.holders[slot]) for slot in wanted}
        # The table may have been read again since; the evidence is about the holders of this one.
        if await self.write_table(table, version, changes):
            LOG.info("slots.taken", slots=len(wanted), held=len(self.held_slots()))

    def should_acquire(self, slot: int) -> bool:
        """Return True if a slot is free and this process is the desired holder."""
        holder = self.table.holders[slot]
        alive = self.alive_vms()
        if not holder.vm or holder.released:
            return desired_holder(slot, alive, "") == self.own.member.vm
        if (holder.vm, holder.incarnation) not in self.ended_at:
            return False
        return desired_holder(slot, alive, holder.vm) == self.own.member.vm

    def alive_vms(self) -> list[str]:
        """Return the VMs with a live process of the role, this one included, sorted."""
        others = self.directory.endpoints_of(self.own.member.role)
        return sorted({self.own.member.vm, *(item.vm for item in others)})

    async def find_ended_holders(self) -> None:
        """Record the holders whose process is known to have ended."""
        holders = {(item.vm, item.incarnation) for item in self.table.holders if item.vm}
        unconfirmed = []
        for vm, incarnation in holders - set(self.ended_at):
            if self.was_replaced(vm, incarnation):
                self.ended_at[vm, incarnation] = clock.now()
            elif not self.looks_alive(vm, incarnation):
                unconfirmed.append((vm, incarnation))
        if unconfirmed and self.vm_list is not None:
            await self.check_vm_list(unconfirmed)

    def was_replaced(self, vm: str, incarnation: int) -> bool:
        """Return True if a newer incarnation runs on the VM, which runs one process at a time."""
        if vm == self.own.member.vm:
            return incarnation < self.own.member.incarnation
        member = self.directory.members.get(vm)
        return member is not None and member.incarnation > incarnation

    def looks_alive(self, vm: str, incarnation: int) -> bool:
        """Return True if the membership directory lists a process as alive or leaving."""
        member: Member | None = self.directory.members.get(vm)
        if vm == self.own.member.vm:
            return incarnation == self.own.member.incarnation
        return member is not None and member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING)

    async def check_vm_list(self, unconfirmed: list[tuple[str, int]]) -> None:
        """Record the holders whose VM is no longer in the platform's VM list."""
        if self.vm_list is None:
            return
        result = await self.vm_list.read()
        if not isinstance(result, Success):
            return
        now = clock.now()
        listed = {item.vm for item in result.unwrap()}
        for vm, incarnation in unconfirmed:
            if vm not in listed:
                self.ended_at[vm, incarnation] = now
                LOG.info("slots.holder_gone", holder=vm)

    async def successor_of(self, former: SlotHolder) -> SlotHolder:
        """Return the entry with which this process takes over a slot from its former holder.

        The doubt of an earlier holder stays: the former one may not have held the slot for as
        long as callers resend. It stands in the table, so that it counts as soon as the write
        takes effect, even if its answer is lost.
        """
        uncertain = former.uncertain or await self.may_have_run_unclaimed(former)
        own = self.own.member
        return SlotHolder(own.vm, own.incarnation, uncertain=uncertain)

    async def clear_uncertain_slots(self) -> None:
        """Clear the mark of the uncertain slots whose earlier keys callers no longer resend."""
        now = clock.now()
        changes = {
            slot: dataclasses.replace(self.table.holders[slot], uncertain=False)
            for slot in self.held_slots()
            if self.table.holders[slot].uncertain and not self.is_uncertain(slot, now)
        }
        if changes:
            await self.write_table(self.table, self.version, changes)

    async def may_have_run_unclaimed(self, former: SlotHolder) -> bool:
        """Return True unless a former holder certainly wrote a claim for each of its runs."""
        if not former.vm or former.released:
            return False
        seen_ended_at = self.ended_at[former.vm, former.incarnation]
        read = await self.service.read(self.renewal_key(former.vm))
        entry = read.unwrap() if isinstance(read, Success) else None
        renewal = claim_of(entry) if entry else None
        version = 0
        if entry and renewal and renewal.incarnation == former.incarnation:
            version = entry.revision
        own_writes = tuple(self.claims.own_writes)
        evidence = Evidence(version, seen_ended_at, own_writes)
        return not has_all_claims(evidence, self.times.outage_grace, self.times.write_delay)

    async def write_table(
        self, table: SlotTable, version: int, changes: dict[int, SlotHolder]
    ) -> bool:
        """Change holders in the table by compare-and-swap.

        Args:
          table: The table on which the changes were decided.
          version: Its version, which the stored table must still have.
          changes: New holders by slot.

        Returns:
          True if the changes are in the table.
        """
        holders = list(table.holders)
        for slot, holder in changes.items():
            holders[slot] = holder
        payload = encode_table(SlotTable(tuple(holders)))
        sent_at = clock.now()
        result = await self.service.write(self.table_key, payload, version)
        metrics.KEY_VALUE_CALLS.labels("slots", outcome_of(result)).inc()
        if isinstance(result, Success):
            self.claims.record_write(result.unwrap(), sent_at)
        await self.refresh()
        return all(self.table.holders[slot] == holder for slot, holder in changes.items())

    async def release(self, slots: list[int]) -> bool:
        """Release slots after writing all pending claims; return False if a write failed.

        No key runs in them from now on: the release may take effect although its answer is lost.
        """
        self.given_up.update(slots)
        if not await self.claims.flush():
            return False
        changes = {
            slot: dataclasses.replace(self.table.holders[slot], released=True)
            for slot in slots
            if self.is_holder(slot)
        }
        return not changes or await self.write_table(self.table, self.version, changes)

"""Keeps the slots of one endpoint process: takes, renews and gives up."""

import asyncio
import dataclasses
import time

import msgspec
from returns.result import Success

from .. import metrics
from ..logs import get_logger
from ..membership.directory import Directory
from ..membership.own_record import OwnRecord
from ..platform.key_value import KeyValueService
from ..platform.vm_list import VmList
from ..schema.messages import Member, MemberStatus
from .claims import Claim, ClaimTimes, ClaimWriter
from .keys import KeyMemory
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
WATCH_SECONDS = 25.0
SETTLE_SECONDS = 2.5
RETRY_SECONDS = 0.2


class SlotKeeper:
    """Slots that this process holds.

    Attributes:
      table: Table as last read.
      version: Version of the table's key.
      open_until: For each slot that is held with doubts, the time until which keys without
        a claim may have run under the former holder, monotonic.
      claims: Writer of claims.
      memory: Keys that this process knows.
      leaving: True once the slots are being given up.
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
        self.memory = KeyMemory(times.horizon)
        self.started_at = now
        self.table = SlotTable()
        self.version = 0
        self.table_known = False
        self.open_until: dict[int, float] = {}
        self.over_at: dict[tuple[str, int], float] = {}
        self.renewals = 0
        self.renewal_version = 0
        self.leaving = False

    @property
    def table_key(self) -> str:
        """Return the key of the slot table of the role."""
        return f"{TABLE_PREFIX}/{self.own.member.role}"

    def renewal_key(self, vm: str) -> str:
        """Return the key under which a VM renews."""
        return f"{RENEWAL_PREFIX}/{self.own.member.role}/{vm}"

    def holds(self, slot: int) -> bool:
        """Return True where this process holds a slot."""
        holder = self.table.holders[slot]
        is_own = (holder.vm, holder.incarnation) == (
            self.own.member.vm,
            self.own.member.incarnation,
        )
        return is_own and not holder.released

    def held_slots(self) -> list[int]:
        """Return all slots that this process holds."""
        return [slot for slot in range(SLOT_COUNT) if self.holds(slot)]

    def is_doubtful(self, slot: int, now: float) -> bool:
        """Return True while a key without a claim may have run under the former holder."""
        return now < self.open_until.get(slot, 0.0)

    async def run(self) -> None:
        """Follow the table until cancelled."""
        after = 0
        while True:
            result = await self.service.watch(self.table_key, after, WATCH_SECONDS)
            metrics.KEY_VALUE_CALLS.labels("watch", outcome_of(result)).inc()
            if isinstance(result, Success):
                after = max(after, result.unwrap().revision)
            await self.refresh()
            if not isinstance(result, Success):
                await asyncio.sleep(RETRY_SECONDS)
                after = 0

    async def run_renewals(self) -> None:
        """Renew, and take slots that are free, until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(self.times.renewal)

    async def step(self) -> None:
        """Do one round: see whether the service answers, write claims, renew, take slots."""
        if not await self.service_answers():
            return
        if not await self.claims.flush():
            return
        if not self.leaving and await self.renew():
            await self.take_free_slots()

    async def service_answers(self) -> bool:
        """Return True where the service works; after a failure only a read finds out."""
        if self.table_known and not self.claims.unwritten and self.was_answered():
            return True
        return await self.refresh()

    def was_answered(self) -> bool:
        """Return True where the last renewal was answered."""
        return self.claims.last_success >= self.claims.last_renewal_sent

    async def refresh(self) -> bool:
        """Read the table; False where the service fails."""
        result = await self.service.read(self.table_key)
        metrics.KEY_VALUE_CALLS.labels("read", outcome_of(result)).inc()
        if not isinstance(result, Success):
            return False
        self.claims.last_success = time.monotonic()
        entry = result.unwrap()
        if entry is None or entry.version >= self.version:
            self.table = decode_table(entry.value if entry else b"")
            self.version = entry.version if entry else 0
            self.table_known = True
        return True

    async def renew(self) -> bool:
        """Write a renewal; False where that failed."""
        key = self.renewal_key(self.own.member.vm)
        self.renewals += 1
        value = msgspec.json.encode(Claim(str(self.renewals), self.own.member.incarnation))
        sent_at = time.monotonic()
        self.claims.last_renewal_sent = sent_at
        result = await self.service.write(key, value, self.renewal_version)
        metrics.KEY_VALUE_CALLS.labels("renewal", outcome_of(result)).inc()
        if isinstance(result, Success):
            self.renewal_version = result.unwrap()
            self.claims.note_write(self.renewal_version, sent_at)
            return True
        read = await self.service.read(key)
        if isinstance(read, Success):
            entry = read.unwrap()
            self.renewal_version = entry.version if entry else 0
        return False

    async def take_free_slots(self) -> None:
        """Take every slot that is free and that this process should hold."""
        if time.monotonic() - self.started_at < SETTLE_SECONDS:
            return
        if not self.table_known and not await self.refresh():
            return
        await self.learn_ended_holders()
        wanted = [slot for slot in range(SLOT_COUNT) if self.should_take(slot)]
        if not wanted:
            return
        doubts = {slot: await self.doubt_until(self.table.holders[slot]) for slot in wanted}
        holder = SlotHolder(self.own.member.vm, self.own.member.incarnation)
        if await self.write_table(dict.fromkeys(wanted, holder)):
            self.open_until.update(doubts)
            LOG.info("slots.taken", slots=len(wanted), held=len(self.held_slots()))

    def should_take(self, slot: int) -> bool:
        """Return True where a slot is free and this process is the one to take it."""
        holder = self.table.holders[slot]
        alive = self.alive_vms()
        if not holder.vm or holder.released:
            return desired_holder(slot, alive, "") == self.own.member.vm
        if (holder.vm, holder.incarnation) not in self.over_at:
            return False
        return desired_holder(slot, alive, holder.vm) == self.own.member.vm

    def alive_vms(self) -> list[str]:
        """Return the VMs of the role with a living process, this one included."""
        others = self.directory.endpoints_of(self.own.member.role)
        return sorted({self.own.member.vm, *(item.vm for item in others)})

    async def learn_ended_holders(self) -> None:
        """Find out which holders are known to have ended."""
        holders = {(item.vm, item.incarnation) for item in self.table.holders if item.vm}
        unsure = []
        for vm, incarnation in holders - set(self.over_at):
            if self.was_replaced(vm, incarnation):
                self.over_at[vm, incarnation] = time.monotonic()
            elif not self.looks_alive(vm, incarnation):
                unsure.append((vm, incarnation))
        if unsure and self.vm_list is not None:
            await self.ask_vm_list(unsure)

    def was_replaced(self, vm: str, incarnation: int) -> bool:
        """Return True where a newer process runs on a VM that has room for one."""
        if vm == self.own.member.vm:
            return incarnation < self.own.member.incarnation
        member = self.directory.members.get(vm)
        return member is not None and member.incarnation > incarnation

    def looks_alive(self, vm: str, incarnation: int) -> bool:
        """Return True where the directory takes a process for alive."""
        member: Member | None = self.directory.members.get(vm)
        if vm == self.own.member.vm:
            return incarnation == self.own.member.incarnation
        return member is not None and member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING)

    async def ask_vm_list(self, unsure: list[tuple[str, int]]) -> None:
        """Note the holders whose VM is gone from the platform's list."""
        if self.vm_list is None:
            return
        result = await self.vm_list.read()
        if not isinstance(result, Success):
            return
        now = time.monotonic()
        listed = {item.vm for item in result.unwrap()}
        for vm, incarnation in unsure:
            if vm not in listed:
                self.over_at[vm, incarnation] = now
                LOG.info("slots.holder_gone", vm=vm)

    async def doubt_until(self, former: SlotHolder) -> float:
        """Return the time until which a slot's unclaimed keys may have run before."""
        if not former.vm or former.released:
            return 0.0
        seen_over_at = self.over_at[former.vm, former.incarnation]
        read = await self.service.read(self.renewal_key(former.vm))
        entry = read.unwrap() if isinstance(read, Success) else None
        version = 0
        if entry and msgspec.json.decode(entry.value, type=Claim).incarnation == former.incarnation:
            version = entry.version
        own_writes = tuple(self.claims.own_writes)
        evidence = Evidence(version, seen_over_at, own_writes)
        if has_all_claims(evidence, self.times.patience, self.times.write_delay):
            return 0.0
        return time.monotonic() + self.times.horizon

    async def write_table(self, changes: dict[int, SlotHolder]) -> bool:
        """Change slots of the table by compare-and-swap; False where that failed."""
        holders = list(self.table.holders)
        for slot, holder in changes.items():
            holders[slot] = holder
        payload = encode_table(SlotTable(tuple(holders)))
        sent_at = time.monotonic()
        result = await self.service.write(self.table_key, payload, self.version)
        metrics.KEY_VALUE_CALLS.labels("slots", outcome_of(result)).inc()
        if isinstance(result, Success):
            self.claims.note_write(result.unwrap(), sent_at)
        await self.refresh()
        return all(self.table.holders[slot] == holder for slot, holder in changes.items())

    async def release(self, slots: list[int]) -> bool:
        """Give slots up, after all claims have been written."""
        if not await self.claims.flush():
            return False
        changes = {
            slot: dataclasses.replace(self.table.holders[slot], released=True)
            for slot in slots
            if self.holds(slot)
        }
        return not changes or await self.write_table(changes)


def outcome_of(result: object) -> str:
    """Return the label of the outcome of a call."""
    return "ok" if isinstance(result, Success) else "failed"

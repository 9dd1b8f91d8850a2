import asyncio
import time
from unittest import mock

from behave import given, then, when
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from returns.result import Success

from tests.fakes import FakeKeyValues, FakeVmList, KeyValueWorld, virtual_loop
from verbenaward.data import Load, Verdict
from verbenaward.membership.directory import Directory
from verbenaward.requests.at_most_once import AtMostOnceRunner
from verbenaward.requests.claims import ClaimTimes
from verbenaward.requests.records import Answer
from verbenaward.requests.slot_manager import SlotManager
from verbenaward.requests.slots import (
    SLOT_COUNT,
    Evidence,
    OwnWrite,
    SlotHolder,
    SlotTable,
    has_all_claims,
    slot_of,
)
from verbenaward.schema.messages import Member, MemberKind, MemberStatus

TIMES = ClaimTimes(outage_grace=5.0, write_delay=1.0, renewal_interval=0.7, resend_window=60.0)
LIST_LAG = 1.0
"""Delay with which the VM list shows that a VM has gone, in seconds."""
KEYS = [f"key-{index}" for index in range(6)]
VMS = ["vm-0", "vm-1", "vm-2"]


class FakeOwnRecord:
    """Stands in for the OwnRecord of a process."""

    def __init__(self, vm, incarnation):
        self.member = Member(
            vm=vm,
            kind=MemberKind.ENDPOINT,
            role="reservation",
            address=f"127.0.0.1:{7000 + VMS.index(vm)}",
            incarnation=incarnation,
            version=1,
        )


class Process:
    """One endpoint process: the real SlotManager and AtMostOnceRunner over fake services."""

    def __init__(self, world, vm_list, vm, incarnation, ledger):
        self.own = FakeOwnRecord(vm, incarnation)
        self.directory = Directory(vm)
        self.service = FakeKeyValues(world)
        self.keeper = SlotManager(
            self.service, vm_list, self.directory, self.own, TIMES, time.monotonic()
        )
        self.runner = AtMostOnceRunner(self.keeper)
        self.ledger = ledger
        self.tasks = [
            asyncio.ensure_future(self.keeper.follow_table()),
            asyncio.ensure_future(self.keeper.run_renewals()),
        ]

    async def send(self, key, fingerprint=b"f", on_run=lambda: None):
        async def work():
            if self.tasks is None:
                await asyncio.Event().wait()
            self.ledger.append(key)
            on_run()
            await asyncio.sleep(0.2)
            return Success(Answer(200, "", key.encode(), self.own.member.vm, "", Load()))

        return await self.runner.run("w", key, fingerprint, time.monotonic() + 8.0, work)

    def end(self):
        for task in self.tasks or ():
            task.cancel()
        self.tasks = None


# Hypothesis derives its examples from the source text of this class: a change of the text changes
# the examples, which can then reach the open fault that KNOWN-RED.txt describes.
class OnceMachine(RuleBasedStateMachine):
    """Three VMs, one service, callers that resend."""

    def __init__(self):
        super().__init__()
        self.context = virtual_loop()
        self.loop = self.context.__enter__()
        self.world = KeyValueWorld()
        self.vm_list = FakeVmList(LIST_LAG)
        self.ledger = []
        self.processes = {}
        self.sends = []
        self.false_not_run = []
        self.incarnation = 1
        self.loop.run_until_complete(self.set_up())

    async def set_up(self):
        for vm in VMS:
            self.start(vm)
        await asyncio.sleep(6.0)

    def start(self, vm):
        self.incarnation += 1
        self.vm_list.vms.add(vm)
        self.vm_list.gone.pop(vm, None)
        process = Process(self.world, self.vm_list, vm, self.incarnation, self.ledger)
        self.processes[vm] = process
        for other in self.processes.values():
            process.directory.merge(other.own.member, time.monotonic())
            other.directory.merge(process.own.member, time.monotonic())

    def advance(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 3.0, 6.0]))
    def wait(self, seconds):
        self.advance(seconds)

    @rule(key=st.sampled_from(KEYS), vm=st.sampled_from(VMS))
    def send(self, key, vm):
        process = self.processes.get(vm)
        if process is not None:
            task = self.loop.create_task(self.send_and_check(process, key))
            self.sends.append((task, process))
            self.advance(0.05)

    async def send_and_check(self, process, key):
        ran = []
        result = await process.send(key, on_run=lambda: ran.append(key))
        failure = None if isinstance(result, Success) else result.failure()
        if ran and failure is not None and failure.verdict is Verdict.NOT_RUN:
            self.false_not_run.append(key)

    @rule(key=st.sampled_from(KEYS))
    def send_everywhere(self, key):
        for vm in VMS:
            self.send(key, vm)

    @rule()
    def toggle_outage(self):
        self.world.down = not self.world.down

    @rule(vm=st.sampled_from(VMS))
    def toggle_cut(self, vm):
        if vm in self.processes:
            service = self.processes[vm].service
            service.cut = not service.cut

    @rule(
        vm=st.sampled_from(VMS),
        fates=st.lists(st.sampled_from(["before", "after", 0.4, 0.9]), min_size=1, max_size=3),
    )
    def lose_answers(self, vm, fates):
        if vm in self.processes:
            self.processes[vm].service.lose = list(fates)

    @precondition(lambda self: len(self.processes) > 1)
    @rule(vm=st.sampled_from(VMS))
    def kill(self, vm):
        process = self.processes.pop(vm, None)
        if process is None:
            return
        process.end()
        for task, owner in self.sends:
            if owner is process:
                task.cancel()
        self.vm_list.gone[vm] = time.monotonic()
        for other in self.processes.values():
            other.directory.mark(vm, MemberStatus.SUSPECT, time.monotonic())

    @rule(vm=st.sampled_from(VMS))
    def accuse(self, vm):
        """The others take a living process for dead; the platform's list knows better."""
        for other in self.processes.values():
            if other.own.member.vm != vm:
                other.directory.mark(vm, MemberStatus.SUSPECT, time.monotonic())

    @rule(vm=st.sampled_from(VMS))
    def start_again(self, vm):
        if vm not in self.processes:
            self.start(vm)

    @precondition(lambda self: len(self.processes) > 1)
    @rule(vm=st.sampled_from(VMS))
    def drain(self, vm):
        process = self.processes.get(vm)
        if process is not None:
            process.keeper.leaving = True
            self.advance(0.5)
            self.loop.run_until_complete(process.keeper.release(process.keeper.held_slots()))
            self.kill(vm)

    @invariant()
    def nothing_ran_twice(self):
        twice = {key for key in self.ledger if self.ledger.count(key) > 1}
        assert not twice, twice
        assert not self.false_not_run, self.false_not_run

    def teardown(self):
        for process in self.processes.values():
            process.end()
        self.context.__exit__(None, None, None)


@then("a state machine of three processes finds no key that ran twice and no wrong not-run verdict")
def run_machine(context):
    run_state_machine_as_test(
        OnceMachine, settings=settings(max_examples=150, stateful_step_count=40)
    )


@when("a holder runs a key without a claim and crashes, and another process takes over its slot")
def takeover_of_unclaimed_key(context):
    machine = unclaimed_run(context)
    answer_resend(context, machine)


@when("a holder runs a key without a claim and crashes, and its successor leaves soon after")
def second_takeover_of_unclaimed_key(context):
    machine = unclaimed_run(context)
    successor = next(item for item in machine.processes.values() if holds_key(item))
    machine.drain(successor.own.member.vm)
    machine.advance(6.0)
    answer_resend(context, machine)


def unclaimed_run(context):
    machine = OnceMachine()
    context.add_cleanup(machine.teardown)
    holder = next(item for item in machine.processes.values() if holds_key(item))
    machine.world.down = True
    machine.advance(8.0)
    machine.loop.run_until_complete(holder.send(KEYS[0]))
    machine.kill(holder.own.member.vm)
    machine.advance(3.0)
    machine.world.down = False
    machine.advance(12.0)
    return machine


def answer_resend(context, machine):
    holder = next(item for item in machine.processes.values() if holds_key(item))
    context.answer = machine.loop.run_until_complete(holder.send(KEYS[0]))
    context.ledger = machine.ledger


@when("a successor is suspended after the former holder's last renewal, for longer than the grace")
def suspended_successor(context):
    world, former = KeyValueWorld(), FakeOwnRecord("vm-0", 1)
    managers = [
        SlotManager(FakeKeyValues(world), None, Directory(vm), own, TIMES, time.monotonic())
        for vm, own in (("vm-0", former), ("vm-1", FakeOwnRecord("vm-1", 2)))
    ]
    holder, successor = managers
    for manager in (successor, holder):
        context.loop.run_until_complete(manager.renew())
    read = time.clock_gettime
    # The boot-time clock counts a suspension, the monotonic clock does not.
    suspension = mock.patch("time.clock_gettime", lambda clock: read(clock) + 10.0)
    suspension.start()
    context.add_cleanup(suspension.stop)
    successor.directory.merge(FakeOwnRecord("vm-0", 3).member, time.monotonic())
    slot_holder = SlotHolder("vm-0", 1)
    successor.table = SlotTable((slot_holder,) * SLOT_COUNT)
    context.loop.run_until_complete(successor.find_ended_holders())
    context.uncertain_until = context.loop.run_until_complete(
        successor.uncertainty_end(slot_holder)
    )


@then("it takes over the slots as uncertain")
def taken_over_as_uncertain(context):
    assert context.uncertain_until > 0.0


@when("a holder loses the key-value service, is suspected by the others and runs without claims")
def suspected_holder(context):
    machine = OnceMachine()
    context.add_cleanup(machine.teardown)
    holder = next(item for item in machine.processes.values() if holds_key(item))
    holder.service.cut = True
    machine.accuse(holder.own.member.vm)
    machine.advance(8.0)
    for process in machine.processes.values():
        machine.loop.run_until_complete(process.send(KEYS[0]))
    context.ledger = machine.ledger
    context.others = [item for item in machine.processes.values() if item is not holder]


@then("only the holder runs the key, and no other process acquires its slot")
def check_single_holder(context):
    assert context.ledger == [KEYS[0]], context.ledger
    assert not any(holds_key(item) for item in context.others)


def holds_key(process):
    return process.keeper.holds(slot_of("w", KEYS[0]))


@then("the key ran once and the answer is may-have-run")
def check_unknown_outcome(context):
    assert context.ledger == [KEYS[0]]
    assert context.answer.failure().verdict is Verdict.MAY_HAVE_RUN


@given("a holder that runs keys without claims after an outage of {outage_grace:d} seconds")
def holder_with_grace(context, outage_grace):
    context.outage_grace = float(outage_grace)


@when("its last renewal took effect {late:d} seconds late and it ended {after:d} seconds later")
def late_renewal(context, late, after):
    sent = 100.0
    effect = sent + late
    own_write = OwnWrite(version=7, sent_at=effect)
    context.evidence = Evidence(8, effect + after, (own_write,))
    context.early_end_evidence = Evidence(8, effect + 2.0, (own_write,))


@then(
    "an outage grace of {outage_grace:d} seconds with a write delay of {delay:d} seconds "
    "does not prove all claims"
)
def no_proof(context, outage_grace, delay):
    context.delay = float(delay)
    assert not has_all_claims(context.evidence, float(outage_grace), context.delay)


@then("the same end within 2 seconds of the renewal proves all claims")
def proof(context):
    assert has_all_claims(context.early_end_evidence, context.outage_grace, context.delay)


@given("a process that holds all slots")
def one_process(context):
    context.virtual = virtual_loop()
    context.virtual_loop = context.virtual.__enter__()
    context.add_cleanup(lambda: context.virtual.__exit__(None, None, None))
    context.world = KeyValueWorld()
    context.ledger = []
    vm_list = FakeVmList(LIST_LAG)
    vm_list.vms.add("vm-0")

    async def start():
        process = Process(context.world, vm_list, "vm-0", 5, context.ledger)
        await asyncio.sleep(6.0)
        return process

    context.process = context.virtual_loop.run_until_complete(start())
    assert len(context.process.keeper.held_slots()) == 64


@when("a key runs, the key-value service goes down and the key is resent")
def resend_in_outage(context):
    async def run():
        first = await context.process.send("k")
        context.world.down = True
        return first, await context.process.send("k")

    context.answers = context.virtual_loop.run_until_complete(run())


@then("the backend ran it once and both answers are equal")
def check_single_run(context):
    first, second = (answer.unwrap() for answer in context.answers)
    assert first == second
    assert context.ledger == ["k"]


@when("the key-value service goes down and a new key arrives")
def new_key_in_outage(context):
    context.world.down = True
    started = context.virtual_loop.clock.now
    result = context.virtual_loop.run_until_complete(context.process.send("k"))
    context.waited = context.virtual_loop.clock.now - started
    assert isinstance(result, Success), result


@then("it runs after the outage grace, and its claim is written once the service is up again")
def check_claim(context):
    assert context.ledger == ["k"]
    assert context.waited >= TIMES.outage_grace - TIMES.renewal_interval
    context.world.down = False
    context.virtual_loop.run_until_complete(asyncio.sleep(3.0))
    claims = [key for key in context.world.stored if key.startswith("verbenaward/claims/")]
    assert len(claims) == 1


@when("a key arrives again with a different request")
def reused_key(context):
    async def run():
        await context.process.send("k", b"first")
        return await context.process.send("k", b"second")

    context.answer = context.virtual_loop.run_until_complete(run())


@then("the second request is refused as not run")
def check_reused(context):
    assert context.answer.failure().verdict is Verdict.NOT_RUN
    assert context.ledger == ["k"]

"""Steps on the owners of limits, in simulated time."""

import contextlib
import dataclasses
import math
from itertools import pairwise
from unittest import mock

from behave import given, then, when

from tests.simulated_entries import CUT_OFF
from tests.simulated_limit_faults import FaultyLimits
from tests.simulated_limits import SimulatedLimits, SimulatedWarmUps
from tests.steps.backend_limits import (
    NOTICE_SECONDS,
    WINDOW_SECONDS,
    allowed_requests,
    most_in_a_window,
)
from verbenaward import clock
from verbenaward.direct.role import LEASE_SECONDS
from verbenaward.direct.send_limiter import SendLimiters
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.platform.names import ENTRY_PREFIX

SETTLED_AT = 6.0
"""Time at which the limit begins, in simulated seconds."""
SEED = 7


@given("{count:d} entry processes whose callers want {demand:g} requests a second of one backend")
def processes(context, count, demand):
    start(context, count, demand, None)


@given(
    "{count:d} entry processes, one of which has {share:g} of the callers, "
    "who want {demand:g} requests a second"
)
def uneven_processes(context, count, share, demand):
    rest = (1 - share) / (count - 1)
    start(context, count, demand, [share, *[rest] * (count - 1)])


def start(context, count, demand, shares):
    async def make():
        return SimulatedLimits(count, math.inf, demand, SEED, shares)

    context.simulation = context.loop.run_until_complete(make())
    context.simulation.network.run_until(SETTLED_AT)
    context.excused = []


@given("it names a limit of {limit:g} a second")
def names_limit(context, limit):
    names_for(context, limit, 8.0)


@when("it names a limit of {limit:g} a second for {seconds:g} s")
def names_for(context, limit, seconds):
    simulation = context.simulation
    context.limit = simulation.limit = limit
    context.started = simulation.network.now
    simulation.network.run_until(context.started + seconds)


def go_on(context, seconds):
    network = context.simulation.network
    network.run_until(network.now + seconds)


def excuse(context, index, seconds):
    now = context.simulation.network.now
    context.excused.append((index, now, now + seconds))


def restart_process(context, index, seconds):
    entry = context.simulation.network.entries[index]
    excuse(context, index, seconds)
    entry.fault = CUT_OFF
    go_on(context, seconds)
    context.simulation.restart(index)


@when("the owner is killed and starts again")
def owner_killed(context):
    restart_process(context, context.simulation.owner_index(), 1.0)
    context.fault_ended = context.simulation.network.now
    go_on(context, 8.0)


@when("the owner is cut off for {seconds:g} s")
def owner_cut_off(context, seconds):
    entry = context.simulation.network.entries[context.simulation.owner_index()]
    excuse(context, context.simulation.owner_index(), seconds + 3.0)
    entry.fault = CUT_OFF
    go_on(context, seconds)
    entry.fault = ""
    context.fault_ended = context.simulation.network.now
    go_on(context, 8.0)


@when("the owner leaves")
def owner_leaves(context):
    exchange = context.simulation.network.entries[context.simulation.owner_index()].exchange
    exchange.leaving = True
    exchange.request_full_broadcast()
    context.fault_ended = context.simulation.network.now
    go_on(context, 8.0)


@when("each of them restarts, {pause:g} s after the one before")
def restart_in_turn(context, pause):
    for index in range(len(context.simulation.network.entries)):
        restart_process(context, index, 1.0)
        go_on(context, pause - 1.0)
    context.fault_ended = context.simulation.network.now
    go_on(context, 8.0)


def counted(context):
    return context.simulation.counted(context.excused, NOTICE_SECONDS)


@then("it gets no more in any 4 s than its limit allows")
def within(context):
    most = most_in_a_window(counted(context))
    assert most <= allowed_requests(context.limit), (most, allowed_requests(context.limit))


@then("after {seconds:g} s at least {share:g} of the limit is used")
def is_used(context, seconds, share):
    start = context.started + seconds
    end = context.simulation.network.now
    used = context.simulation.used(start, end)
    assert used >= math.floor(share * context.limit * (end - start)), (used, end - start)


@then("the owner is asked at most {count:d} times a second")
def asked(context, count):
    simulation = context.simulation
    seconds = simulation.network.now - context.started
    assert simulation.questions <= count * seconds, simulation.questions / seconds


@then("all agree on one owner {seconds:g} s later")
def one_owner(context, seconds):
    simulation = context.simulation
    assert simulation.network.now == context.fault_ended + seconds
    assert len(simulation.owners()) == 1, simulation.owners()


@then("the limit is used again")
def used_again(context):
    now = context.simulation.network.now
    go_on(context, 4.0)
    used = context.simulation.used(now, now + 4.0)
    assert used >= 0.9 * context.limit * 4.0, used


@when("its limit is {first:g} for {one:g} s, then {second:g} for {two:g} s, then none")
def changes(context, first, one, second, two):
    simulation = context.simulation
    context.phases = []
    for limit, seconds in ((first, one), (second, two)):
        simulation.limit = limit
        start = simulation.network.now
        go_on(context, seconds)
        context.phases.append((limit, start, start + seconds))
    simulation.limit = math.inf
    context.ended = simulation.network.now


@then("each limit was kept from {seconds:g} s after its change")
def each_kept(context, seconds):
    for limit, start, end in context.phases:
        times = [at for at in counted(context) if start + seconds <= at < end]
        most = most_in_a_window(times)
        assert most <= allowed_requests(limit), (limit, most)
        assert sum(start + WINDOW_SECONDS <= at for at in times) >= 0.9 * limit


@then("{seconds:g} s after the end all processes send as they like")
def unlimited(context, seconds):
    go_on(context, seconds)
    simulation = context.simulation
    now = simulation.network.now
    assert not any(
        simulation.notices_of(index).limit.is_limited
        for index in range(len(simulation.network.entries))
    )
    go_on(context, 2.0)
    assert simulation.used(now, now + 2.0) >= 0.8 * simulation.demand * 2.0


@then("every process knows the limit")
def all_know(context):
    simulation = context.simulation
    limits = [
        simulation.notices_of(index).limit.per_second
        for index in range(len(simulation.network.entries))
    ]
    assert set(limits) == {context.limit}, limits


@when("a process asks a silent owner, asks again, and cannot send its question")
def ask_in_vain(context):
    simulation = context.simulation
    asker = (simulation.owner_index() + 1) % len(simulation.network.entries)
    grants = simulation.network.entries[asker].exchange.limits
    context.notices = simulation.notices_of(asker)
    context.notices.awaits_grant = False
    grants.pending.clear()
    now = simulation.network.now
    silent = dataclasses.replace(grants.peers, send=lambda message, control: None)

    def fail(message, control):
        raise OSError("the network is down")

    broken = dataclasses.replace(grants.peers, send=fail)

    async def ask():
        with mock.patch.object(clock, "now", lambda: now):
            for peers in (silent, silent, broken):
                grants.peers = peers
                with contextlib.suppress(OSError):
                    assert not await grants.admits(context.notices)

    context.loop.run_until_complete(ask())
    assert not grants.pending


@then("neither question leaves the backend waiting for a grant")
def not_waiting(context):
    assert not context.notices.awaits_grant


@when("each process is asked for a send by another one")
def ask_each(context):
    simulation = context.simulation
    context.granting = []
    for index, entry in enumerate(simulation.network.entries):
        # A limiter that has granted nothing yet, so that only the ownership decides.
        entry.exchange.limits.limiters = SendLimiters()
        notices = simulation.notices_of(index)
        if entry.exchange.limits.grant(notices, "another", simulation.network.now) == 0:
            context.granting.append(index)


@then("only the owner grants one")
def only_owner(context):
    assert context.granting == [context.simulation.owner_index()], context.granting


@when("faults of several entry processes are drawn from seed {seed:d}")
def drawn_faults(context, seed):
    faulty = FaultyLimits(seed)
    faulty.run()
    context.simulation, context.limit = faulty.simulation, faulty.limit
    context.excused = faulty.excused
    assert len(faulty.excused) > 5


@when("the registrations of all entry processes end, and return {seconds:g} s later")
def registrations_end(context, seconds):
    simulation = context.simulation
    network = simulation.network
    registered = [item for item in network.items if item.key.startswith(ENTRY_PREFIX)]
    context.owners = []

    def write(value_of):
        network.revision += 1
        for item in registered:
            network.items.append(KeyValueEntry(item.key, value_of(item), network.revision))
        for _ in range(10):
            go_on(context, seconds / 10)
            context.owners.append(simulation.owners())

    write(lambda item: b"")
    write(lambda item: item.value)


@then("the processes agreed on one owner in all that time")
def agreed(context):
    assert all(len(owners) == 1 for owners in context.owners), context.owners


COLD_SECONDS = 1.0
"""Length of the windows in which requests to a cold backend are counted."""


def allowed_while_cold(rate):
    """Return the requests that a cold backend may get in any second."""
    return 1.5 * rate + 5


@given(
    "{count:d} entry processes whose callers want {demand:g} requests a second "
    "of engines that take {rate:g} while cold"
)
def cold_processes(context, count, demand, rate):
    async def make():
        return SimulatedWarmUps(count, rate, demand, SEED)

    context.simulation = context.loop.run_until_complete(make())
    context.rate = rate
    go_on(context, SETTLED_AT)


@when("{count:d} engines register, cold for {seconds:g} s")
def engines_register(context, count, seconds):
    context.engines = [f"e-{index}" for index in range(count)]
    register_all(context, seconds)
    context.simulation.questions = 0
    for counter in context.simulation.counters():
        counter.clear()


def register_all(context, seconds):
    for identity in context.engines:
        context.simulation.register(identity, seconds)
    begin_cold(context, seconds)


def begin_cold(context, seconds):
    context.started = context.simulation.network.now
    context.cold_until = context.started + seconds


def finish(context):
    context.simulation.network.run_until(context.cold_until)


def requests_to(context, identity, start):
    """Return the times of requests to an engine while it is cold, from some time on."""
    finish(context)
    times = context.simulation.reached.get(identity, [])
    return [at for at in times if context.started + start <= at < context.cold_until]


def warm_up_owner(context):
    """Return the index of the owner of the warm-up of the first engine."""
    grants = context.simulation.network.entries[0].exchange.limits
    name = context.simulation.notices_of(0).name
    owner = grants.owner(name, context.simulation.network.now)
    return int(owner.rpartition(":")[2]) - 9000


def other_than_owners(context):
    """Return the index of a process that owns no warm-up."""
    simulation = context.simulation
    grants = simulation.network.entries[0].exchange.limits
    owners = {
        grants.owner(simulation.view_of(0, identity).notices.name, simulation.network.now)
        for identity in context.engines
    }
    controls = [entry.exchange.settings.listen for entry in simulation.network.entries]
    return next(index for index, control in enumerate(controls) if control not in owners)


@when("the owner of the warm-up of one is killed for good after {seconds:g} s")
def warm_up_owner_killed(context, seconds):
    go_on(context, seconds)
    simulation, index = context.simulation, warm_up_owner(context)
    simulation.network.entries[index].fault = CUT_OFF
    simulation.shares[index] = 0
    key = ENTRY_PREFIX + simulation.network.entries[index].exchange.settings.listen
    simulation.network.after(LEASE_SECONDS, lambda: simulation.delete(key))
    context.fault_at = simulation.network.now


@when("the owner of the warm-up of one is cut off from {start:g} s to {end:g} s")
def warm_up_owner_cut_off(context, start, end):
    go_on(context, start)
    simulation, index = context.simulation, warm_up_owner(context)
    entry, share = simulation.network.entries[index], simulation.shares[index]
    # It is the other side of a partition, whose own sends are not counted.
    entry.fault, simulation.shares[index] = CUT_OFF, 0
    go_on(context, end - start)
    entry.fault, simulation.shares[index] = "", share
    simulation.schedule_caller(index)


@when("a process that owns no warm-up is cut off after {seconds:g} s")
def process_cut_off(context, seconds):
    go_on(context, seconds)
    context.process = other_than_owners(context)
    context.simulation.network.entries[context.process].fault = CUT_OFF
    context.fault_at = context.simulation.network.now


@when("a process that owns no warm-up starts anew after {seconds:g} s")
def process_starts(context, seconds):
    go_on(context, seconds)
    context.process = other_than_owners(context)
    context.simulation.restart(context.process)
    context.fault_at = context.simulation.network.now


@when("after {pause:g} s they become cold for {seconds:g} s")
def become_cold(context, pause, seconds):
    go_on(context, pause)
    register_all(context, seconds)


@when("after {pause:g} s the warm-up of their zone starts")
def zone_returns(context, pause):
    go_on(context, pause)
    begin_cold(context, 3.0)
    network = context.simulation.network
    for index, entry in enumerate(network.entries):
        # Processes learn of the end of an evacuation at different times.
        fleet = entry.exchange.fleet
        network.after(0.01 * index, lambda fleet=fleet: fleet.start_warm_up("zone-0", network.now))


@when("all processes but the owner learn that one is cold for {seconds:g} s")
def all_but_owner(context, seconds):
    go_on(context, 3.0)
    simulation, owner = context.simulation, warm_up_owner(context)
    # Its own callers would be served without a limit until the first question comes.
    simulation.shares[owner] = 0
    context.engines = ["e-0"]
    begin_cold(context, seconds)
    now = simulation.network.now
    for index in range(len(simulation.network.entries)):
        if index != owner:
            simulation.notices_of(index).warm_up.record_cold(seconds, now)


@then("none gets too many requests in any second")
def cold_within(context):
    cold_within_from(context, 0.0)


@then("none gets too many requests in any second from {start:g} s on")
def cold_within_from(context, start):
    counts = {
        identity: most_in_a_window(requests_to(context, identity, start), COLD_SECONDS)
        for identity in context.engines
    }
    assert 0 < max(counts.values()) < allowed_while_cold(context.rate), counts


@then("each gets at least {share:g} of its rate from {start:g} s on")
def cold_used(context, share, start):
    seconds = context.cold_until - context.started - start
    used = {
        identity: round(len(requests_to(context, identity, start)) / seconds / context.rate, 2)
        for identity in context.engines
    }
    assert min(used.values()) >= share, used


@then("none is without a request for more than {seconds:g} s")
def no_gap(context, seconds):
    for identity in context.engines:
        start = context.fault_at - context.started
        times = [context.fault_at, *requests_to(context, identity, start), context.cold_until]
        gap = max(later - earlier for earlier, later in pairwise(times))
        assert gap <= seconds, (identity, gap)


@then("the questions and replies of a process take {mean:d} bytes a second, and {most:d} at most")
def bytes_of_questions(context, mean, most):
    finish(context)
    seconds = context.cold_until - context.started
    count = len(context.simulation.network.entries)
    for counter in (context.simulation.sent_bytes, context.simulation.received_bytes):
        found = sum(counter.values()) / count / seconds, max(counter.values()) / seconds
        assert found[0] <= mean and found[1] <= most, found


@then("that process has sent nothing since")
def sent_nothing(context):
    finish(context)
    sent = [
        at
        for at, index in context.simulation.arrivals
        if index == context.process and at > context.fault_at + 0.1
    ]
    assert not sent, sent


@then("that process is granted sends")
def is_granted(context):
    finish(context)
    sent = [
        at
        for at, index in context.simulation.arrivals
        if index == context.process and at > context.fault_at
    ]
    assert sent


@then("no owner was asked")
def none_asked(context):
    finish(context)
    assert context.simulation.arrivals and not context.simulation.questions

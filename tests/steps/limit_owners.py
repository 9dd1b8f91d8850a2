"""Steps on the owners of limits, in simulated time."""

import contextlib
import dataclasses
import math
from collections import Counter
from functools import partial
from itertools import islice, pairwise
from unittest import mock

from behave import given, then, when

from tests.simulated_entries import CUT_OFF
from tests.simulated_limit_faults import FaultyLimits
from tests.simulated_limits import COLD_PER_SECOND, SimulatedLimits, SimulatedWarmUps
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


@given("{count:d} entry processes, {engines:d} engines and {demand:g} requests a second for them")
def cold_processes(context, count, demand, engines):
    async def make():
        return SimulatedWarmUps(count, engines, demand, SEED)

    context.simulation = context.loop.run_until_complete(make())
    go_on(context, SETTLED_AT)


@when("the engines are cold for {seconds:g} s, while {event}")
def cold_while(context, seconds, event):
    simulation, context.event = context.simulation, event
    if event in ("they were in use before", "their zone comes back", "the owner has not heard it"):
        simulation.register(0)
        go_on(context, 3.0)
    context.started = simulation.network.now
    context.ended = context.started + seconds
    simulation.sent.clear()
    if event == "their zone comes back":
        # They learn one after the other that the evacuation has ended.
        for index, entry in enumerate(simulation.network.entries):
            start = partial(entry.exchange.fleet.start_warm_up, "z", context.started + 0.01 * index)
            simulation.network.after(0.01 * index, start)
    elif event == "the owner has not heard it":
        simulation.tell_all_but_owner(seconds)
    else:
        simulation.register(seconds)
    if event.startswith(("an owner", "a process")):
        go_on(context, 3.0)
        context.process = simulation.begin_fault(event)
    simulation.network.run_until(context.ended)


@then("none gets too many in any second from {start:g} s on, or none for 4 s")
def cold_within(context, start):
    for times in context.simulation.reached_between(context.started + start, context.ended):
        assert most_in_a_window(times, 1.0) < 1.5 * COLD_PER_SECOND + 5, len(times)
        gaps = [b - a for a, b in pairwise([context.started + start, *times, context.ended])]
        assert max(gaps) <= 4.0, max(gaps)


@then("each gets at least {share:g} of its rate from {late:g} s on")
def cold_used(context, share, late):
    start = context.started + late
    used = [len(times) for times in context.simulation.reached_between(start, context.ended)]
    assert min(used) >= share * COLD_PER_SECOND * (context.ended - start), used


@then("a process that is cut off sends nothing, and one that starts is granted sends")
def sent_since(context):
    if context.event.startswith("a process"):
        since = context.started + 3.5
        sent = [one for at, one in context.simulation.arrivals if at > since]
        assert (context.process in sent) == (context.event == "a process starts")


@then("a process sends {messages:g} messages and {mean:g} bytes a second, at most {most:g}")
def sent_for_grants(context, messages, mean, most):
    sent, seconds = Counter(), context.ended - context.started
    for index, size in context.simulation.sent:
        sent[index] += size / seconds
    count = len(context.simulation.network.entries)
    assert len(context.simulation.sent) <= messages * count * seconds
    assert 0 < sum(sent.values()) <= mean * count and max(sent.values()) <= most, sent


@when(
    "they are split into parts of {parts}, and the engine is cold from 3.5 s to 10.5 s, "
    "and 10 s after"
)
def split(context, parts):
    simulation = context.simulation
    entries = iter(simulation.network.entries)
    for side, size in enumerate(parts.split(", ")):
        for entry in islice(entries, int(size)):
            entry.side = side
    go_on(context, 3.5)
    simulation.register(18)
    context.started = simulation.network.now
    go_on(context, 7.0)
    for entry in simulation.network.entries:
        entry.side = 0
    go_on(context, 10.0)


@when("the engine is cold for {seconds:g} s, and all but one are killed")
def all_but_one_killed(context, seconds):
    simulation = context.simulation
    simulation.register(seconds)
    go_on(context, 1.0)
    context.started = simulation.network.now
    last, *others = range(len(simulation.network.entries))
    for index in others:
        simulation.shares[index] = 0
        simulation.network.entries[index].fault = CUT_OFF
        key = ENTRY_PREFIX + simulation.network.entries[index].exchange.settings.listen
        simulation.network.after(LEASE_SECONDS, partial(simulation.write, key, None))
    simulation.shares[last] = 1
    simulation.network.run_until(context.started + seconds - 1.0)


def rate_used(context, start, end):
    return context.simulation.used(context.started + start, context.started + end) / (
        COLD_PER_SECOND * (end - start)
    )


@then("it gets fewer than {count:d} requests in any second")
def in_any_second(context, count):
    times = context.simulation.reached["e-0"]
    # The registration takes some milliseconds to each process.
    most = most_in_a_window([at for at in times if at >= context.started + 0.2], 1.0)
    assert most < count, most


@then("at least {share:g} of its rate from {start:g} s to {end:g} s, and {last:g} in the last 4 s")
def rate_used_at_least(context, share, start, end, last):
    found = rate_used(context, start, end), rate_used(context, 13.0, 17.0)
    assert found[0] >= share and found[1] >= last, found


@then("{share:g} of the rate is used from {start:g} s to {end:g} s")
def rate_used_exactly(context, share, start, end):
    found = rate_used(context, start, end)
    assert 0.9 * share <= found <= 1.1 * share, found

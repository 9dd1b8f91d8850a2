"""Steps on state broadcasts between entry processes."""

import json
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tests.direct_fakes import NOW, exchange_of, fleet_of, membership_of
from tests.simulated_entries import SimulatedEntries
from verbenaward.direct.addresses import addresses_for
from verbenaward.direct.peer_table import STORE_DOWN_SECONDS
from verbenaward.placement.peer_groups import MINIMUM_BACKENDS, peer_group_of
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.replica.store_replica import Changes
from verbenaward.requests.quarantine import QuarantineState
from verbenaward.schema.messages import Pulse
from verbenaward.wire.codec import encode


@when("{count:d} entry processes in 2 zones receive each other's broadcasts")
def receive_broadcasts(context, count):
    def build_all(store_answered_at):
        zones = ("zone-a", "zone-a", "zone-b")
        exchanges = [
            exchange_of(f"entry-{index}", zones[index], 9000 + index, store_answered_at)
            for index in range(count)
        ]

        now = NOW
        for sender in exchanges:
            payload = encode(sender.full_broadcast(now))
            port = int(sender.settings.listen.rpartition(":")[2])
            for receiver in exchanges:
                receiver.receive(payload, ("127.0.0.1", port), now)
        return exchanges

    async def make():
        return build_all(NOW), build_all(NOW - 60)

    context.fresh, context.stale = context.loop.run_until_complete(make())


@given("three entry processes of one region and one of another that exchange broadcasts")
def exchange_in_regions(context):
    zones = {"zone-a": "region-a", "zone-b": "region-b"}

    async def make():
        context.entries = [
            exchange_of(f"entry-{index}", zone, 9200 + index, NOW, zones)
            for index, zone in enumerate(("zone-a", "zone-a", "zone-a", "zone-b"))
        ]
        context.sent = []
        for sender in context.entries:
            sender.transport = SimpleNamespace(
                sendto=lambda data, to, me=sender: context.sent.append((me, data, to[1]))
            )
            for receiver in context.entries:
                receiver.fleet.put(fleet_of(1).backends["e-0"].backend, NOW)
                port = int(sender.settings.listen.rpartition(":")[2])
                receiver.receive(encode(sender.full_broadcast(NOW)), ("127.0.0.1", port), NOW)
        for exchange in context.entries:
            membership_of(exchange).update(NOW)

    context.loop.run_until_complete(make())


def deliver(context):
    for sender, data, port in context.sent:
        own = int(sender.settings.listen.rpartition(":")[2])
        context.entries[port - 9200].receive(data, ("127.0.0.1", own), NOW + 0.01)


@when("one of the three sends a request to a backend")
def send_one(context):
    context.entries[0].fleet.backends["e-0"].record_started(500)
    context.entries[0].send_load_delta(NOW)
    deliver(context)


@then("the other two count it, and the one of the other region does not yet")
def counted_in_region(context):
    counts = [exchange.fleet.backends["e-0"].all_running(NOW) for exchange in context.entries]
    assert counts == [1, 1, 1, 0], counts


@when("the request has ended")
def send_end(context):
    context.sent.clear()
    view = context.entries[0].fleet.backends["e-0"]
    view.record_prefill_done(500)
    view.record_ended()
    context.entries[0].send_load_delta(NOW)
    deliver(context)


@then("none of them counts it any more")
def none_counts(context):
    counts = [exchange.fleet.backends["e-0"].all_running(NOW) for exchange in context.entries]
    assert counts == [0, 0, 0, 0], counts


@when("one of them sends broadcasts as often as it may for {seconds:d} s while its load changes")
def broadcast_for(context, seconds):
    sender = context.entries[0]
    step = 0.01
    for index in range(round(seconds / step)):
        now = NOW + index * step
        sender.fleet.backends["e-0"].running = index % 7
        if sender.is_full_due(now):
            sender.send_full(now)
        elif now >= sender.next_delta_at:
            sender.send_load_delta(now)
    context.seconds = seconds


@then("they take no more than the allowed rate")
def within_rate(context):
    total = sum(len(data) + 28 for _, data, _ in context.sent)
    rate = context.entries[0].rate()
    assert 0.5 * rate < total / context.seconds <= rate, (total / context.seconds, rate)


@then("{count:d} of them watch the store")
def watchers(context, count):
    assert sum(exchange.peers.is_watcher(NOW) for exchange in context.fresh) == count


@then("all watch once the store has answered none of them lately")
def all_watch(context):
    assert all(exchange.peers.is_watcher(NOW) for exchange in context.stale)


@when("callers of a zone with 2 entry processes and of one with none ask for addresses")
def addresses(context):
    pulses = [
        Pulse(vm=f"e-{index}", zone=zone, front=f"h:{index}")
        for index, zone in enumerate(("zone-a", "zone-a", "zone-b"))
    ]
    context.near = addresses_for(pulses, "zone-a", {})
    context.far = addresses_for(pulses, "zone-c", {})


@then("the first get the 2 and the second get all")
def addresses_given(context):
    assert set(context.near) == {"h:0", "h:1"} and len(context.far) == 3


@when("any entry processes and engines of a region are sharded into peer groups")
def shard_groups(context):
    @for_all(st.integers(1, 60), st.integers(0, 60))
    def check(members, engines):
        names = [f"entry-{index}" for index in range(members)]
        addresses = [f"10.0.0.{index}:80" for index in range(engines)]
        groups = {name: peer_group_of(name, names, addresses) for name in names}
        assert all(name in group.members for name, group in groups.items())
        assert all(groups[other] == group for group in groups.values() for other in group.members)
        preferred = [group.backends for group in set(groups.values())]
        if len(preferred) > 1:
            assert all(len(backends) >= MINIMUM_BACKENDS for backends in preferred)
            assert sum(map(len, preferred)) == len(addresses)
            assert frozenset().union(*preferred) == set(addresses)
        else:
            assert not preferred[0]

    context.check = check


@then("members of a group agree, and each engine is preferred by one group")
def groups_agree(context):
    context.check()


@when("one of the three finds another incarnation at a backend's address")
def find_replaced(context):
    sender = context.entries[0]
    sender.fleet.backends["e-0"].record_misdirected(NOW)
    sender.fleet.backends["e-0"].record_started(10)
    sender.send_load_delta(NOW)
    deliver(context)


@then("the other two exclude it as well")
def excluded(context):
    is_excluded = [
        exchange.fleet.backends["e-0"].excluded_until > NOW for exchange in context.entries
    ]
    assert is_excluded == [True, True, True, False], is_excluded


@when("an entry process broadcasts, stops and restarts with an older time")
def restart(context):
    async def make():
        receiver = exchange_of("receiver", "zone-a", 9100, NOW)
        before = exchange_of("other", "zone-a", 9101, NOW)
        after = exchange_of("other", "zone-a", 9101, NOW)
        after.incarnation = before.incarnation - 1_000_000
        source = ("127.0.0.1", 9101)
        first = encode(before.full_broadcast(NOW))
        receiver.receive(first, source, NOW)
        receiver.receive(encode(after.full_broadcast(NOW)), source, NOW + 0.1)
        context.too_early = receiver.peers.by_control["127.0.0.1:9101"].last_broadcast.incarnation
        receiver.receive(encode(after.full_broadcast(NOW)), source, NOW + 1.0)
        context.replaced = receiver.peers.by_control["127.0.0.1:9101"].last_broadcast.incarnation
        context.before, context.after = before.incarnation, after.incarnation

    context.loop.run_until_complete(make())


@then("its new broadcasts are accepted once the old ones have stopped")
def restarted_accepted(context):
    assert context.too_early == context.before
    assert context.replaced == context.after


@when("the store answers none of them, though load deltas are still sent")
def store_unavailable(context):
    context.watching = {}
    one, two = context.entries[0], context.entries[1]
    for index in range(1, 40):
        now = NOW + index * 0.1
        context.sent.clear()
        one.fleet.backends["e-0"].running = index % 5
        one.send_load_delta(now)
        for _, data, port in context.sent:
            if port == 9201:
                two.receive(data, ("127.0.0.1", 9200), now)
        membership_of(two).update(now)
        context.watching[round(index * 0.1, 1)] = two.peers.is_watcher(now)


@then("the second watches the store itself within {seconds:g} s")
def watches_itself(context, seconds):
    assert all(watching for at, watching in context.watching.items() if at >= seconds)


@when("one of the three stops sending")
def stop_sending(context):
    first = context.entries[0]
    peer = first.peers.by_control["127.0.0.1:9201"]
    context.liveness = []
    for index in range(40):
        now = NOW + index * 0.1
        membership_of(first).update(now)
        context.liveness.append((index * 0.1, peer.is_alive(now)))


@then("it counts as gone after {seconds:g} s and never as alive again")
def gone_for_good(context, seconds):
    assert [alive for _, alive in context.liveness] == [at < seconds for at, _ in context.liveness]


@given("an entry process whose own last answer from the store is {seconds:g} s old")
def long_unanswered(context, seconds):
    async def make():
        context.receiver = exchange_of("receiver", "zone-a", 9100, NOW - seconds)
        context.peer = exchange_of("peer", "zone-a", 9101, NOW)

    context.loop.run_until_complete(make())
    context.receiver.replica.apply(Changes(5, True, ()), NOW - seconds)
    context.peer.replica.apply(Changes(7, True, ()), NOW)


@when("a peer broadcasts a newer revision that the store has just confirmed")
def newer_revision(context):
    payload = encode(context.peer.full_broadcast(NOW))
    context.receiver.receive(payload, ("127.0.0.1", 9101), NOW)


@then("its next broadcast says that its replica is at least {seconds:g} s old")
def says_old(context, seconds):
    checked_ms = context.receiver.full_broadcast(NOW).checked_ms
    assert checked_ms >= seconds * 1000, checked_ms


@when("the first of each zone loses the store and broadcasts that")
def first_loses_store(context):
    for exchange in (context.entries[0], context.entries[3]):
        exchange.peers.is_store_lost = lambda: True
        port = int(exchange.settings.listen.rpartition(":")[2])
        for receiver in context.entries:
            receiver.receive(encode(exchange.full_broadcast(NOW)), ("127.0.0.1", port), NOW)


@then("the second of the zone with three watches the store at once")
def second_watches(context):
    assert [exchange.peers.is_watcher(NOW) for exchange in context.entries] == [
        True,
        True,
        False,
        True,
    ]


@given("{count:d} entry processes in {zones:d} zones that broadcast to samples of their peers")
def sampled_entries(context, count, zones):
    async def make():
        return SimulatedEntries(count, zones)

    context.simulate = lambda: context.loop.run_until_complete(make())


@given("{count:d} entry processes in {zones:d} zones whose messages take {milliseconds:d} ms")
def slow_messages(context, count, zones, milliseconds):
    async def make():
        return SimulatedEntries(count, zones, milliseconds / 1000)

    context.simulate = lambda: context.loop.run_until_complete(make())


@when("all that watch the store {fault}, and a change is made")
def lose_store(context, fault):
    context.lags = []
    for trial in range(8):
        simulation = context.simulate()
        simulation.run_until(4.0 + trial / 8)
        for entry in simulation.watchers():
            entry.fault = fault
        simulation.change()
        changed_at = simulation.now
        while simulation.lagging() and simulation.now < changed_at + 6:
            simulation.run_until(simulation.now + 0.02)
        context.lags.append(round(simulation.now - changed_at, 2))


@then("every other process has the change within {seconds:g} s")
def all_have_change(context, seconds):
    assert max(context.lags) <= seconds, context.lags


@when("two of them see a backend crash with the same request")
def two_crashes(context):
    context.simulation = context.simulate()
    context.simulation.run_until(4.0)
    for index in (0, 1):
        sent_at = context.simulation.now
        context.simulation.run_until(sent_at + 0.05)
        crashes = context.simulation.entries[index].exchange.crashes
        crashes.record_crash(b"request", index, sent_at, context.simulation.now)
        context.simulation.run_until(context.simulation.now + 0.01)


@then("all of them refuse it {seconds:g} s later")
def all_refuse(context, seconds):
    simulation = context.simulation
    simulation.run_until(simulation.now + seconds)
    states = [
        entry.exchange.crashes.state_of(b"request", simulation.now) for entry in simulation.entries
    ]
    known = states.count(QuarantineState.POISON)
    assert known == len(states), (known, len(states))
    assert not any(
        entry.exchange.crashes.admits((b"request",), simulation.now) for entry in simulation.entries
    )


@given(
    "{count:d} entry processes in {zones:d} zones of which one has had no answer for "
    "{seconds:g} s, and that hears {heard} others"
)
def process_in_outage(context, count, zones, seconds, heard):
    async def make():
        return [
            exchange_of(f"entry-{index}", f"zone-{index % zones}", 9000 + index, NOW - seconds)
            for index in range(count)
        ]

    context.process, *others = context.loop.run_until_complete(make())
    for other in others:
        broadcast_to(context.process, other, NOW - seconds)
    if heard == "all":
        context.others = others
    elif heard == "two zones' of the":
        context.others = [other for other in others if other.settings.zone != "zone-1"]
        assert 2 * len(context.others) > len(others)
    else:
        context.others = others[: int(heard)]


def broadcast_to(receiver, sender, now):
    source = ("127.0.0.1", int(sender.settings.listen.rpartition(":")[2]))
    receiver.receive(encode(sender.full_broadcast(now)), source, now)


@when("the others {state}, and a target version is set as the store answers again")
def version_after_outage(context, state):
    process = context.process
    process.peers.is_store_lost = lambda: True
    for other in context.others:
        if state == "have had an answer 1 s ago":
            other.replica.current_at = NOW - 1
        broadcast_to(process, other, NOW)
    if process.peers.is_store_down(NOW):
        process.replica.outage_until = NOW - STORE_DOWN_SECONDS
    value = json.dumps({"model_name": "model", "version": 2}).encode()
    entry = KeyValueEntry("op/version/model", value, 9)
    process.replica.apply(Changes(9, False, (entry,), NOW), NOW)


@then("that process takes the version to be at most {seconds:g} s old")
def assumed_age(context, seconds):
    learned = context.process.fleet.versions["model"][-1]
    assert seconds - 1 <= NOW - learned.set_after <= seconds, NOW - learned.set_after


@given("an entry process that knows a live peer")
def knows_peer(context):
    async def make():
        return exchange_of("sender", "zone-a", 9100, NOW), exchange_of("peer", "zone-a", 9101, NOW)

    context.sender, peer = context.loop.run_until_complete(make())
    context.sender.receive(encode(peer.full_broadcast(NOW)), ("127.0.0.1", 9101), NOW)


@when("it sends {count:d} full broadcasts, and after each a load delta")
def broadcasts_and_deltas(context, count):
    context.broadcasts = []
    for _ in range(count):
        context.broadcasts.append(context.sender.full_broadcast(NOW))
        context.sender.sequence += 1


@then("two of the full ones name the peer")
def named_twice(context):
    named = [broadcast.entries for broadcast in context.broadcasts if broadcast.entries]
    assert named == [("127.0.0.1:9101",)] * 2, named

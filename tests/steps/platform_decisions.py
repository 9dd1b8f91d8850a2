"""Steps on decisions, without a network."""

import json
import os
import random
import re
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy
from returns.result import Failure, Success

import verbenaward
from verbenaward.data import Backend, EngineModel, Fault, HeldWeights, Route, RouteKind
from verbenaward.direct.addresses import addresses_for
from verbenaward.direct.backends import first_event_seconds
from verbenaward.direct.budget import SharedBudget
from verbenaward.direct.cells import LEAST_BACKENDS, cell_of
from verbenaward.direct.decisions import LineBudget
from verbenaward.direct.entries import Entries
from verbenaward.direct.fleet import Fleet, HeardVersion
from verbenaward.direct.patience import Patience
from verbenaward.direct.placing import Placer
from verbenaward.direct.poison import Crashes
from verbenaward.direct.records import Request
from verbenaward.direct.runs import chunk_order, holder_order, run_name
from verbenaward.filling.plan import (
    IN_TIME_SHARE,
    Overtaken,
    Swap,
    goes_on,
    load_delay_seconds,
    turn_order,
)
from verbenaward.knowledge.items import Changes, ItemView
from verbenaward.logs import DROPPED_KEY, LineWriter
from verbenaward.platform.declarations import backend_of, configuration_of, named_version_of
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.platform.request_headers import CallerHeaders
from verbenaward.schema.messages import Pulse
from verbenaward.schema.settings import DirectSettings, PlatformSettings, Settings
from verbenaward.wire.codec import encode

NOW = 1000.0
ENGINE = EngineModel(16, 0.00887, 0.00004, 19100.0, 2048, 5, 977.0, 94.0, ("model",), 48, 49152)
ROUTE = Route("r", "h", "/", RouteKind.STREAMING, (), 6.0, 0.5, 0.4, 1, 2, False, True)


def request_of(prompt=900, answer=100, hint=0):
    said = CallerHeaders("a", 6.0, "", "model", prompt, answer, "", hint)
    headers = CIMultiDictProxy(CIMultiDict())
    return Request(
        headers, said, "POST", "/", b"", ROUTE, "engines", ENGINE, "one", 1, NOW, NOW + 6, b"f"
    )


def fleet_of(count, version=1):
    fleet = Fleet(ItemView())
    for index in range(count):
        held = (HeldWeights("model", version),)
        backend = Backend(
            f"e-{index}", "engines", f"h:{index + 1}", "zone-a", 16, False, held, 0, 1
        )
        fleet.put(backend, NOW)
    return fleet


def placer_of(fleet):
    return Placer(fleet, "zone-a", {"zone-a": "region-a"}, 8.0)


@when("any number of entry processes repeat as often as they may")
def repeat_often(context):
    @for_all(
        st.integers(1, 24),
        st.lists(st.tuples(st.integers(0, 23), st.integers(0, 60)), max_size=120),
        st.integers(0, 10_000),
    )
    def check(entries, steps, seed):
        rng = random.Random(seed)
        budgets = [SharedBudget(0.2, 100.0, 10.0) for _ in range(entries)]
        for budget in budgets:
            budget.note_entries(entries)
        now, requests, repeats = 0.0, [], []
        for entry, wanted in steps:
            now += rng.random()
            budget = budgets[entry % entries]
            for _ in range(rng.randrange(5)):
                budget.note_request("s", now)
                requests.append(now)
            repeats += [now for _ in range(wanted) if budget.spend("s", now)]
            in_window = sum(now - 10.0 < at for at in repeats)
            allowed = 0.2 * sum(now - 10.0 < at for at in requests) + 100.0
            assert in_window <= allowed, (in_window, allowed)

    context.check = check


@then("no window has more repeats than the bound allows")
def bound_kept(context):
    context.check()


@when("a burst of {count:d} requests is placed on engines of different speed")
def burst(context, count):
    context.fleet = fleet_of(10)
    for index, view in enumerate(context.fleet.backends.values()):
        view.slowness = 1.0 + 0.1 * index
    placer = placer_of(context.fleet)
    for _ in range(count):
        placer.choose(request_of(), set(), NOW).view.note_started(900)


@then("no engine expects its next first event twice as late as another")
def even(context):
    expected = [
        first_event_seconds(view, ENGINE, 900, NOW) for view in context.fleet.backends.values()
    ]
    assert max(expected) < 2 * min(expected), expected


@given("engines that are all full")
def full(context):
    context.fleet = fleet_of(3)
    for view in context.fleet.backends.values():
        for _ in range(24):
            view.note_started(900)


@given("a version named 9 s ago and a newer one named 2 s ago")
def two_versions(context):
    context.fleet = fleet_of(3)
    context.fleet.versions["model"] = [
        HeardVersion(SimpleNamespace(model="model", version=2), NOW - 9),
        HeardVersion(SimpleNamespace(model="model", version=3), NOW - 2),
    ]


@given("engines that hold the version before both")
def old_engines(context):
    assert all(view.version_of("model") == 1 for view in context.fleet.backends.values())


@given("a process that finds a named version in the store at its start")
def found_version(context):
    view = ItemView()
    context.fleet = Fleet(view)
    value = json.dumps({"model_name": "model", "version": 2}).encode()
    view.take(Changes(7, True, (KeyValueEntry("op/version/model", value, 5),)), NOW)


@when("requests come under a bound of {bound:g} s")
def under_bound(context, bound):
    context.needed = [
        context.fleet.required_version("model", bound, NOW + after) for after in (0.0, 3.0)
    ]


@then("they need the version after 3 s")
def needed_soon(context):
    assert context.needed == [0, 2], context.needed


@when("the version that a request needs is asked for")
def needed(context):
    context.version = placer_of(context.fleet).required_version(request_of(), NOW)


@then("it is the older of the two")
def older(context):
    assert context.version == 2


@when("a request is placed")
def place(context):
    placer = placer_of(context.fleet)
    choice = placer.choose(request_of(), set(), NOW)
    context.refusal = placer.refusal(request_of(), choice, NOW)


@then("it is refused with a time to come back")
def refused(context):
    assert context.refusal is not None
    assert context.refusal.status == 503 and context.refusal.retry_after_seconds > 0


def entries_of(vm, zone, port, checked_at, zones=None):
    settings = Settings(
        1,
        "entry",
        vm,
        zone,
        zone,
        f"127.0.0.1:{port}",
        PlatformSettings("http://h", "leased"),
        direct=DirectSettings(front=f"127.0.0.1:{port + 100}", zones=zones or {}),
    )
    view = ItemView()
    return Entries(
        settings, view, Fleet(view), Crashes(), lambda: True, lambda _: None, lambda: checked_at
    )


@when("{count:d} entry processes in 2 zones hear each other")
def hear(context, count):
    def made(checked_at):
        zones = ("zone-a", "zone-a", "zone-b")
        found = [
            entries_of(f"entry-{index}", zones[index], 9000 + index, checked_at)
            for index in range(count)
        ]

        now = NOW
        for sender in found:
            pulse = encode(sender.pulse(now))
            port = int(sender.settings.listen.rpartition(":")[2])
            for taker in found:
                taker.take(pulse, ("127.0.0.1", port), now)
        return found

    async def make():
        return made(NOW), made(NOW - 60)

    context.fresh, context.stale = context.loop.run_until_complete(make())


@given("three entry processes of one region and one of another that hear each other")
def regions_hear(context):
    zones = {"zone-a": "region-a", "zone-b": "region-b"}

    async def make():
        context.entries = [
            entries_of(f"entry-{index}", zone, 9200 + index, NOW, zones)
            for index, zone in enumerate(("zone-a", "zone-a", "zone-a", "zone-b"))
        ]
        context.sent = []
        for sender in context.entries:
            sender.transport = SimpleNamespace(
                sendto=lambda data, to, me=sender: context.sent.append((me, data, to[1]))
            )
            for taker in context.entries:
                taker.fleet.put(fleet_of(1).backends["e-0"].backend, NOW)
                port = int(sender.settings.listen.rpartition(":")[2])
                taker.take(encode(sender.pulse(NOW)), ("127.0.0.1", port), NOW)
        for entries in context.entries:
            entries.arrange_cell(NOW)

    context.loop.run_until_complete(make())


def deliver(context):
    for sender, data, port in context.sent:
        own = int(sender.settings.listen.rpartition(":")[2])
        context.entries[port - 9200].take(data, ("127.0.0.1", own), NOW + 0.01)


@when("one of the three sends a request to a backend")
def send_one(context):
    context.entries[0].fleet.backends["e-0"].note_started(500)
    context.entries[0].send_loads(NOW)
    deliver(context)


@then("the other two know of it, and the one of the other region does not yet")
def know_of_it(context):
    known = [entries.fleet.backends["e-0"].all_running(NOW) for entries in context.entries]
    assert known == [1, 1, 1, 0], known


@when("its request has ended")
def send_end(context):
    context.sent.clear()
    view = context.entries[0].fleet.backends["e-0"]
    view.note_read(500)
    view.note_ended()
    context.entries[0].send_loads(NOW)
    deliver(context)


@then("none of them counts it any more")
def none_counts(context):
    known = [entries.fleet.backends["e-0"].all_running(NOW) for entries in context.entries]
    assert known == [0, 0, 0, 0], known


@when("one of them sends pulses as often as it may for {seconds:d} s while its load changes")
def pulses_for(context, seconds):
    sender = context.entries[0]
    step = 0.01
    for index in range(round(seconds / step)):
        now = NOW + index * step
        sender.fleet.backends["e-0"].running = index % 7
        if sender.is_whole_due(now):
            sender.send_whole(now)
        elif now >= sender.next_loads_at:
            sender.send_loads(now)
    context.seconds = seconds


@then("they take no more than the allowed rate")
def within_rate(context):
    total = sum(len(data) + 28 for _, data, _ in context.sent)
    rate = context.entries[0].rate()
    assert 0.5 * rate < total / context.seconds <= rate, (total / context.seconds, rate)


@then("{count:d} of them watch the store")
def watchers(context, count):
    assert sum(entries.is_watcher(NOW) for entries in context.fresh) == count


@then("all watch once nobody has heard from the store")
def all_watch(context):
    assert all(entries.is_watcher(NOW) for entries in context.stale)


@when("callers of a zone with 2 entry processes and of one with none ask")
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


@when("{count:d} lines are wanted within a second")
def lines(context, count):
    budget = LineBudget(60.0, filled_at=NOW - 1.0)
    context.written = sum(budget.take(NOW + index / count / 10) for index in range(count))
    context.budget, context.wanted = budget, count


@then("at most {count:d} are written")
def at_most(context, count):
    assert 0 < context.written <= count


@then("the next line says how many were dropped")
def dropped(context):
    assert context.budget.dropped == context.wanted - context.written


def histories():
    keys = st.sampled_from(["a", "b", "c", "d"])
    return st.lists(st.tuples(keys, st.booleans()), min_size=1, max_size=30)


def entries_in(history):
    return [
        KeyValueEntry(key, b"" if gone else f"{index}".encode(), index + 2)
        for index, (key, gone) in enumerate(history)
    ]


def state_at(entries, revision):
    state = {}
    for entry in entries:
        if entry.version <= revision:
            state[entry.key] = entry
    return state


@when("histories of the store are told in any order, late, twice and in part")
def told_in_any_order(context):
    @for_all(histories(), st.lists(st.tuples(st.integers(0, 40), st.booleans()), max_size=20))
    def check(history, tellings):
        entries = entries_in(history)
        view, newest = ItemView(), 0
        for revision, complete in tellings:
            revision = min(revision, len(entries) + 1)
            state = state_at(entries, revision)
            if complete:
                told = tuple(entry for entry in state.values() if entry.value)
            else:
                told = tuple(entry for entry in entries if entry.version <= revision)
            view.take(Changes(revision, complete, told), 0.0)
            newest = max(newest, revision)
            expected = {k: e.value for k, e in state_at(entries, newest).items() if e.value}
            known = {k: e.value for k, e in view.items.items() if e.value}
            assert known == expected, (known, expected)
            assert view.revision == newest

    context.check = check


@then("each key has the newest item that was told")
def newest_item(context):
    context.check()


@when("two processes hear different parts and hand on to each other")
def hand_on(context):
    @for_all(histories(), st.integers(0, 31), st.integers(0, 31))
    def check(history, first, second):
        entries = entries_in(history)
        views = []
        for revision in (first, second):
            view = ItemView()
            revision = min(revision, len(entries) + 1)
            state = tuple(e for e in state_at(entries, revision).values() if e.value)
            if revision:
                view.take(Changes(revision, True, state), 0.0)
            views.append(view)
        one, two = views
        two.take(one.changes_after(two.revision), 0.0)
        one.take(two.changes_after(one.revision), 0.0)
        values = [{k: e.value for k, e in view.items.items() if e.value} for view in views]
        assert values[0] == values[1] and one.revision == two.revision

    context.check = check


@then("both know everything up to the higher revision")
def know_the_same(context):
    context.check()


@when("a complete reading comes late")
def late_reading(context):
    view = ItemView()
    view.take(Changes(5, False, (KeyValueEntry("old", b"1", 3), KeyValueEntry("new", b"1", 5))), 0)
    view.take(Changes(4, True, ()), 0)
    context.view = view


@then("keys that were removed are gone")
def removed_gone(context):
    assert not context.view.items["old"].value


@then("a key that was written after it stays")
def newer_stays(context):
    assert context.view.items["new"].value


@when("turns are dealt to any number of engines")
def turns(context):
    zone_lists = st.lists(st.sampled_from(["a", "b", "c"]), min_size=1, max_size=60)

    @for_all(zone_lists, st.floats(0.0, 10.0), st.none() | st.floats(0.0, 8.0))
    def check(zone_list, staging, newer_after):
        newer = None if newer_after is None else NOW + newer_after
        swap = Swap(NOW, newer, staging, 8.0)
        assert NOW <= swap.first_turn_at <= swap.first_turn_at + swap.window_seconds < NOW + 8.0
        zones = {f"10.0.0.{index}:80": zone for index, zone in enumerate(zone_list)}
        delays = [load_delay_seconds(address, zones, 2.0) for address in zones]
        assert len(set(delays)) == len(zones)
        assert min(delays) == 0.0 and max(delays) < 2.0

    context.check = check


@when("engines of three zones are put in the order of their turns")
def order_by_zone(context):
    context.zones = {f"10.0.{index % 3}.{index}:80": f"zone-{index % 3}" for index in range(12)}
    context.order = turn_order(context.zones)


@then("any three in a row are of different zones")
def zones_differ(context):
    ordered = [context.zones[address] for address in context.order]
    assert sorted(context.order) == sorted(context.zones)
    assert all(len(set(ordered[index : index + 3])) == 3 for index in range(10)), ordered


@when("{count:d} endpoints of a region with {entries:d} entry processes fetch {chunks:d} chunks")
def fetch_in_order(context, count, entries, chunks):
    controls = {f"10.0.0.{index}:7700": "zone-a" for index in range(entries)}
    context.orders = [
        chunk_order(range(chunks), f"side-zone-a-{number}") for number in range(count)
    ]
    context.asked = Counter(
        holder_order(controls, "zone-a", {}, run_name("model", 2, order[0]))[0]
        for order in context.orders
    )
    context.chunks = chunks


@then("each fetches every chunk once")
def every_chunk(context):
    assert all(sorted(order) == list(range(context.chunks)) for order in context.orders)


@then("no entry process is asked by more than {count:d} of them for their first chunk")
def spread_over(context, count):
    assert max(context.asked.values()) <= count, context.asked


@given("one engine that loads other weights in {seconds:g} s and one with more to do")
def about_to_load(context, seconds):
    context.fleet = fleet_of(2)
    context.loading, context.other = context.fleet.backends.values()
    context.fleet.note_loading(context.loading.backend.address, seconds, NOW)
    context.other.loads_at = 0.0
    for _ in range(3):
        context.other.note_started(0)


@when("a stream of {tokens:d} tokens is placed")
def place_stream(context, tokens):
    request = request_of(100, answer=1000, hint=tokens)
    context.placed = placer_of(context.fleet).choose(request, set(), NOW).view


@then("it goes to the engine that loads")
def to_loading(context):
    assert context.placed is context.loading


@then("it goes to the other engine")
def to_other(context):
    assert context.placed is context.other


@then("all begin within the window and not two at the same time")
def turns_kept(context):
    context.check()


@when("a newer version is named at any time while the older one is staged")
def overtaken(context):
    context.cases = [
        (share / 10, [goes_on(Overtaken(share / 10, 0.0, 4.5, 8.0, rank), 0.0) for rank in (0, 1)])
        for share in range(11)
    ]


@then("some engine goes on")
def some_go_on(context):
    assert all(any(decided) for _, decided in context.cases)


@then("all go on where both can be staged in time")
def all_go_on(context):
    for share, decided in context.cases:
        in_time = (1 - share) * 4.5 + 4.5 <= IN_TIME_SHARE * 8.0
        assert all(decided) == in_time, (share, decided)


@given("callers that wait between {least:g} s and {most:g} s for an answer")
def patient_callers(context, least, most):
    rng = random.Random(1)
    context.patience = Patience()
    context.waits = [most] + [rng.uniform(least, most) for _ in range(200)]


@when("each asks for the first time, and comes back {seconds:g} s later")
def ask_twice(context, seconds):
    judge = context.patience.has_come_back
    context.first = [judge("r", wait, NOW) for wait in context.waits]
    context.second = [judge("r", wait - seconds, NOW + seconds) for wait in context.waits]


@then("none counts as come back the first time, and all do the second time")
def told_apart(context):
    assert not any(context.first) and all(context.second)


@when("they wait between {least:g} s and {most:g} s from then on")
def change_waits(context, least, most):
    rng = random.Random(2)
    context.judged = []
    for wait in context.waits:
        context.patience.has_come_back("r", wait, NOW)
    for index in range(1000):
        now = NOW + index / 10
        judged = context.patience.has_come_back("r", rng.uniform(least, most), now)
        context.judged.append((now, judged))


@then("none counts as come back after {seconds:g} s")
def forgotten(context, seconds):
    late = [judged for now, judged in context.judged if now > NOW + seconds + 1]
    assert late and not any(late)


@when("any entry processes and engines of a region are dealt into cells")
def deal_cells(context):
    @for_all(st.integers(1, 60), st.integers(0, 60))
    def check(members, engines):
        names = [f"entry-{index}" for index in range(members)]
        addresses = [f"10.0.0.{index}:80" for index in range(engines)]
        cells = {name: cell_of(name, names, addresses) for name in names}
        assert all(name in cell.members for name, cell in cells.items())
        assert all(cells[other] == cell for cell in cells.values() for other in cell.members)
        preferred = [cell.backends for cell in set(cells.values())]
        if len(preferred) > 1:
            assert all(len(backends) >= LEAST_BACKENDS for backends in preferred)
            assert sum(map(len, preferred)) == len(addresses)
            assert frozenset().union(*preferred) == set(addresses)
        else:
            assert not preferred[0]

    context.check = check


@then("members of a cell agree, and each engine is preferred by one cell")
def cells_agree(context):
    context.check()


@when("one of the three finds that a backend is another one than it was")
def find_gone(context):
    sender = context.entries[0]
    sender.fleet.backends["e-0"].note_misdirected(NOW)
    sender.fleet.backends["e-0"].note_started(10)
    sender.send_loads(NOW)
    deliver(context)


@then("the other two pass it over as well")
def pass_over(context):
    held = [entries.fleet.backends["e-0"].loading_until > NOW for entries in context.entries]
    assert held == [True, True, True, False], held


@given("a backend whose successor registered at its address")
def successor(context):
    context.fleet = fleet_of(1)
    first = context.fleet.backends["e-0"].backend
    context.old = replace(first, born_unix_ms=1000)
    context.new = replace(first, identity="e-0-again", born_unix_ms=2000)
    context.fleet.put(context.old, NOW)
    context.fleet.put(context.new, NOW)


@when("its own registration is written once more, late")
def late_registration(context):
    context.fleet.put(replace(context.old, revision=9), NOW + 1)


@then("only the successor is used")
def only_successor(context):
    usable = context.fleet.usable("engines", NOW + 1)
    assert [view.backend.identity for view in usable] == ["e-0-again"]


WIRE_NAMES = (
    r"X-Attempt-Id|X-Deadline-Ms|X-Server-Signature|X-Tenant|X-Expect|X-Not-Executed|X-Weight-Versions"
    r"|X-Request-Priority|X-Token-Usage|X-Prompt-Prefix|X-Model|kv-(key|txn|watch|range|lease|keep)"
    r"|stage-(put|get)|op/config|op/version|servers/|path_prefix|max_attempts|chunk_hashes"
    r"|sample_count|model_name|switch_mode|inference_engine|target_latency_ms|\bapi_keys\b"
)


@when("the modules outside the platform folder are read")
def read_modules(context):
    root = Path(verbenaward.__file__).parent
    context.found = [
        (path.relative_to(root), match.group())
        for path in root.rglob("*.py")
        if path.relative_to(root).parts[0] != "platform"
        for match in re.finditer(WIRE_NAMES, path.read_text())
    ]


@then("none holds a header, path, key or field of the users' platform")
def no_names(context):
    own = {"X-Deadline-Ms"}  # a header of our own interface has the same name
    assert not [item for item in context.found if item[1] not in own], context.found


@when("any bytes and any JSON are decoded as registration, configuration and version")
def decode_anything(context):
    leaves = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
    names = st.sampled_from(
        ["service", "address", "zone", "slots", "state", "version", "routes", "services", "x"]
    )
    values = st.recursive(
        leaves,
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(names, inner),
        max_leaves=8,
    )
    anything = st.binary(max_size=40) | values.map(lambda value: json.dumps(value).encode())

    @for_all(anything)
    def check(value):
        entry = KeyValueEntry("servers/x", value, 7)
        for decode in (backend_of, configuration_of, named_version_of):
            result = decode(entry)
            assert isinstance(result, Success) or (
                isinstance(result, Failure) and isinstance(result.failure(), Fault)
            )

    context.check = check


@then("each is a record or a typed fault")
def typed(context):
    context.check()


@when("10000 keys are written and removed, one after the other")
def many_keys(context):
    view = ItemView()
    for index in range(10_000):
        key = f"key-{index}"
        written = KeyValueEntry(key, b"1", 2 * index + 2)
        removed = KeyValueEntry(key, b"", 2 * index + 3)
        view.take(Changes(removed.version, False, (written, removed)), 0.0)
    context.view = view


@then("at most {count:d} are remembered")
def remembered(context, count):
    assert len(context.view.items) <= count


@then("an old reading brings none of them back")
def none_back(context):
    old = (KeyValueEntry("key-1", b"1", 4), KeyValueEntry("key-9999", b"1", 20_000))
    context.view.take(Changes(20_000, True, old), 0.0)
    assert not any(entry.value for entry in context.view.items.values())


@when("an entry process is heard, falls silent and starts again with an older time")
def start_again(context):
    async def make():
        taker = entries_of("taker", "zone-a", 9100, NOW)
        before = entries_of("other", "zone-a", 9101, NOW)
        after = entries_of("other", "zone-a", 9101, NOW)
        after.incarnation = before.incarnation - 1_000_000
        source = ("127.0.0.1", 9101)
        first = encode(before.pulse(NOW))
        taker.take(first, source, NOW)
        taker.take(encode(after.pulse(NOW)), source, NOW + 0.1)
        context.too_early = taker.peers["127.0.0.1:9101"].pulse.incarnation
        taker.take(encode(after.pulse(NOW)), source, NOW + 1.0)
        context.replaced = taker.peers["127.0.0.1:9101"].pulse.incarnation
        context.before, context.after = before.incarnation, after.incarnation

    context.loop.run_until_complete(make())


@then("its new pulses count once the old ones have stopped")
def new_pulses(context):
    assert context.too_early == context.before
    assert context.replaced == context.after


@when("2000 lines are written to a pipe that nobody reads, and then it is read")
def full_pipe(context):
    reading, writing = os.pipe()
    writer = LineWriter(writing)
    started = time.monotonic()
    for _ in range(2000):
        writer.msg(json.dumps({"text": "x" * 200}))
    context.took = time.monotonic() - started
    context.lost = writer.lost
    os.read(reading, 1 << 20)
    writer.msg(json.dumps({"text": "after"}))
    context.after = json.loads(os.read(reading, 1 << 20).splitlines()[-1])
    os.close(reading)
    os.close(writing)


@then("writing took less than a second")
def quick(context):
    assert context.took < 1.0


@then("the next line says how many were lost")
def lost_lines(context):
    assert context.lost > 0 and context.after[DROPPED_KEY] == context.lost


@given("a version named 7 s ago that no engine holds yet")
def nearly_due(context):
    context.fleet = fleet_of(2)
    context.fleet.versions["model"] = [
        HeardVersion(SimpleNamespace(model="model", version=2), NOW - 7)
    ]


@given("one engine that is full and one that is idle")
def full_and_idle(context):
    context.full, context.idle = context.fleet.backends.values()
    for _ in range(18):
        context.full.note_started(100)


@when("requests are placed until both would be taken")
def place_both(context):
    placer = placer_of(context.fleet)
    context.first = placer.choose(request_of(), set(), NOW)
    context.second = placer.choose(request_of(), {context.idle.backend.identity}, NOW)


@then("the full engine is passed over while the idle one is taken")
def passed_over(context):
    assert context.first.view is context.idle
    assert context.second is None or context.second.view is context.idle

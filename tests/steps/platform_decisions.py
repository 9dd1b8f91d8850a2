"""Steps on decisions of entry processes, without a network."""

import asyncio
import json
import math
import os
import random
import time
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from tests.direct_fakes import ENGINE, NOW, fleet_of, placer_of, request_of
from verbenaward.data import HeldWeights
from verbenaward.direct import request_log
from verbenaward.direct.budget import SharedRetryBudget
from verbenaward.direct.request_log import LineRateLimit, RequestLog
from verbenaward.direct.sends import Send
from verbenaward.direct.stream_attempt import StreamAttempt
from verbenaward.logs import LOST_LINES_KEY, LineWriter
from verbenaward.metrics import sample_sum
from verbenaward.placement.backends import first_event_seconds
from verbenaward.placement.caller_retries import CallerRetryDetector
from verbenaward.placement.fleet import Fleet, LearnedVersion
from verbenaward.placement.placer import rank_of
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.replica.peer_transfer import changes_from_message, changes_to_message
from verbenaward.replica.store_replica import Changes, StoreReplica
from verbenaward.requests.refusals import not_run


@when("any number of entry processes retry as often as their budgets allow")
def retry_often(context):
    @for_all(
        st.integers(1, 24),
        st.lists(st.tuples(st.integers(0, 23), st.integers(0, 60)), max_size=120),
        st.integers(0, 10_000),
    )
    def check(entries, steps, seed):
        rng = random.Random(seed)
        budgets = [SharedRetryBudget(0.2, 100.0, 10.0) for _ in range(entries)]
        for budget in budgets:
            budget.update_entry_count(entries)
        now, requests, retries = 0.0, [], []
        for entry, wanted in steps:
            now += rng.random()
            budget = budgets[entry % entries]
            for _ in range(rng.randrange(5)):
                budget.record_request("s", now)
                requests.append(now)
            for _ in range(wanted):
                if budget.spend("s", now):
                    budget.record_read("s", now)
                    retries.append(now)
            in_window = sum(now - 10.0 < at for at in retries)
            allowed = 0.2 * sum(now - 10.0 < at for at in requests) + 100.0
            assert in_window <= allowed, (in_window, allowed)

    context.check = check


@when(
    "all of {count:d} entry processes retry whenever they may, and are killed three times in 10 s"
)
def killed_often(context, count):
    kills = st.lists(st.floats(10.0, 20.0), min_size=3, max_size=3).map(sorted)

    @settings(max_examples=20, deadline=None)
    @for_all(kills, st.integers(1, count), st.integers(0, 10_000))
    def check(killed_at, heard, seed):
        rng = random.Random(seed)
        requests, retries, left = [], [], list(killed_at)
        budgets = started(count, -100.0, count)
        for tick in range(60):
            now = tick / 2
            if left and now >= left[0]:
                budgets = started(count, left.pop(0), heard)
            for budget in budgets if now > budgets[0].started_at + 2.0 else ():
                budget.update_entry_count(count)
            for _ in range(185):
                budget = rng.choice(budgets)
                budget.record_request("s", now)
                requests.append(now)
            if now >= 6.0:
                for item in budgets:
                    while item.spend("s", now):
                        retries.append(now)
            in_window = sum(now - 10.0 < at for at in retries)
            allowed = 0.2 * sum(now - 10.0 < at for at in requests) + 256.0
            assert now < 10.0 or in_window <= allowed, (now, in_window, allowed)

    context.check = check


def started(count, at, heard):
    """Return the budgets of processes that start together and at first know some of each other."""
    budgets = [SharedRetryBudget(0.2, 256.0, 10.0) for _ in range(count)]
    for budget in budgets:
        budget.started_at = at
        budget.update_entry_count(heard)
    return budgets


@then("no window has more retries than the shared budget allows")
def budget_kept(context):
    context.check()


@when("a burst of {count:d} requests is placed on engines of different speed")
def burst(context, count):
    context.fleet = fleet_of(10)
    for index, view in enumerate(context.fleet.backends.values()):
        view.slowness = 1.0 + 0.1 * index
    placer = placer_of(context.fleet)
    for _ in range(count):
        placer.choose(request_of(), set(), NOW).view.record_started(900)


@then("no engine's expected time to the next first event is twice that of another")
def evenly_placed(context):
    expected = [
        first_event_seconds(view, ENGINE, 900, NOW) for view in context.fleet.backends.values()
    ]
    assert max(expected) < 2 * min(expected), expected


@given("engines that are all full")
def full(context):
    context.fleet = fleet_of(3)
    for view in context.fleet.backends.values():
        for _ in range(24):
            view.record_started(900)


@given("a target version set 9 s ago and a newer one set 2 s ago")
def two_versions(context):
    context.fleet = fleet_of(3)
    context.fleet.versions["model"] = [
        LearnedVersion(SimpleNamespace(model="model", version=2), NOW - 9, NOW - 9),
        LearnedVersion(SimpleNamespace(model="model", version=3), NOW - 2, NOW - 2),
    ]


@given("engines that hold an older version than both")
def old_engines(context):
    assert all(view.held_version("model") == 1 for view in context.fleet.backends.values())


@given("a process that finds a target version in the store at its start")
def found_version(context):
    replica = StoreReplica()
    context.fleet = Fleet(replica, NOW)
    value = json.dumps({"model_name": "model", "version": 2}).encode()
    replica.apply(Changes(7, True, (KeyValueEntry("op/version/model", value, 5),)), NOW)


@given("a process that finds a target version in the store {delay:g} s after its start")
def found_version_late(context, delay):
    replica = StoreReplica()
    context.fleet = Fleet(replica, NOW)
    value = json.dumps({"model_name": "model", "version": 2}).encode()
    entry = KeyValueEntry("op/version/model", value, 5)
    replica.apply(Changes(7, True, (entry,)), NOW + delay)


@then("requests require the version {seconds:g} s after its start")
def needed_after_start(context, seconds):
    needed = [
        context.fleet.required_version("model", 60.0, NOW + seconds + after)
        for after in (-0.01, 0.01)
    ]
    assert needed == [0, 2], needed


@when("an engine request of a route without a target is ranked")
def rank_without_target(context):
    request = request_of()
    request = replace(request, route=replace(request.route, target_seconds=0.0))
    placer = placer_of(fleet_of(1))
    context.rank = rank_of(request, placer.is_late(request, NOW + 0.01))


@then("it has the default rank")
def default_rank(context):
    assert context.rank is None, context.rank


@when("requests arrive under a bound of {bound:g} s")
def under_bound(context, bound):
    context.needed = [
        context.fleet.required_version("model", bound, NOW + after) for after in (0.0, 3.0)
    ]


@then("they require the version after 3 s")
def needed_soon(context):
    assert context.needed == [0, 2], context.needed


@given("a process that last heard of the store {seconds:g} s ago")
def process_out_of_date(context, seconds):
    process_that_starts(context)
    context.replica.apply(Changes(5, True, (), NOW - seconds), NOW - seconds)


@given("a process that has just started")
def process_that_starts(context):
    context.replica = StoreReplica()
    context.fleet = Fleet(context.replica, NOW)


@given("a peer that knows of a target version set 9 s ago and of a newer one set 2 s ago")
def peer_with_both(context):
    peer_with_versions(context, NOW - 9, ((6, 2, NOW - 2), (7, 3, NOW)))


@given("a peer that knows of target versions 2 and 4 set 0.3 s apart")
def peer_with_close_versions(context):
    peer_with_versions(context, NOW - 0.6, ((6, 2, NOW - 0.3), (7, 4, NOW)))


def peer_with_versions(context, complete_at, versions):
    context.peer = StoreReplica()
    context.peer.apply(Changes(5, True, (), complete_at), complete_at)
    for revision, version, current_at in versions:
        value = json.dumps({"model_name": "model", "version": version}).encode()
        entry = KeyValueEntry("op/version/model", value, revision)
        context.peer.apply(Changes(revision, False, (entry,), current_at), current_at)


@when("the peer tells it of its changes")
def peer_tells(context):
    message = changes_to_message(context.peer.changes_after(context.replica.position), NOW, NOW)
    context.replica.apply(changes_from_message(message, NOW), NOW)


@then("version {version:d} is required {seconds:g} s later under a bound of {bound:g} s")
def version_required(context, version, seconds, bound):
    required = context.fleet.required_version("model", bound, NOW + seconds)
    assert required == version, required


@when("the version that a request requires is determined")
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


@then("it is refused with a retry delay")
def refused(context):
    assert context.refusal is not None
    assert context.refusal.status == 503 and context.refusal.retry_after_seconds > 0


@when("{count:d} lines are logged within a second")
def lines(context, count):
    budget = LineRateLimit(60.0, refilled_at=NOW - 1.0)
    context.written = sum(budget.acquire(NOW + index / count / 10) for index in range(count))
    context.budget, context.wanted = budget, count


@then("at most {count:d} are written")
def at_most(context, count):
    assert 0 < context.written <= count


@then("the next line says how many were dropped")
def dropped(context):
    assert context.budget.dropped == context.wanted - context.written


@when("a request with an id of {count:d} characters is turned away")
def turn_away(context, count):
    context.line = {}

    def record(event, **values):
        context.line.update(values)

    with mock.patch.object(request_log.LOG, "info", record):
        RequestLog().refused_early("a" * count, not_run(404, "no-route", "no route"))


@then("the line has {count:d} of them")
def shortened(context, count):
    assert context.line["request"] == "a" * count, context.line


@given("one engine that loads other weights in {seconds:g} s and one with more load")
def about_to_load(context, seconds):
    context.fleet = fleet_of(2)
    context.loading, context.other = context.fleet.backends.values()
    context.fleet.record_loading(context.loading.backend.address, seconds, NOW)
    context.other.loading_starts_at = 0.0
    for _ in range(3):
        context.other.record_started(0)


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


@given("callers that wait between {least:g} s and {most:g} s for an answer")
def callers_with_deadlines(context, least, most):
    rng = random.Random(1)
    context.caller_retries = CallerRetryDetector()
    context.remaining = [most] + [rng.uniform(least, most) for _ in range(200)]


@when("each sends a request, and retries it {seconds:g} s later")
def send_and_retry(context, seconds):
    is_retry = context.caller_retries.is_retry
    context.first = [is_retry("r", remaining, NOW) for remaining in context.remaining]
    context.second = [
        is_retry("r", remaining - seconds, NOW + seconds) for remaining in context.remaining
    ]


@when("they wait between {least:g} s and {most:g} s from then on")
def change_remaining(context, least, most):
    rng = random.Random(2)
    context.classified = []
    for remaining in context.remaining:
        context.caller_retries.is_retry("r", remaining, NOW)
    for index in range(1000):
        now = NOW + index / 10
        is_retry = context.caller_retries.is_retry("r", rng.uniform(least, most), now)
        context.classified.append((now, is_retry))


@then("none counts as a retry after {seconds:g} s")
def window_expired(context, seconds):
    late = [is_retry for now, is_retry in context.classified if now > NOW + seconds + 1]
    assert late and not any(late)


@given("a backend whose successor registered at its address")
def successor(context):
    context.fleet = fleet_of(1)
    first = context.fleet.backends["e-0"].backend
    context.old = replace(first, born_unix_ms=1000)
    context.new = replace(first, identity="e-0-again", born_unix_ms=2000)
    context.fleet.put(context.old, NOW)
    context.fleet.put(context.new, NOW)


@when("its own registration is written again afterwards")
def late_registration(context):
    context.fleet.put(replace(context.old, revision=9), NOW + 1)


@then("only the successor is used")
def only_successor(context):
    usable = context.fleet.usable("engines", NOW + 1)
    assert [view.backend.identity for view in usable] == ["e-0-again"]


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
    assert context.lost > 0 and context.after[LOST_LINES_KEY] == context.lost


@given("a target version set 7 s ago that no engine holds yet")
def nearly_due(context):
    context.fleet = fleet_of(2)
    context.fleet.versions["model"] = [
        LearnedVersion(SimpleNamespace(model="model", version=2), NOW - 7, NOW - 7)
    ]


@given("one engine that is full and one that is idle")
def full_and_idle(context):
    context.full, context.idle = context.fleet.backends.values()
    for _ in range(18):
        context.full.record_started(100)


@when("a request is placed, and again with the idle engine already tried")
def place_both(context):
    placer = placer_of(context.fleet)
    context.first = placer.choose(request_of(), set(), NOW)
    context.second = placer.choose(request_of(), {context.idle.backend.identity}, NOW)


@then("the full engine is not chosen, the idle one is")
def idle_chosen(context):
    assert context.first.view is context.idle
    assert context.second is None or context.second.view is context.idle


@given("a backend on whose weights nothing may start from {seconds:g} s on")
def soon_too_old(context, seconds):
    context.fleet = fleet_of(1)
    heard = NOW + seconds - 8.0
    context.fleet.versions["model"] = [
        LearnedVersion(SimpleNamespace(model="model", version=2), heard, heard)
    ]


@when("a request is sent there, the backend loads version 2, and the bound becomes {bound:g} s")
def bound_changes(context, bound):
    send_in_time(context, bound)


@then("the send is cancelled between {least:g} and {most:g} s later")
def cancelled_between(context, least, most):
    wait = math.inf if context.wait is None else context.wait
    assert least <= wait <= most, wait


@when("a request that is expected to start in time is sent there")
def send_in_time(context, bound=None):
    placer = placer_of(context.fleet)
    forwarder = SimpleNamespace(placer=placer, load_changed=lambda: None)
    send = Send(placer.choose(request_of(), set(), NOW), NOW)

    async def start():
        attempt = StreamAttempt(forwarder, send, request_of())
        async with asyncio.timeout(None) as attempt.limit:
            attempt.limit_start(NOW)
            if bound is not None:
                send.choice.view.record_loaded(HeldWeights("model", 2), NOW)
                placer.version_seconds = bound
                attempt.limit_start(NOW)
            when = attempt.limit.when()
            context.wait = None if when is None else when - asyncio.get_running_loop().time()
            await asyncio.sleep(0)

    context.loop.run_until_complete(start())


@then("the send is cancelled before, though it may not be retried")
def cancelled_before(context):
    assert context.wait is not None and 0 < context.wait < 2.0, context.wait


@then("the wait for its first event has no timeout")
def no_timeout(context):
    assert context.wait is None


@given("two backends, one of which has delayed a first event for {seconds:g} s")
def delayed_event(context, seconds):
    context.fleet = fleet_of(2)
    context.delayed, context.other = context.fleet.backends.values()
    context.delayed.awaiting_first_event[1] = NOW - seconds
    context.other.record_started(2000)


@then("it goes to the backend without a delay")
def to_the_other(context):
    assert placer_of(context.fleet).choose(request_of(), set(), NOW).view is context.other


@when("first events come from versions 1, 2 and 3")
def first_events(context):
    context.logged = []
    log = SimpleNamespace(
        late_start=lambda request, view, version, required: context.logged.append(version)
    )
    placer = placer_of(context.fleet)
    forwarder = SimpleNamespace(placer=placer, log=log, load_changed=lambda: None)
    choice = placer.candidates(request_of(), NOW - 60)[0]
    context.counted = sample_sum("verbenaward_late_starts_total")
    for version in (1, 2, 3):
        StreamAttempt(forwarder, Send(choice, NOW), request_of()).report_late_start(version, NOW)
    context.counted = sample_sum("verbenaward_late_starts_total") - context.counted


@then("only that of version 1 is logged and counted")
def only_too_old(context):
    assert context.logged == [1] and context.counted == 1, (context.logged, context.counted)

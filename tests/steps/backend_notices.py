"""Steps on what backends say of themselves in their answers: that they leave, or want a pause."""

import asyncio
import contextlib
import dataclasses
import json
import random

import aiohttp
from behave import given, then, when

from standins.platform import send_request
from tests.direct_fakes import NOW, exchange_of, fleet_of, placer_of, request_of
from tests.steps.platform_running import call, engines, plain, run, until
from verbenaward import clock
from verbenaward.placement.backend_notices import pause_end
from verbenaward.platform.names import BACKEND_PREFIX
from verbenaward.platform.request_headers import BackendNotice
from verbenaward.wire.codec import encode

PATHS = {"plain": "/look", "engine": "/stream"}


def choose_backend(context, kind, mode):
    context.kind = kind
    context.bad = (plain(context) if kind == "plain" else engines(context))[0]
    context.bad.mode = mode


@given('one {kind} of backend is "{mode}" and says that it leaves')
def one_leaving(context, kind, mode):
    choose_backend(context, kind, mode)
    context.bad.says_leaving = True


@given('one {kind} of backend is "{mode}" and asks for {seconds:g} s')
def one_pausing(context, kind, mode, seconds):
    choose_backend(context, kind, mode)
    context.bad.pause_seconds = seconds


def send(context, number):
    return call(context, f"{PATHS[context.kind]}/{number}", f"a-{number}")


@when("callers send requests until it has answered")
def send_until_answered(context):
    for index in range(60):
        send(context, index)
        if context.bad.arrivals:
            break
    assert context.bad.arrivals
    context.arrivals = len(context.bad.arrivals)


@when("all others of its kind are full from then on")
def others_full(context):
    for backend in plain(context) if context.kind == "plain" else engines(context):
        if backend is not context.bad:
            backend.mode = "full"


@when("callers send {count:d} more requests")
def send_more(context, count):
    for index in range(count):
        send(context, 100 + index)


@when("its registration ends and is written again")
def register_again(context):
    platform, backend = context.platform, context.bad
    fleet = platform.entries[0].fleet
    key = BACKEND_PREFIX + backend.identity
    value = backend.registration()
    platform.store.remove(key)
    assert run(context, until(lambda: backend.identity not in fleet.backends))
    platform.store.put(key, value)
    assert run(context, until(lambda: backend.identity in fleet.backends))


@when("callers with a deadline of {deadline:g} s send {count:d} requests one after the other")
def send_with_deadline(context, deadline, count):
    headers = {"X-Deadline-Ms": f"{deadline * 1000:g}"}
    for index in range(count):
        call(context, f"{PATHS[context.kind]}/{index}", f"a-{index}", headers)


@when("{count:d} callers with a deadline of {deadline:g} s leave {early:g} s before, {turn}")
def callers_leave(context, count, deadline, early, turn):
    async def leave(index):
        address = context.platform.entries[0].direct.front
        headers = {"X-Deadline-Ms": f"{deadline * 1000:g}"}
        async with aiohttp.ClientSession() as session:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(deadline - early):
                    path = f"{PATHS[context.kind]}/{index}"
                    await send_request(session, address, path, f"a-{index}", headers)

    for index in range(count):
        run(context, leave(index))


@then("it has got at most {count:d} requests")
def at_most(context, count):
    assert 0 < len(context.bad.arrivals) <= count, len(context.bad.arrivals)


@when("its registration is rewritten without a start time")
def register_without_start(context):
    backend, fleet = context.bad, context.platform.entries[0].fleet
    value = json.loads(backend.registration())
    del value["born"]
    revision = fleet.backends[backend.identity].backend.revision
    context.platform.store.put(BACKEND_PREFIX + backend.identity, json.dumps(value).encode())
    views = fleet.backends
    assert run(context, until(lambda: views[backend.identity].backend.revision > revision))


@when("a new incarnation registers under its id")
def new_incarnation(context):
    backend, fleet = context.bad, context.platform.entries[0].fleet
    backend.says_leaving = False
    backend.born_unix_ms += 1
    context.platform.store.put(BACKEND_PREFIX + backend.identity, backend.registration())
    born = backend.born_unix_ms
    views = fleet.backends
    assert run(
        context,
        until(
            lambda: (
                backend.identity in views and views[backend.identity].backend.born_unix_ms == born
            )
        ),
    )


@then("it has got no request after that answer")
def no_more(context):
    assert len(context.bad.arrivals) == context.arrivals, (
        len(context.bad.arrivals),
        context.arrivals,
    )


@then("it has got requests after that answer")
def some_more(context):
    assert len(context.bad.arrivals) > context.arrivals


@then("it gets requests again after the pause")
def used_again(context):
    context.bad.mode = "ok"
    run(context, asyncio.sleep(1.5 * context.bad.pause_seconds))
    send_more(context, 20)
    some_more(context)


@given("all plain backends ask for a pause of {seconds:g} s and have been asked")
def all_pausing(context, seconds):
    for backend in plain(context):
        backend.mode = "pausing"
        backend.pause_seconds = seconds
    context.kind = "plain"
    for index in range(20):
        send(context, index)
    assert all(len(backend.arrivals) == 1 for backend in plain(context))


@then("it is refused at once with a retry delay of at least {seconds:g} s")
def refused_until_pause_ends(context, seconds):
    started = clock.now()
    status, headers, _ = call(context, "/look/x")
    assert clock.now() - started < 1.0
    assert status == 503 and headers["X-Verdict"] == "not-run", (status, headers)
    # Earlier requests took a moment.
    assert float(headers["Retry-After"]) >= seconds, headers["Retry-After"]
    assert all(len(backend.arrivals) == 1 for backend in plain(context))


@given("an engine that has asked an entry process for a pause of {seconds:g} s")
def paused_engine(context, seconds):
    context.fleet = fleet_of(2)
    context.seconds = seconds
    context.paused = next(iter(context.fleet.backends.values()))
    context.fleet.record_notice(context.paused, BackendNotice(False, seconds), NOW, NOW, 0.0)


@when("another request of the process succeeds there")
def success_there(context):
    context.paused.record_success(NOW)


@when("a shorter pause is asked for")
def shorter_pause(context):
    context.fleet.record_notice(context.paused, BackendNotice(False, 0.1), NOW, NOW, 0.0)


@then("the engine gets no request until the end of the pause")
def none_until_end(context):
    placer = placer_of(context.fleet)
    for after in (0.0, 0.5 * context.seconds, 0.99 * context.seconds):
        for _ in range(30):
            choice = placer.choose(request_of(), set(), NOW + after)
            assert choice is not None and choice.view is not context.paused
    context.fleet.remove("e-1")
    assert placer.choose(request_of(), set(), NOW + 0.99 * context.seconds) is None
    assert placer.choose(request_of(), set(), NOW + 1.01 * context.seconds) is not None


@when("{count:d} entry processes are asked for a pause of {seconds:g} s at the same moment")
def many_pauses(context, count, seconds):
    rng = random.Random(7)
    context.asked_until = NOW + seconds
    context.ends = sorted(pause_end(NOW, seconds, rng.random()) for _ in range(count))


@then("no process returns before the pause ends")
def none_early(context):
    assert context.ends[0] >= context.asked_until


@then("at most {share:d} in 100 of them return in any tenth of a second")
def spread_ends(context, share):
    most = max(sum(start <= end < start + 0.1 for end in context.ends) for start in context.ends)
    assert most <= share * len(context.ends) / 100, most


@given("two entry processes that know the same backends")
def two_with_backends(context):
    async def make():
        context.entries = [exchange_of(f"entry-{i}", "zone-a", 9400 + i, NOW) for i in range(2)]
        for entry in context.entries:
            for view in fleet_of(2).backends.values():
                entry.fleet.put(view.backend, NOW)

    context.loop.run_until_complete(make())


@when("a backend says to one of them that it leaves, and that one broadcasts")
def leaving_told(context):
    first, second = context.entries
    first.fleet.record_notice(first.fleet.backends["e-0"], BackendNotice(True, 0.0), NOW, NOW, 0.0)
    second.receive(encode(first.full_broadcast(NOW)), ("127.0.0.1", 9400), NOW)


@then("the other does not use that backend either")
def not_used_by_peer(context):
    used = context.entries[1].fleet.usable("engines", NOW)
    assert [view.backend.identity for view in used] == ["e-1"], used


@then("it uses a new incarnation of it")
def peer_uses_new(context):
    fleet = context.entries[1].fleet
    old = fleet.backends["e-0"].backend
    fleet.put(dataclasses.replace(old, born_unix_ms=old.born_unix_ms + 1), NOW)
    context.entries[1].receive(
        encode(context.entries[0].full_broadcast(NOW + 1)), ("127.0.0.1", 9400), NOW + 1
    )
    assert len(fleet.usable("engines", NOW + 1)) == 2

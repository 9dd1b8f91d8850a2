"""Steps on the evacuation of an availability zone, on the stand-in of the users' platform."""

import asyncio
import itertools

import aiohttp
from behave import given, then, when

from standins.platform import send_request
from standins.platform_backend import STREAM_EVENTS
from tests.steps.platform_running import call, engines, plain, run, until
from verbenaward import clock
from verbenaward.platform.names import EVACUATION_PREFIX

KEY = EVACUATION_PREFIX + "zone-a"


def backends_in_zone_a(context):
    return [item for item in (*plain(context), *engines(context)) if item.zone == "zone-a"]


def all_know(context, is_evacuated):
    roles = context.platform.entries
    return all(role.fleet.evacuations.is_evacuated("zone-a") == is_evacuated for role in roles)


@given("the engine in zone-a is slow and runs a stream of each process")
def running_streams(context):
    (engine,) = (item for item in engines(context) if item.zone == "zone-a")
    (other,) = (item for item in engines(context) if item is not engine)
    engine.mode, other.mode = "slow", "full"
    context.streams = []

    async def send(address, attempt):
        async with aiohttp.ClientSession() as session:
            return await send_request(session, address, "/stream/long", attempt)

    async def begin():
        for role in context.platform.entries:
            task = send(role.direct.front, f"long-{role.settings.vm}")
            context.streams.append(asyncio.create_task(task))
        assert await until(lambda: len(engine.arrivals) >= len(context.streams))
        other.mode = "ok"

    run(context, begin())


@when("the operator evacuates zone-a")
def evacuate(context):
    context.platform.store.put(KEY, b"{}")
    context.evacuated_at = clock.now()
    if all(role.follower.reachable for role in context.platform.entries):
        assert run(context, until(lambda: all_know(context, True), 1.0))


@when("the operator ends the evacuation of zone-a")
def end_evacuation(context):
    context.platform.store.remove(KEY)


@when("the store goes down for {seconds:g} s")
def store_down(context, seconds):
    context.platform.store.mode = "down"
    run(context, asyncio.sleep(seconds))
    context.platform.store.mode = "ok"


@then("after {delay:g} s no process sends anything to zone-a for {seconds:g} s")
def nothing_sent(context, delay, seconds):
    run(context, asyncio.sleep(max(0.0, context.evacuated_at + delay - clock.now())))
    before = [len(item.arrivals) for item in backends_in_zone_a(context)]
    until_time = clock.now() + seconds
    numbers = itertools.count()
    served = 0
    while clock.now() < until_time:
        for entry in range(len(context.platform.entries)):
            number = next(numbers)
            call(context, f"/look/{number}", f"l-{number}", entry=entry)
            served += call(context, f"/stream/{number}", f"s-{number}", entry=entry)[0] == 200
    after = [len(item.arrivals) for item in backends_in_zone_a(context)]
    assert after == before and served, (before, after, served)


@then('both refuse look-ups at once for "{reason}"')
def both_refuse(context, reason):
    for entry in range(len(context.platform.entries)):
        started = clock.now()
        status, headers, _ = call(context, "/look/refused", entry=entry)
        # A wait for a backend would take an eighth of the target, 62 ms.
        assert clock.now() - started < 0.05, clock.now() - started
        assert (status, headers.get("X-Reason")) == (503, reason), (status, headers)


@then("the running streams are whole")
def streams_whole(context):
    for task in context.streams:
        status, _, body = run(context, task)
        assert status == 200 and body.count(b"id:") == STREAM_EVENTS, (status, body)


@then("look-ups are answered at both processes within {seconds:g} s")
def answered_again(context, seconds):
    assert run(context, until(lambda: all_know(context, False), seconds))
    for entry in range(len(context.platform.entries)):
        assert call(context, "/look/again", f"again-{entry}", entry=entry)[0] == 200

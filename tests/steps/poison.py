"""Steps on requests that crash the backends that run them."""

import asyncio

import aiohttp
from behave import given, then, when

from standins.platform import send_request
from standins.platform_backend import STREAM_EVENTS
from tests.steps.platform_running import call, engines, plain, run, until


@when("a caller books something by {method}")
def book_by(context, method):
    async def send():
        async with aiohttp.ClientSession() as session:
            address = context.platform.entries[0].direct.front
            return await send_request(
                session, address, "/book/bed", "booking", body=b"bed 7", method=method
            )

    context.answer = run(context, send())


@when("the same look-up is sent again and again, each time to running backends")
def look_again_when_running(context):
    for index in range(6):
        call(context, "/look/poison", f"a-{index}")
        assert run(context, until(lambda: all(item.site for item in plain(context))))
        # A backend that could not be reached is avoided for a second.
        run(context, asyncio.sleep(1.1))


@then("{count:d} backends crashed")
def crashed(context, count):
    crashes = sum(item.crashes for item in plain(context))
    assert crashes == count, crashes


@when("one of the others starts anew {seconds:g} s later")
def start_anew(context, seconds):
    simulation = context.simulation
    simulation.run_until(simulation.now + seconds)

    async def restart():
        simulation.restart(5)

    run(context, restart())


@when("these two lose a backend with {count:d} other requests in the same moment")
def lose_backend(context, count):
    for index in (0, 1):
        crashes = context.simulation.entries[index].exchange.crashes
        for number in range(count):
            fingerprint = f"other-{index}-{number}".encode()
            now = context.simulation.now
            crashes.record_crash(fingerprint, 100 + index, now - 0.1, now)


@when("two of them lose the same backend, each with two runs of the same request")
def lose_shared_backend(context):
    context.simulation = context.simulate()
    context.simulation.run_until(4.0)
    for index in (0, 1):
        crashes = context.simulation.entries[index].exchange.crashes
        for _ in range(2):
            now = context.simulation.now
            crashes.record_crash(b"request", 1, now - 0.1, now)
            context.simulation.run_until(now + 0.01)


@then("none of them refuses it {seconds:g} s later")
def none_refuses(context, seconds):
    simulation = context.simulation
    simulation.run_until(simulation.now + seconds)
    assert len(admitting(simulation)) == len(simulation.entries)


def admitting(simulation):
    return [
        entry
        for entry in simulation.entries
        if entry.exchange.crashes.admits(b"request", simulation.now)
    ]


@when("two of them lose different backends in the same moment, each with that request")
def lose_two_backends(context):
    context.simulation = context.simulate()
    context.simulation.run_until(4.0)
    for index in (0, 1):
        crashes = context.simulation.entries[index].exchange.crashes
        crashes.record_crash(b"request", index, 3.9, 4.0)


@then("{seconds:g} s later one of them sends it, one at a time, and the others refuse it")
def one_sends(context, seconds):
    simulation = context.simulation
    simulation.run_until(simulation.now + seconds)
    (entry,) = admitting(simulation)
    context.tries = entry.exchange.crashes
    with context.tries.counted_run(b"request"):
        assert not admitting(simulation)


@then("all send it {seconds:g} s after it was answered there")
def all_send(context, seconds):
    simulation = context.simulation
    context.tries.record_answered(b"request", simulation.now)
    simulation.run_until(simulation.now + seconds)
    assert len(admitting(simulation)) == len(simulation.entries)


@then("all refuse it {seconds:g} s after it crashed a backend there")
def all_refuse_again(context, seconds):
    simulation = context.simulation
    sent_at = simulation.now
    simulation.run_until(sent_at + 0.1)
    context.tries.record_crash(b"request", 2, sent_at, simulation.now)
    simulation.run_until(simulation.now + seconds)
    assert not admitting(simulation)


@given('engines that crash as they begin to answer on the part "{part}"')
def crashing_part(context, part):
    for engine in engines(context):
        engine.crashing_part = part


def open_stream(context, parts, number):
    prefix = ",".join(f"{part}:100" for part in (*parts, f"own{number}"))
    headers = {"X-Prompt-Prefix-Hash": prefix}
    body = f"prompt {number}".encode()
    return call(context, "/stream/x", f"{parts}-{number}", headers=headers, body=body)


@when('callers open {count:d} streams on the parts "{one}" and "{two}", each to running engines')
def open_bad_streams(context, count, one, two):
    for number in range(count):
        open_stream(context, (one, two), number)
        assert run(context, until(lambda: all(item.site for item in engines(context))))
        # An engine that could not be reached is avoided for a second and a half.
        run(context, asyncio.sleep(0.2))


@then("at most {count:d} engines crashed")
def engines_crashed(context, count):
    crashes = sum(item.crashes for item in engines(context))
    assert 0 < crashes <= count, crashes


@then('callers that open {count:d} streams on the parts "{one}" and "{two}" get all events')
def sound_streams(context, count, one, two):
    for number in range(count):
        status, _, body = open_stream(context, (one, two), number)
        assert (status, body.count(b"data:")) == (200, STREAM_EVENTS), (number, status, body)

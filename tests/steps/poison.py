"""Steps on requests that crash the backends that run them."""

import asyncio

import aiohttp
from behave import given, then, when

from standins.platform import send_request
from standins.platform_backend import STREAM_EVENTS
from tests.simulated_crashes import SimulatedCrashes
from tests.steps.platform_running import call, engines, plain, run, until
from verbenaward.direct.crash_evidence import PART_RULE, BackendCrash, CrashRecord


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


@given("it has run for {seconds:g} s")
def has_run(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("the same look-up is sent {count:d} times, and then the backends answer again")
def look_at_resets(context, count):
    answers = []
    for index in range(count):
        answers.append(call(context, "/look/sound", f"a-{index}")[0])
        # A backend whose answer broke is avoided for a moment.
        run(context, asyncio.sleep(0.2))
    assert answers[-1] == 503, answers
    for backend in plain(context):
        backend.mode = "ok"


@when("other look-ups are answered for {seconds:g} s")
def look_elsewhere(context, seconds):
    for index in range(int(seconds / 0.2)):
        call(context, f"/look/other-{index}", f"b-{index}")
        run(context, asyncio.sleep(0.2))


@when("nothing else is sent for {seconds:g} s")
def wait_only(context, seconds):
    run(context, asyncio.sleep(seconds))


@then("the same look-up is answered")
def look_answered(context):
    status, headers, _ = call(context, "/look/sound", "a-last")
    assert status == 200, (status, headers)


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
        if entry.exchange.crashes.admits((b"request",), simulation.now)
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
    context.tries.record_answered(b"request", simulation.now, simulation.now)
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


SEEDS = 3
"""Random histories of each example, unless `-D seeds=N -D first_seed=N` says otherwise."""


@given("{entries:d} entry processes and {count:d} engines with sound streams on {kind} parts")
def herd(context, entries, count, kind):
    userdata = context.config.userdata
    first = int(userdata.get("first_seed", 0))
    seeds = range(first, first + int(userdata.get("seeds", SEEDS)))

    async def make():
        return [SimulatedCrashes(seed, count, entries) for seed in seeds]

    def sound_parts(rng):
        first = "first" if kind == "shared" else f"first-{rng.randrange(4)}"
        return (first, f"other-{rng.randrange(12)}")

    context.histories = run(context, make())
    for history in context.histories:
        history.arrivals(25.0, 24.0, sound_parts)


def play(context, bad_until=0.0):
    for history in context.histories:
        if bad_until:
            # Requests that come from the time on; the first part is shared with sound ones.
            history.network.after(
                5.0,
                lambda history=history: history.arrivals(
                    6.0, bad_until, lambda _: ("first", "bad")
                ),
            )
        history.network.run_until(24.0)


@when("streams with a bad part come from 5 to {until:g} s, and nothing else happens")
def bad_alone(context, until):
    play(context, until)


@when("streams with a bad part come from 5 to {until:g} s, and before that with it while sound")
def bad_after_sound(context, until):
    for history in context.histories:
        history.turns_bad_at = 5.0
        history.arrivals(6.0, 5.0, lambda _: ("first", "bad"))
    play(context, until)


@when("streams with a bad part come from 5 to {until:g} s, and engines are killed as well")
def bad_and_kills(context, until):
    for history in context.histories:
        for _ in range(3):
            history.kill(history.rng.uniform(1, 20), history.rng.choice((0.15, 0.5, 1.0)))
    play(context, until)


@when("engines are killed one by one, in a herd, and all at once")
def kills_alone(context):
    for history in context.histories:
        for at in (3.0, 4.0, 5.0, 6.0):
            history.kill(at, 0.2)
        history.kill(12.0, 0.7)
        history.kill(14.0, 0.7)
        history.kill(19.0, 1.0)
    play(context)


@then("at most {count:d} of them are sent later than {seconds:g} s after the fifth crash")
def few_sends(context, count, seconds):
    for history in context.histories:
        fifth = (*history.bad_crashes, *[1e9] * 5)[4]
        late = [at for at in history.bad_sends if at > fifth + seconds]
        assert len(late) <= count, (fifth, late, history.bad_crashes)


@then("from {seconds:g} s after it, sound streams are sent at least half as often as they come")
def sound_half(context, seconds):
    for history in context.histories:
        since = (*history.bad_crashes, *[1e9] * 5)[4]
        since = min(since, max(history.bad_crashes)) + seconds
        outcomes = [sent for at, sent in history.sound if at > since]
        assert outcomes and 2 * sum(outcomes) >= len(outcomes), (since, len(outcomes))


@then("all sound streams are sent from {seconds:g} s after a kill on")
def all_sound(context, seconds):
    for history in context.histories:
        refused = [
            at
            for at, sent in history.sound
            if not sent and all(not 0 <= at - kill < seconds for kill in history.kills)
        ]
        assert not refused, (refused, history.kills)


@given("a part of prompts that was {history}")
def part_record(context, history):
    context.record = CrashRecord(PART_RULE, answered_at=5.0 if history == "answered" else 0.0)


@when("{crashes:d} engines crash with it in {rounds:d} rounds")
def crash_in_rounds(context, crashes, rounds):
    for number in range(crashes):
        at = 10.0 + min(number, rounds - 1)
        assert context.record.add(BackendCrash(number, at, at - 0.3))
    context.last_at = 10.0 + rounds - 1


@then('it is "{soon}" 1 s later, "{later}" 31 s later and "{late}" 130 s later')
def states(context, soon, later, late):
    states = [context.record.state((), context.last_at + after) for after in (1, 31, 130)]
    assert states == [soon, later, late], states

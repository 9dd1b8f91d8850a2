"""Steps on backends that are silent for a moment."""

import asyncio
import dataclasses
import gc
import time
import weakref

import aiohttp
from aiohttp import web
from behave import given, then, when

from standins.platform import send_request
from standins.platform_backend import STREAM_EVENTS
from tests.direct_fakes import NOW, fleet_of, placer_of, request_of
from tests.steps.platform_running import engines, plain, run, until
from verbenaward import clock
from verbenaward.direct.attempts import Attempts
from verbenaward.direct.request_log import RequestLog
from verbenaward.direct.sends import Progress, Send
from verbenaward.placement.backends import UNREACHABLE_BACKOFF_SECONDS
from verbenaward.placement.placer import Choice
from verbenaward.placement.request_types import WholeAnswer

EVENTS = 60
SILENCE_AFTER_SECONDS = 0.15
"""Time after the first event from which the backends are silent."""


@given("one retry is left in the budget")
def one_retry(context):
    budget = context.platform.entries[0].budget
    budget.ratio, budget.extra = 0.0, 0.0
    assert budget.remaining("engines", 0.0) <= 0
    budget.remaining = lambda service, now: 1.0 - budget.window_of(service).sent_retries(now, 10.0)


@given("no retry is left in the budget for {seconds:g} s from the break on")
def no_retry(context, seconds):
    budget = context.platform.entries[0].budget
    remaining, breaks = budget.remaining, []

    def remaining_after_break(service, now):
        breaks.append(now)
        return remaining(service, now) if now >= breaks[0] + seconds else 0.0

    budget.remaining = remaining_after_break


@given("the other engine answers only after {seconds:g} s")
def other_is_late(context, seconds):
    context.other_seconds = seconds


async def open_streams(context, count, silence, events=EVENTS):
    """Open streams, start a silence once all have begun, and return the answers."""
    for engine in engines(context):
        engine.stream_events = events
    async with aiohttp.ClientSession() as session:
        front = context.platform.entries[0].direct.front
        started = time.monotonic()
        tasks = [
            asyncio.create_task(send_request(session, front, f"/stream/{n}", f"s-{n}"))
            for n in range(count)
        ]
        assert await until(lambda: sum(item.sent_events for item in engines(context)) >= 2 * count)
        await silence()
        answers = await asyncio.gather(*tasks)
        context.took = time.monotonic() - started
        return answers


def fall_silent(backends, seconds):
    for backend in backends:
        backend.silent_until = time.monotonic() + seconds


@when("callers open {count:d} streams and all engines fall silent for {seconds:g} s")
def all_silent(context, count, seconds):
    async def silence():
        fall_silent(engines(context), seconds)

    context.answers = run(context, open_streams(context, count, silence))


@when(
    "callers open {count:d} streams, all engines fall silent for {seconds:g} s, and both zones"
    " are evacuated"
)
def evacuated(context, count, seconds):
    async def silence():
        fall_silent(engines(context), seconds)
        evacuations = context.platform.entries[0].fleet.evacuations
        evacuations.zones = {"zone-a": 1, "zone-b": 1}
        assert all(evacuations.is_evacuated(zone) for zone in ("zone-a", "zone-b"))

    context.answers = run(context, open_streams(context, count, silence))


@when("callers open {count:d} streams on one engine and it falls silent for {seconds:g} s")
def one_silent(context, count, seconds):
    silent, context.other = engines(context)
    view = context.platform.entries[0].fleet.backends[context.other.identity]
    view.excluded_until = float("inf")

    async def silence():
        view.excluded_until = 0.0
        fall_silent([silent], seconds)
        fall_silent([context.other], getattr(context, "other_seconds", 0.0) + 1.2)

    context.answers = run(context, open_streams(context, count, silence))


@when("callers look {count:d} things up at backends that fall silent for {seconds:g} s")
def look_silent(context, count, seconds):
    async def look():
        fall_silent(plain(context), seconds)
        front = context.platform.entries[0].direct.front
        async with aiohttp.ClientSession() as session:
            looks = [send_request(session, front, f"/look/{n}", f"l-{n}") for n in range(count)]
            return await asyncio.gather(*looks)

    context.answers = run(context, look())


@then("each stream is whole, in order, once each")
def whole_streams(context):
    expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
    results = [(status, body == expected) for status, _, body in context.answers]
    assert results == [(200, True)] * len(results), results


@then("each gets the complete answer of a backend")
def whole_look_ups(context):
    for status, headers, body in context.answers:
        assert status == 200, [status for status, _, _ in context.answers]
        identity = headers["X-Server-Signature"].partition(".")[0]
        assert body == f"{identity} ran {headers['X-Attempt-Id']}".encode() * 40


@then("the work of the successors ends within half a second")
def successors_ended(context):
    sent = set(context.other.run_counts)
    assert sent
    assert run(context, until(lambda: sent == set(context.other.cancelled), 0.5)), sent


@when("one backend is found silent by {count:d} requests at once, and answers again")
def found_silent(context, count):
    view = next(iter(fleet_of(1).backends.values()))
    for _ in range(count):
        view.record_unresponsive(NOW)
    context.backoff = view.backoff_until - NOW
    view.record_responsive(NOW + 0.2)
    context.left = view.backoff_until - NOW - 0.2


@then("its backoff was the shortest one, and ends with that answer")
def shortest_backoff(context):
    assert context.backoff == UNREACHABLE_BACKOFF_SECONDS, context.backoff
    assert context.left < 0.001, context.left


@given("two engines that were {state} for {count:d} requests in a row")
def were_bad(context, state, count):
    context.fleet = fleet_of(2)
    for view in context.fleet.backends.values():
        for _ in range(count):
            if state == "slow":
                view.record_slowness(20.0, NOW)
            else:
                view.record_failure(NOW)


@then("a request is refused {soon:g} s later, and admitted {later:g} s later")
def refused_then_admitted(context, soon, later):
    assert refusal_after(context.fleet, soon) is not None
    assert refusal_after(context.fleet, later) is None


def refusal_after(fleet, seconds):
    """Return the refusal of a request that arrives some seconds after NOW; None if admitted."""
    placer, now = placer_of(fleet), NOW + seconds
    request = dataclasses.replace(request_of(), received_at=now, deadline=now + 6)
    return placer.refusal(request, placer.choose(request, set(), now), now)


@given("the other engine answers streams that are resumed with {status:d}")
def other_answers(context, status):
    async def answer(request, headers):
        if "Last-Event-Id" in request.headers:
            return web.Response(status=status, headers=headers)
        return await original(request, headers)

    other = engines(context)[1]
    original, other.stream = other.stream, answer


@given("two engines with {slots:d} slots, of which one has {free:d} free slots")
def few_slots(context, slots, free):
    context.fleet = fleet_of(2)
    context.silent, context.other = context.fleet.backends.values()
    for _ in range(slots - free):
        context.other.record_started(0)


@given("an engine that refused a request as full {seconds:g} s ago")
def was_full(context, seconds):
    context.fleet = fleet_of(2)
    context.silent, context.other = context.fleet.backends.values()
    context.other.record_full(NOW - seconds)


def silent_sends(context, count, rules):
    """Return the sends of as many requests, all of them silent at one engine."""
    choice = Choice(context.silent, 0.1, 0, 0.1)
    found = []
    for _ in range(count):
        attempts = Attempts(rules, request_of(), Progress(), None)
        attempts.running[Send(choice, NOW, silent_at=clock.now())] = asyncio.Future()
        found.append(attempts)
    return found


class Rules:
    """Rules that choose a successor by the placer, after a grant that takes a moment."""

    def __init__(self, context):
        self.placer = placer_of(context.fleet)
        self.looks = 0
        self.log = RequestLog()

    def record_start(self, progress, send):
        pass

    async def next_choice(self, request, progress):
        return Choice(next(iter(self.placer.fleet.backends.values())), 0.1, 0, 0.1)

    async def successor(self, request, progress, busy, is_needed):
        self.looks += 1
        avoided = progress.may_have_run_at.union(busy)
        choice = self.placer.choose_successor(request, avoided, NOW)
        await asyncio.sleep(0.01)
        is_free = choice is not None and self.placer.is_free(choice.view, request, NOW)
        return choice if is_free and is_needed() else None


@when("{count:d} streams on the other engine are silent at the same time")
def silent_together(context, count):
    async def never_answers(send):
        await asyncio.sleep(10)

    async def look():
        found = silent_sends(context, count, Rules(context))
        for attempts in found:
            attempts.execute = never_answers
        await asyncio.gather(*(attempts.start_successor() for attempts in found))
        context.sent = sum(len(attempts.sends) for attempts in found)
        await asyncio.gather(*(attempts.end() for attempts in found))

    run(context, look())


@then("{count:d} successors are sent")
def successors_sent(context, count):
    assert context.sent == count, context.sent
    assert context.other.reserved == 0


@then("it is chosen as the successor of a silent send of the same request")
def chosen_again(context):
    async def look():
        progress = Progress(in_flight=1)
        progress.record_not_run(context.other.backend.identity)
        busy = {context.silent.backend.identity}
        return await Rules(context).successor(request_of(), progress, busy, lambda: True)

    assert run(context, look()).view is context.other


@given("a grant takes {ms:d} ms, and a retry is left each {seconds:g} s")
def slow_grants(context, ms, seconds):
    role = context.platform.entries[0]

    async def grant(notices):
        await asyncio.sleep(ms / 1000)
        return True

    role.front.forwarder.is_send_granted = grant
    started = clock.now()
    role.budget.remaining = lambda service, now: (
        (now - started) / seconds - role.budget.window_of(service).sent_retries(now, 10.0)
    )


@when("callers open {count:d} streams on that engine")
def on_that_engine(context, count):
    other = engines(context)[1]
    view = context.platform.entries[0].fleet.backends[other.identity]
    view.excluded_until = float("inf")

    async def end_exclusion():
        view.excluded_until = 0.0

    context.answers = run(context, open_streams(context, count, end_exclusion, STREAM_EVENTS))


@when("the process stands still for {seconds:g} s while a backend answers")
def stands_still(context, seconds):
    context.fleet = fleet_of(2)
    context.rules = Rules(context)

    async def answer(send):
        send.silent_at = clock.now() + 1.0
        await asyncio.sleep(0.1)
        asyncio.get_running_loop().call_soon(time.sleep, seconds)
        await asyncio.sleep(0.05)
        return WholeAnswer(200, {}, b"")

    now = clock.now()
    request = dataclasses.replace(request_of(), received_at=now, deadline=now + 6)
    attempts = Attempts(context.rules, request, Progress(), answer)
    assert run(context, attempts.run()).status == 200


@then("no successor was looked for")
def no_look(context):
    assert context.rules.looks == 0, context.rules.looks


@when("a request has been answered")
def answered(context):
    context.fleet = fleet_of(1)

    async def answer(send):
        send.end_reservation()
        return WholeAnswer(200, {}, b"")

    attempts = Attempts(Rules(context), request_of(), Progress(), answer)
    gc.disable()
    context.add_cleanup(gc.enable)
    run(context, attempts.run())
    context.kept = weakref.ref(attempts)


@then("nothing refers to it any more")
def not_kept(context):
    assert context.kept() is None

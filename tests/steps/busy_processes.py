"""Steps on processes that are late with some answers, as all have just started on a slow VM."""

import asyncio
from unittest import mock

import aiohttp
from aiohttp import web
from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from standins.platform import free_address
from tests.direct_fakes import NOW
from verbenaward import clock
from verbenaward.distribution import peer_calls
from verbenaward.distribution.peer_calls import PeerCalls
from verbenaward.distribution.recent_failures import (
    SILENT_SECONDS,
    UNREACHABLE_SECONDS,
    RecentFailures,
)
from verbenaward.weight_loading import fetching
from verbenaward.weight_loading.fetching import ChunkFetcher

TIMEOUT_SECONDS = 0.4
"""Timeout of a question here."""
QUESTIONS = 8
OTHER = "127.0.0.1:9"


async def serve_some(answers_some):
    """Serve questions of which every second one, or none, is answered in time."""

    async def answer(request):
        if not answers_some or int(request.match_info["index"]) % 2:
            await asyncio.sleep(2 * TIMEOUT_SECONDS)
        return web.Response(status=503)

    app = web.Application()
    app.router.add_get("/weights/model/2/{index}", answer)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    address = free_address()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner, address


async def ask_all(ask):
    """Ask for all chunks at the same time."""
    await asyncio.gather(*(ask(f"/weights/model/2/{index}") for index in range(QUESTIONS)))


async def ask_entry(context, answers_some):
    runner, context.busy = await serve_some(answers_some)
    async with aiohttp.ClientSession() as session:
        fetcher = ChunkFetcher(mock.Mock(), mock.Mock(), mock.Mock(), session)
        fetcher.entries_for = lambda key: [context.busy, OTHER]
        with mock.patch.object(fetching, "FETCH_TIMEOUT_SECONDS", TIMEOUT_SECONDS):
            await ask_all(lambda path: fetcher.locate(path, "run", 0))
    order = [context.busy, OTHER]
    context.preferred = fetcher.unreachable_entries.first(order, clock.now())
    await runner.cleanup()


async def ask_reader(context, answers_some):
    runner, context.busy = await serve_some(answers_some)
    async with aiohttp.ClientSession() as session:
        calls = PeerCalls(session)
        with mock.patch.object(peer_calls, "LOCATE_SECONDS", TIMEOUT_SECONDS):
            await ask_all(lambda path: calls.locate(context.busy, path, "owner"))
    context.working = calls.failures.working([context.busy], clock.now())
    await runner.cleanup()


@when("an endpoint process asks an entry process that answers {which} in time")
def ask_busy_entry(context, which):
    context.loop.run_until_complete(ask_entry(context, which == "every second question"))


@then("its next questions go to {which} entry process")
def preferred_entry(context, which):
    assert context.preferred == (context.busy if which == "the same" else OTHER)


@when("an entry process asks a reader that answers {which} in time")
def ask_busy_reader(context, which):
    context.loop.run_until_complete(ask_reader(context, which == "every second question"))


@then("the reader counts as working")
def reader_works(context):
    assert context.working == [context.busy]


@then("the reader does not count as working")
def reader_failed(context):
    assert context.working == []


@when("a process answers and is late in any order")
def any_order(context):
    event = st.tuples(st.booleans(), st.floats(0, 3))
    context.histories = st.lists(event, max_size=8)


@then("it is passed over after a late answer only if it has answered nothing for 1.5 s")
def passed_over(context):
    @for_all(context.histories)
    def check(history):
        failures, now, answered_at = RecentFailures(), NOW, -10.0
        for is_answer, pause in history:
            now += pause
            was_working = failures.working(["a"], now) == ["a"]
            if is_answer:
                failures.record_answer("a", now)
                answered_at = now
                continue
            failures.record_late("a", now)
            is_working = failures.working(["a"], now) == ["a"]
            assert is_working == (was_working and now - answered_at <= SILENT_SECONDS)

    check()


@then("nothing is kept of a process that has not answered or failed for 2 s")
def nothing_kept(context):
    failures = RecentFailures()
    failures.record_answer("a", NOW)
    failures.record_failure("b", NOW)
    failures.working([], NOW + UNREACHABLE_SECONDS)
    assert not failures.answered_at and not failures.failed_at

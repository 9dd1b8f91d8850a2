"""Steps on answers that fall silent at any of their bytes."""

import asyncio
from collections import Counter

import aiohttp
from behave import then, when
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from standins.platform import send_request
from standins.platform_backend import STREAM_EVENTS, Silence
from tests.steps.platform_running import run

STREAMS = ("/stream/x",) * 6
KINDS = ("/book/bed", "/look/x") * 10 + ("/stream/x", "/stream/once/x") * 3
STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, STREAM_EVENTS + 1))
DEADLINE = {"X-Deadline-Ms": "6000"}
FRAMINGS = st.sampled_from(["length", "chunked", "unframed"])
SHARES = st.one_of(st.floats(0, 1), st.sampled_from([0.0, 0.97, 0.995, 1.0]))
"""Ends of answers are drawn often: the last event, the end of the body."""


LEAVE = {
    "drain": lambda platform, backend: platform.register(backend, "draining"),
    "deregister": lambda platform, backend: platform.store.remove(f"servers/{backend.identity}"),
    "say that they leave": lambda platform, backend: setattr(backend, "says_leaving", True),
}


def plans_of(paths, runs, least, most):
    """Return the strategy of a plan for each path: the silences of so many runs."""
    silences = st.builds(Silence, FRAMINGS, SHARES, st.floats(least, most))
    plan = st.lists(silences, min_size=runs, max_size=runs)
    return st.lists(plan, min_size=len(paths), max_size=len(paths))


def examples(count, strategy):
    """Return a decorator that plays some drawn examples; failures are not shrunk, to be quick."""
    quick = settings(max_examples=count, phases=[Phase.generate])
    return lambda play: quick(for_all(strategy)(play))()


def is_whole(path, attempt, answer):
    status, headers, body = answer
    if path.startswith("/stream"):
        return (status, body) == (200, STREAM)
    identity = headers.get("X-Server-Signature", "").partition(".")[0]
    return (status, body) == (200, f"{identity} ran {attempt}".encode() * 40)


def is_refused(answer):
    return answer[0] == 503 and answer[1].get("X-Verdict") == "not-run"


async def ask_twice(address, path, attempt):
    """Return the answers of two requests on one connection, and how many were opened."""
    opened = []

    async def count(*_):
        opened.append(attempt)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(count)
    async with aiohttp.ClientSession(trace_configs=[trace]) as session:
        first = await send_request(session, address, path, attempt, DEADLINE)
        second = await send_request(session, address, path, f"{attempt}-next", DEADLINE)
    return path, attempt, first, second, len(opened)


async def play(context, plans, paths, meanwhile=None):
    """Send a request with the silences of each plan, all at once; return what went wrong."""
    context.plays = getattr(context, "plays", 0) + 1
    names = [f"{path.split('/')[-2]}-{context.plays}-{n}" for n, path in enumerate(paths)]
    planned = dict(zip(names, (list(plan) for plan in plans), strict=True))
    for backend in context.platform.backends.values():
        backend.silences = planned
    for view in context.platform.entries[0].fleet.backends.values():
        # No example is refused for what the one before showed of the backends.
        view.failure_share, view.slowness, view.backoff_until = 0.0, 1.0, 0.0
    address = context.platform.entries[0].direct.front
    tasks = [
        asyncio.create_task(ask_twice(address, path, name))
        for path, name in zip(paths, names, strict=True)
    ]
    if meanwhile is not None:
        await asyncio.sleep(0.3)
        meanwhile()
    results = await asyncio.gather(*tasks)
    return [
        (plan, path, first, second, opened)
        for plan, (path, name, first, second, opened) in zip(plans, results, strict=True)
        if not is_whole(path, name, first)
        or not (is_whole(path, f"{name}-next", second) or is_refused(second))
        or opened != 1
    ]


@then("answers of each kind that are silent for {least:g} to {most:g} s at any byte are whole")
def whole_at_any_byte(context, least, most):
    @examples(3, plans_of(KINDS, 1, least, most))
    def check(plans):
        wrong = run(context, play(context, plans, KINDS))
        assert not wrong, wrong


@then("streams of which each run is silent for {least:g} to {most:g} s at any byte are whole")
def whole_after_two(context, least, most):
    @examples(2, plans_of(STREAMS, 2, least, most))
    def check(plans):
        wrong = run(context, play(context, plans, STREAMS))
        assert not wrong, wrong


@when("the backends {leave} while they are silent in answers of each kind")
def leave_in_silence(context, leave):
    def begin_to_leave():
        for backend in context.platform.backends.values():
            LEAVE[leave](context.platform, backend)

    silence = Silence("chunked", 0.6, 2.0)
    context.wrong = run(context, play(context, [[silence]] * len(KINDS), KINDS, begin_to_leave))


@then("these answers are whole all the same")
def whole_all_the_same(context):
    assert not context.wrong, context.wrong


@then("no unsafe request ran twice")
def once_each(context):
    backends = context.platform.backends.values()
    runs = sum((backend.run_counts for backend in backends), start=Counter())
    unsafe = {name: count for name, count in runs.items() if name.startswith(("book", "once"))}
    assert unsafe
    assert set(unsafe.values()) == {1}, unsafe

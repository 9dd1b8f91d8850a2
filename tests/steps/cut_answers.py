"""Steps on answers that end early."""

import aiohttp
from behave import given, then, when

from standins.platform_backend import cut_head_of
from standins.raw_answers import Ending, RawAnswerStandIn
from tests.steps.platform_running import call, engines, plain, run
from verbenaward import clock
from verbenaward.control import client_session
from verbenaward.data import Verdict
from verbenaward.direct.sending import backend_session
from verbenaward.direct_shared import platform_session
from verbenaward.endpoint.backend import BackendCall, BackendClient
from verbenaward.schema.settings import PlatformSettings, Settings

SETTINGS = Settings(1, "entry", "vm", "region", "zone", "127.0.0.1:1", PlatformSettings("http://h"))
CLIENTS = {
    "backends": backend_session,
    "proxied backends": lambda: client_session(SETTINGS, force_close=True),
    "proxied peers": lambda: client_session(SETTINGS),
    "the platform": platform_session,
}
HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n"
FRAMED = (
    HEAD + b"Content-Length: 24\r\n\r\n" + b"x" * 24,
    b"HTTP/1.1 200 OK\r\nContent-Length: 24\r\nX-Server-Signature: s\r\n\r\n" + b"x" * 24,
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n10\r\n" + b"x" * 16 + b"\r\n0\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD + b"Content-Length: 0\r\n\r\n",
)
BODY_BYTES = 24
UNFRAMED = HEAD + b"Connection: close\r\n\r\n" + b"x" * BODY_BYTES
UNFRAMED_HEAD = len(UNFRAMED) - BODY_BYTES
MARKS = 11
"""Places at which a head is cut."""


@given("a server that ends its answers early")
def early_server(context):
    context.server = RawAnswerStandIn()
    run(context, context.server.start())
    context.add_cleanup(context.server.close)


@then("the client for {peers} gets no answer that is cut at any byte")
def no_cut_answer(context, peers):
    async def read(session):
        async with session.post(f"http://{context.server.address}/", data=b"x") as response:
            return response.status, await response.read()

    async def read_all():
        async with CLIENTS[peers]() as session:
            answers = [(whole, whole[:size]) for whole in FRAMED for size in range(len(whole))]
            answers += [(UNFRAMED, UNFRAMED[:size]) for size in range(UNFRAMED_HEAD)]
            unframed = [(UNFRAMED, UNFRAMED[: UNFRAMED_HEAD + size]) for size in range(BODY_BYTES)]
            for resets in (False, True):
                for _, context.server.answer in (*answers, *(unframed if resets else ())):
                    context.server.ending = Ending.RESET if resets else Ending.CLOSE
                    try:
                        taken = await read(session)
                    except aiohttp.ClientError:
                        continue
                    raise AssertionError((context.server.answer, resets, taken))

    run(context, read_all())


def call_unframed(context, resets, sizes):
    async def send():
        async with client_session(SETTINGS, force_close=True) as session:
            client = BackendClient(f"http://{context.server.address}", session)
            context.server.ending = Ending.RESET if resets else Ending.CLOSE
            for size in sizes:
                context.server.answer = UNFRAMED[:size]
                sent = BackendCall("id", "POST", "/", b"x", "a/b", 0, "", 0, clock.now() + 3)
                context.results.append(await client.run(sent, "vm", ""))

    context.results = []
    run(context, send())


@when("the proxied mode calls it and the answer without a length is reset in its body")
def reset_unframed(context):
    call_unframed(context, True, range(UNFRAMED_HEAD, len(UNFRAMED) + 1))


@when("the proxied mode calls it and the answer without a length is closed after its body")
def close_unframed(context):
    call_unframed(context, False, [len(UNFRAMED)] * 3)


@then("it may have run each time")
def each_may_have_run(context):
    outcomes = [item.swap().value_or(None) for item in context.results]
    assert all(item and item.verdict is Verdict.MAY_HAVE_RUN for item in outcomes), context.results


@then("it has answered each time")
def each_answered(context):
    assert {item.unwrap().body for item in context.results} == {b"x" * 24}


@when("callers book, look up and open streams while the head ends at each of its marks")
def calls_with_cut_heads(context):
    context.outcomes = []
    for path in ("book", "look", "stream", "stream/once"):
        for mark in range(MARKS):
            attempt = f"{path.replace('/', '-')}-{mark}"
            head = cut_head_of(attempt)
            for backend in (*plain(context), *engines(context)):
                backend.head_bytes = marks_of(head)[mark]
            answer = call(context, f"/{path}/{mark}", attempt)
            context.outcomes.append((mark, attempt, answer))


def marks_of(head):
    """In the status line, after each line, within a name, the digits and the empty line."""
    lines = [index + 2 for index in range(len(head)) if head[index : index + 2] == b"\r\n"]
    return (0, 7, *lines[:-1], lines[3] + 9, lines[4] - 4, lines[4] - 1, len(head) - 1)


@then("each gets a complete 502 that says that it may have run, or it has not run")
def each_complete_refusal(context):
    backends = context.platform.backends.values()
    ran = set()
    for mark, attempt, (status, headers, body) in context.outcomes:
        has_run = any(item.run_counts[attempt] for item in backends)
        expected = (502, "may-have-run") if has_run else (503, "not-run")
        assert (status, headers.get("X-Verdict")) == expected, (mark, attempt, body)
        ran |= {mark} if has_run else set()
    assert ran == set(range(MARKS)), ran

"""Steps on answers that are broken in their head or at their end."""

import asyncio
from unittest import mock

import aiohttp
import uvloop
from behave import given, then, when
from returns.result import Failure

from standins.platform import PlatformStandIn, free_address
from standins.platform_backend import PlatformBackendStandIn
from standins.raw_answers import (
    AFTERTHOUGHT_SECONDS,
    Ending,
    RawAnswerStandIn,
    at_once,
    byte_by_byte,
    cut_at,
)
from tests.steps.cut_answers import CLIENTS
from tests.steps.endless_bytes import CALL_SECONDS, CALLS
from tests.steps.platform_running import call, run
from verbenaward.direct import sending
from verbenaward.direct_shared import platform_session
from verbenaward.distribution.peer_calls import PeerCalls
from verbenaward.platform.key_value import KeyValueFailure
from verbenaward.platform.key_value_http import HttpKeyValueService
from verbenaward.platform.leased_store import Lease, LeasedStore
from verbenaward.platform.weights import LocalEngine

LONGEST_UPLOAD = 4_000_000
"""Longest upload, in bytes; more than the buffers of a connection between two processes hold."""
BACKENDS = (("p-1", "plain"), ("p-2", "plain"), ("e-1", "engines"), ("e-2", "engines"))
PATHS = ("book", "look", "stream", "stream/once")
"""A request that runs once, an idempotent one, and streams that may and may not be resumed."""
WAYS = {"at once": at_once, "byte by byte": byte_by_byte}
STATUS_LINE = "HTTP/1.1 200 OK"
FIELDS = (
    "X-Attempt-Id: ATTEMPT",
    "X-Server-Signature: s",
    "Content-Type: text/event-stream",
    "Content-Length: 24",
)
BODY = b"id: 1\ndata: piece one\n\n\n"


def answer_of(lines, body=BODY):
    """Return the bytes of an answer with these lines in its head."""
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode("latin-1") + body


@given("the users' platform with backends that answer with raw bytes")
def start_raw_backends(context):
    context.platform = PlatformStandIn()
    context.platform.max_body_bytes = LONGEST_UPLOAD
    context.raw_backends = []

    async def start():
        await context.platform.start()
        for identity, service in BACKENDS:
            backend = PlatformBackendStandIn(identity, service, "zone-a")
            backend.address = free_address(context.platform.next_host())
            raw = RawAnswerStandIn()
            await raw.start(backend.address)
            context.add_cleanup(raw.close)
            context.raw_backends.append(raw)
            context.platform.register(backend)
        context.platform.write_configuration()

    context.add_cleanup(lambda: run(context, context.platform.stop()))
    run(context, start())


def forget_failures(context):
    """Let no request be refused for what the ones before it showed of the backends."""
    for view in context.platform.entries[0].fleet.backends.values():
        view.failure_share, view.slowness, view.backoff_until = 0.0, 1.0, 0.0


def ask(context, path, body=b""):
    """Send a request, once it is known that it will be tried."""
    forget_failures(context)
    context.asked = getattr(context, "asked", 0) + 1
    return call(context, f"/{path}/{context.asked}", f"a-{context.asked}", body=body)


def ask_each(context, answers, ways=WAYS):
    """Send a request of each kind for each answer, and for each way in which it is written."""
    context.outcomes = []
    for answer in answers:
        for way, cut in ways.items():
            for raw in context.raw_backends:
                raw.answer, raw.cut = answer, cut
            context.outcomes += [(answer, way, path, ask(context, path)) for path in PATHS]


@when('the backends answer each kind of request with the status line "{line}"')
def answer_with_status_line(context, line):
    ask_each(context, [answer_of((line, *FIELDS))])


@then("each caller gets the answer")
def each_answered(context):
    wrong = [item for item in context.outcomes if (item[3][0], item[3][2]) != (200, BODY)]
    assert not wrong, wrong


@then("each caller gets a 502 that says that it may have run")
def each_broken(context):
    assert context.outcomes
    wrong = [item for item in context.outcomes if not is_may_have_run(item[3])]
    assert not wrong, wrong


def is_may_have_run(answer):
    status, headers, _ = answer
    has_signature = "X-Server-Signature" in headers
    return (status, headers.get("X-Verdict"), has_signature) == (502, "may-have-run", False)


SOUND = b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 3\r\n\r\nabc"
KNOWN_NAMES = (b"Connection", b"Upgrade", b"Content-Length", b"Transfer-Encoding")
"""Names that a parser itself reads."""
WRONG_BYTES = b" \t\0\x01\x0b\x0c\r\x7f\x80(,;="
"""Bytes that a name may not hold."""


def with_line(line):
    """Return answers with a line in the first, the middle and the last place of the fields."""
    first, *fields = SOUND.split(b"\r\n\r\n")[0].split(b"\r\n")
    heads = ([first, *fields[:n], line, *fields[n:], b"", b"abc"] for n in range(len(fields) + 1))
    return tuple(b"\r\n".join(head) for head in heads)


def with_lines(lines):
    return tuple(answer for line in lines for answer in with_line(line))


CODINGS = (
    *("xchunked", "gzip", "identity", "chunked, identity", "gzip, chunked", "chunked, chunked"),
    *("chunked;a", "chunked,", ",chunked", "\x0bchunked", "chunked\x0b", '"chunked"', "chunke", ""),
)
"""Transfer codings other than chunked alone."""
LENGTHS = (
    "+3",
    "-3",
    "3 3",
    "3, 3",
    "3,",
    "0x3",
    "",
    "3;a",
    "\x0b3",
    "\xb2",
    "3" * 20,
    "1e0",
    "3.0",
)
CHUNKED_BODY = b"3\r\nabc\r\n0\r\n\r\n"


def framed_by(fields, version="HTTP/1.1"):
    """Return an answer with only these fields, and a body in chunks."""
    lines = (f"{version} 200 OK", *fields, "", "")
    return "\r\n".join(lines).encode("latin-1") + CHUNKED_BODY


UNSOUND = {
    "protocol": (
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nabc",
        b"HTTP/1.1 101 Switching Protocols\r\nContent-Length: 0\r\n\r\n",
    ),
    "framing": (
        *(framed_by([f"Transfer-Encoding: {coding}"]) for coding in CODINGS),
        *(framed_by([f"Content-Length: {length}"]) for length in LENGTHS),
        framed_by(["Transfer-Encoding: chunked"] * 2),
        framed_by(["Transfer-Encoding: chunked"], "HTTP/1.0"),
        framed_by(["Transfer-Encoding: chunked", "Content-Length: 3"]),
        framed_by(["content-length: 18", "X-A: 1", "TRANSFER-ENCODING:chunked"]),
        framed_by(["Content-Length: 18", "Content-Length: 18"]),
        framed_by(["Content-Length: 3", "Content-Length: 4"]),
    ),
    "status line": (
        *(SOUND.replace(b"200", code) for code in (b"000", b"099", b"600", b"999", b"20", b"2000")),
        *(SOUND.replace(b"HTTP/1.1", name) for name in (b"HTTP/2.0", b"HTTP/9.9", b"ICY")),
        b"\r\n" + SOUND,
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + SOUND.replace(b"200", b"600"),
        b"abc",
    ),
    "known name": with_lines(
        name + end for name in KNOWN_NAMES for end in (b" : 3", b" x: 3", b"\t: 3", b"\x01: 3")
    ),
    "other name": with_lines(
        (*(b"X%cB: 1" % byte for byte in WRONG_BYTES), b"X-B : 1", b"X-B\x0b: 1", b": 1", b"X-B")
    ),
    "leading byte": with_lines(b"%cX-B: 1" % byte for byte in WRONG_BYTES),
    "value": with_lines(b"X-B: 1%c2" % byte for byte in b"\0\r"),
}
"""What is not an answer, by the part of the head that is wrong."""


@given("a server that answers with raw bytes")
def start_raw_server(context):
    context.server, context.address = RawAnswerStandIn(), free_address()
    run(context, context.server.start(context.address))
    context.add_cleanup(context.server.close)


def cuts_of(answer):
    return (at_once, byte_by_byte, *(cut_at(place) for place in range(1, len(answer))))


VERDICT_SECONDS = 2.0
"""Longest time for the verdict on an answer; whatever it is, the server ends the connection."""


async def taken_answers(context, peers, answers, cuts_of=cuts_of):
    """Return the answers that a client takes, each with its bytes and the status and body read."""
    server, taken = context.server, []
    async with CLIENTS[peers]() as session:
        for answer in answers:
            server.answer = answer
            for cut in cuts_of(answer):
                server.cut = cut
                try:
                    async with (
                        asyncio.timeout(VERDICT_SECONDS),
                        session.get(f"http://{context.address}/") as response,
                    ):
                        taken.append((answer, response.status, await response.read()))
                except aiohttp.ClientError:
                    continue
                except TimeoutError:
                    return [*taken, (answer, "no verdict")]
    return taken


@then("the client for {peers} takes no answer with a wrong {part}, wherever it is cut")
def takes_no_unsound(context, peers, part):
    context.peers = peers
    taken = run(context, taken_answers(context, peers, UNSOUND[part]))
    assert not taken, taken


@then("the client for {peers} takes no answer with more bytes than its head tells, at once")
def takes_no_excess(context, peers):
    no_content = b"HTTP/1.1 204 No Content\r\n"
    answers = (
        SOUND + b"d",
        framed_by(["Transfer-Encoding: chunked"]) + b"d",
        no_content + b"Content-Length: 3\r\n\r\nabc",
        no_content + b"\r\nabc",
        SOUND.replace(b"Length: 3", b"Length: 0"),
    )
    taken = run(context, taken_answers(context, peers, answers, lambda answer: (at_once,)))
    assert not taken, taken


@then("it takes a sound one each time")
def takes_sound(context):
    taken = run(context, taken_answers(context, context.peers, [SOUND]))
    assert taken == [(SOUND, 200, b"abc")] * len(cuts_of(SOUND)), taken


LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
"""They differ in what they report of the end of a connection; the daemons run on uvloop."""
UPLOADS = ("book", "look") * 3
UNFRAMED = FIELDS[:-1]
FRAMINGS = {
    "a length": (FIELDS, BODY),
    "chunks": ((*UNFRAMED, "Transfer-Encoding: chunked"), b"18\r\n" + BODY + b"\r\n0\r\n\r\n"),
    "its end": (UNFRAMED, BODY),
}


@given("the event loop of {name}")
def use_loop(context, name):
    context.loop.close()
    context.loop = LOOPS[name]()
    context.add_cleanup(context.loop.close)


def upload(context, kilobytes):
    return [(path, ask(context, path, b"x" * 1000 * kilobytes)) for path in UPLOADS]


@given("the process reads each body {milliseconds:d} ms after its head, as a busy one does")
def read_late(context, milliseconds):
    read_answer = sending.read_answer

    async def read_after_head(*arguments):
        await asyncio.sleep(milliseconds / 1000)
        return await read_answer(*arguments)

    patch = mock.patch.object(sending, "read_answer", read_after_head)
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    "they answer uploads of {kilobytes:d} KB before they read them, without a length, and {end}"
    " them after {first:d} to {last:d} turns"
)
def answer_unframed(context, kilobytes, end, first, last):
    context.outcomes = []
    for turns in range(first, last + 1):
        for raw in context.raw_backends:
            raw.answer = answer_of((STATUS_LINE, *UNFRAMED), BODY[:5])
            raw.turns, raw.ending, raw.reads_body = turns, Ending(end), False
        context.outcomes += [(turns, end, *outcome) for outcome in upload(context, kilobytes)]


@when("they answer uploads of {kilobytes:d} KB {when} they read them, with {framing}")
def answer_framed(context, kilobytes, when, framing):
    fields, body = FRAMINGS[framing]
    for raw in context.raw_backends:
        raw.answer = answer_of((STATUS_LINE, *fields), body)
        raw.reads_body = when == "after"
        raw.ending = Ending.CLOSE if raw.reads_body else Ending.STAY
    context.outcomes = [(kilobytes, framing, *outcome) for outcome in upload(context, kilobytes)]


@when('the head of the answer has a line "{line}" in any place')
def answer_with_line(context, line):
    line = line.encode().decode("unicode_escape")
    # No second length, which would be refused for itself.
    fields = UNFRAMED if line.lower().startswith(("content-l", "transfer-e")) else FIELDS
    heads = ((*fields[:place], line, *fields[place:]) for place in range(len(fields) + 1))
    ask_each(context, [answer_of((STATUS_LINE, *head)) for head in heads])


@when('the backends frame each kind of answer by the coding "{coding}"')
def answer_with_coding(context, coding):
    coding = coding.encode().decode("unicode_escape")
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
    fields = (*UNFRAMED, f"Transfer-Encoding: {coding}")
    ask_each(context, [answer_of((STATUS_LINE, *fields), chunks)])


BROKEN = (
    *((SOUND.replace(b"200", code), Ending.CLOSE) for code in (b"000", b"600", b"999")),
    (SOUND.replace(b"X-A:", b"Connection :"), Ending.CLOSE),
    (framed_by(["Transfer-Encoding: xchunked"]), Ending.CLOSE),
    (b"HTTP/1.1 200 OK\r\n\r\nabc", Ending.RESET),
    (b"HTTP/1.1 200 OK\r\n\r\n", Ending.RESET),
)
"""Broken answers, and what becomes of their connections."""


def keep_lease(session, address):
    store = LeasedStore(session, f"http://{address}")
    store.leases["key"], store.written = Lease(1, 0), {"key"}
    return store.keep_alive("key", b"", 3.0)


FURTHER_CALLS = {
    "a renewal of a lease": keep_lease,
    "a chunk of a peer": lambda s, a: PeerCalls(s).fetch(a, "/p"),
    "an order to load": lambda s, a: LocalEngine(s, a).order_load("m", 1, 0),
}
WRITES = {
    "the store": lambda s, a: LeasedStore(s, f"http://{a}").write("key", b"", 0),
    "the service": lambda s, a: HttpKeyValueService(s, f"http://{a}").write("key", b"", 0),
}


def results_of(context, send):
    """Return the result of a call for each broken answer."""

    async def send_each():
        results = []
        for context.server.answer, context.server.ending in BROKEN:
            async with platform_session() as session:
                call_ = send(session, context.address)
                results.append(await asyncio.wait_for(call_, CALL_SECONDS))
        return results

    return run(context, send_each())


@then("a call for {what} fails on each broken answer")
def call_fails(context, what):
    results = results_of(context, {**CALLS, **FURTHER_CALLS}[what])
    taken = [(*pair,) for pair in zip(BROKEN, results, strict=True) if not is_failure(pair[1])]
    assert not taken, taken


def is_failure(result):
    return isinstance(result, Failure)


@then("a write to {store} has an unknown outcome after each broken answer")
def write_unknown(context, store):
    results = [result.failure().failure for result in results_of(context, WRITES[store])]
    assert results == [KeyValueFailure.UNKNOWN] * len(BROKEN), results


async def body_of(session, address):
    try:
        async with (
            asyncio.timeout(VERDICT_SECONDS),
            session.get(f"http://{address}/") as response,
        ):
            return response.status, await response.read()
    except (TimeoutError, aiohttp.ClientError) as error:
        return repr(error)


@then("no call for {peers} gets what came behind the answer to the one before")
def no_afterthought(context, peers):
    context.server.answer, context.server.ending = SOUND, Ending.STAY
    afterthoughts = (SOUND.replace(b"abc", b"old"), SOUND.replace(b"200", b"600"), b"HTTP/1.1 2")

    async def read_each():
        bodies = []
        async with CLIENTS[peers]() as session:
            for context.server.afterthought in afterthoughts:
                for _ in range(2):
                    bodies.append(await body_of(session, context.address))
                    await asyncio.sleep(5 * AFTERTHOUGHT_SECONDS)
        return bodies

    bodies = run(context, read_each())
    assert bodies == [(200, b"abc")] * 2 * len(afterthoughts), bodies

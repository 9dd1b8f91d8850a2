"""Steps on the HTTP clients: what a server sends is an answer only if its head is sound."""

import ast
import asyncio
from pathlib import Path

import aiohttp
from aiohttp import web
from behave import given, then

import verbenaward
from standins.platform import free_address, open_site
from standins.raw_answers import (
    AFTERTHOUGHT_SECONDS,
    Ending,
    RawAnswerStandIn,
    at_once,
    byte_by_byte,
    cut_at,
)
from tests.steps.cut_answers import CLIENTS
from tests.steps.platform_running import run

PACKAGE = Path(verbenaward.__file__).parent
CUT_STEP = 8
"""Distance of the places at which one answer is cut."""
VERDICT_SECONDS = 2.0
"""Longest time for the verdict on an answer; whatever it is, the server ends the connection."""
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
    *("+3", "-3", "3 3", "3, 3", "3,", "0x3", "", "3;a", "\x0b3", "\xb2", "1e0", "3.0", "3" * 20),
)
"""Values of Content-Length that are no length."""
CHUNKED_BODY = b"3\r\nabc\r\n0\r\n\r\n"


def framed_by(fields, version="HTTP/1.1"):
    """Return an answer with only these fields, and a body in chunks."""
    lines = (f"{version} 200 OK", *fields, "", "")
    return "\r\n".join(lines).encode("latin-1") + CHUNKED_BODY


INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
ODD_STATUSES = (b"200", b"200 ", b"299 \xe9\t\x01", b"599 x")
ODD_FIELDS = (b"!#$%&'*+-.^_`|~0aZ:1", b"X-A:", b"X-A:\t1\x0b2 \t")
ODD_BUT_SOUND = (
    *(SOUND.replace(b"200 OK", status) for status in ODD_STATUSES),
    *(SOUND.replace(b"X-A: 1", line) for line in ODD_FIELDS),
    SOUND.replace(b"HTTP/1.1", b"HTTP/1.0"),
    SOUND.replace(b"\r\n", b"\n"),
    INTERIM + SOUND,
    INTERIM * 3 + SOUND,
    SOUND.replace(b"Content-Length: 3", b"CONTENT-LENGTH:\t03 "),
    framed_by(["transfer-encoding:  Chunked "]).replace(b"3\r\nabc", b"1\r\na\r\n02;x=y\r\nbc"),
    framed_by(["Transfer-Encoding: chunked"]).replace(b"0\r\n\r\n", b"0\r\nX-Trailer: 1\r\n\r\n"),
    *(b"HTTP/1.%d 200 OK\r\nX-A: 1\r\n\r\nabc" % minor for minor in (0, 1)),
)
"""Answers with the body "abc" that a recipient has to accept, or may by RFC 9110 and RFC 9112."""
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
    context.server = RawAnswerStandIn()
    run(context, context.server.start())
    context.add_cleanup(context.server.close)


def cuts_of(answer, first=1, step=1):
    """Return the ways to write an answer: at once, byte by byte, and in two parts of many sizes."""
    return (at_once, byte_by_byte, *(cut_at(place) for place in range(first, len(answer), step)))


def some_cuts(answers):
    """Yield answers and ways to write them; all answers together are cut at all their bytes.

    Each way takes a connection, and a port of the machine for a minute.
    """
    for number, answer in enumerate(answers):
        for cut in cuts_of(answer, 1 + number % CUT_STEP, CUT_STEP):
            yield answer, cut


async def read_answer(session, address):
    """Return the status and body of an answer, or the error of the call."""
    try:
        async with (
            asyncio.timeout(VERDICT_SECONDS),
            session.get(f"http://{address}/") as response,
        ):
            return response.status, await response.read()
    except (TimeoutError, aiohttp.ClientError) as error:
        return error


def is_refused(result):
    """Return True if an answer was refused; a call without a connection has got none."""
    is_unconnected = isinstance(result, aiohttp.ClientConnectorError)
    return isinstance(result, aiohttp.ClientError) and not is_unconnected


async def taken_answers(context, peers, written):
    """Return the answers that a client takes or waits for, with what it has read of them.

    Args:
      context: Context of the scenario, with the server.
      peers: Whose client it is.
      written: Answers, and the ways in which they are written.
    """
    server, taken = context.server, []
    async with CLIENTS[peers]() as session:
        for server.answer, server.cut in written:
            result = await read_answer(session, server.address)
            if not is_refused(result):
                taken.append((server.answer, result))
            if isinstance(result, TimeoutError):
                return taken
    return taken


@then("the client for {peers} takes no answer with a wrong {part}, wherever it is cut")
def takes_no_unsound(context, peers, part):
    context.peers = peers
    taken = run(context, taken_answers(context, peers, some_cuts(UNSOUND[part])))
    assert not taken, taken


@then("the client for {peers} takes no answer with more bytes than its head announces, at once")
def takes_no_excess(context, peers):
    no_content = b"HTTP/1.1 204 No Content\r\n"
    answers = (
        SOUND + b"d",
        framed_by(["Transfer-Encoding: chunked"]) + b"d",
        no_content + b"Content-Length: 3\r\n\r\nabc",
        no_content + b"\r\nabc",
        SOUND.replace(b"Length: 3", b"Length: 0"),
    )
    written = [(answer, at_once) for answer in answers]
    taken = run(context, taken_answers(context, peers, written))
    assert not taken, taken


@then("the client for {peers} takes each odd but sound answer, wherever it is cut")
def takes_odd(context, peers):
    written = list(some_cuts(ODD_BUT_SOUND))
    taken = run(context, taken_answers(context, peers, written))
    assert [answer for answer, _ in taken] == [answer for answer, _ in written], taken
    assert {result[1] for _, result in taken} == {b"abc"}, taken


@then("each session in the package has the connector that reads by the rule")
def one_connector(context):
    for path in PACKAGE.rglob("*.py"):
        for call in ast.walk(ast.parse(path.read_text())):
            if not isinstance(call, ast.Call) or not isinstance(call.func, ast.Attribute):
                continue
            if call.func.attr == "ClientSession":
                assert "connector" in {keyword.arg for keyword in call.keywords}, path
            # Connectors of the library itself read without the rule.
            assert call.func.attr not in ("TCPConnector", "UnixConnector"), path


@then("it takes a sound one each time")
def takes_sound(context):
    written = [(SOUND, cut) for cut in cuts_of(SOUND)]
    taken = run(context, taken_answers(context, context.peers, written))
    assert taken == [(SOUND, (200, b"abc"))] * len(written), taken


@then("no call for {peers} gets what came behind the answer to the one before")
def no_afterthought(context, peers):
    context.server.answer, context.server.ending = SOUND, Ending.STAY
    afterthoughts = (SOUND.replace(b"abc", b"old"), SOUND.replace(b"200", b"600"), b"HTTP/1.1 2")

    async def read_each():
        bodies = []
        async with CLIENTS[peers]() as session:
            for context.server.afterthought in afterthoughts:
                for _ in range(2):
                    bodies.append(await read_answer(session, context.server.address))
                    await asyncio.sleep(5 * AFTERTHOUGHT_SECONDS)
        return bodies

    bodies = run(context, read_each())
    assert bodies == [(200, b"abc")] * 2 * len(afterthoughts), bodies


REPORTS = [b"first", b"second", b"third"]


@given("a server that sends reports over a WebSocket")
def start_reporting(context):
    async def serve(request):
        channel = web.WebSocketResponse()
        await channel.prepare(request)
        for report in REPORTS:
            await channel.send_bytes(report)
            await asyncio.sleep(AFTERTHOUGHT_SECONDS)
        await channel.close()
        return channel

    async def start():
        app = web.Application()
        app.router.add_get("/", serve)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        context.address = free_address()
        await open_site(runner, context.address)
        return runner

    runner = run(context, start())
    context.add_cleanup(lambda: run(context, runner.cleanup()))


@then("the client for proxied peers reads each report and the end of the channel")
def reads_reports(context):
    async def read():
        async with (
            asyncio.timeout(VERDICT_SECONDS),
            CLIENTS["proxied peers"]() as session,
            session.ws_connect(f"http://{context.address}/") as channel,
        ):
            return [message.data async for message in channel]

    reports = run(context, read())
    assert reports == REPORTS, reports

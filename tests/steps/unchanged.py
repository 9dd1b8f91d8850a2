"""Steps on requests and answers that pass an entry process byte by byte."""

import asyncio
import gzip
import itertools
import zlib
from unittest import mock

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from multidict import CIMultiDict

from standins.platform import API_KEY, CALLER_HOST, PlatformStandIn, free_address
from standins.platform_backend import PlatformBackendStandIn
from tests.steps.platform_running import run
from verbenaward.header_bytes import HeadWriter

OWN = ("host", "x-attempt-id", "x-deadline-ms", "x-expect-instance", "x-tenant", "content-length")
"""Headers that the steps do not compare: the entry process sets them, or every request has them."""
ADDED = ("date", "server", "content-type", "content-length", "connection", "transfer-encoding")
BODIES = {
    "a gzip body": gzip.compress(b"text" * 99),
    "a zlib body": zlib.compress(b"text" * 99),
    "random bytes": bytes(range(256)),
    "text": b"text",
    "no body": b"",
    "chunked text": b"text",
}
NAMES = st.sampled_from(("X-A", "x-a", "X-a", "X-B", "Cookie", "cookie", "Accept", "Via", "Link"))
TEXTS = st.text(st.characters(codec="utf-8", exclude_categories=("C", "Z")), max_size=8)
OCTETS = st.lists(st.sampled_from([*range(0x21, 0x7F), *range(0x80, 0x100)]), max_size=8)
VALUES = TEXTS.map(str.encode) | OCTETS.map(bytes)
HEADERS = st.lists(st.tuples(NAMES, VALUES), max_size=6)
LATIN_1 = [("X-R", b"caf\xe9"), ("X-R", b"\xff\xc3\xa9 \x80")]
CONTROL = [("X-R", b"caf\x01\x0b\x7f"), ("X-R", b"\x1b")]
SPECIAL = {"not UTF-8": LATIN_1, "control characters": CONTROL}
STREAM = b"data: 1\n\ndata: [DONE]\n\n"
ENCODINGS = st.sampled_from((b"gzip", b"deflate", b"br", b"zstd", b"identity", b"x"))
TARGETS = st.text("abC012/?#;:@&=+%.~!$'()*,-_|^\"<>{}`\\[]", max_size=20)
SHORT_BODIES = st.binary(max_size=99)
BODILESS = (204, 205, 304)
FEW = settings(max_examples=40)


def head_of(first_line, headers):
    lines = [name.encode() + b": " + value + b"\r\n" for name, value in headers]
    return first_line + b"\r\n" + b"".join(lines) + b"\r\n"


def framed(body, chunked):
    """Return the header that frames a body, and the bytes to send; chunks end with a trailer."""
    if not chunked:
        return ("Content-Length", b"%d" % len(body)), body
    sent = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\nX-Trailer: 1\r\n\r\n"
    return ("Transfer-Encoding", b"chunked" if chunked is True else chunked), sent


async def read_message(reader, has_body=True):
    """Return the first line, the headers and the body of a message."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n"))[:-4].split(b"\r\n")
    headers = [tuple(line.split(b": ", 1)) for line in lines]
    headers = [(name.decode().lower(), value) for name, value in headers]
    if dict(headers).get("transfer-encoding") == b"chunked":
        chunked = await reader.readuntil(b"\r\n0\r\n\r\n")
        return first, headers, b"".join(chunked.split(b"\r\n")[1::2])
    length = int(dict(headers).get("content-length", 0)) if has_body else 0
    return first, headers, await reader.readexactly(length)


def without(headers, names):
    return [(name.lower(), value) for name, value in headers if name.lower() not in names]


@given("the users' platform with a backend that records what it receives")
def start_platform(context):
    context.platform = PlatformStandIn()
    context.platform.route_overrides["look"] = {"kind": "streaming"}
    context.attempts = itertools.count()
    context.reply = lambda: (200, [], [], b"ok", False)

    async def serve(reader, writer):
        context.received = await read_message(reader)
        status, interim, headers, body, chunked = context.reply()
        identity = dict(context.received[1])["x-attempt-id"]
        headers = [*headers, ("X-Attempt-Id", identity), ("X-Server-Signature", b"s")]
        framing, body = framed(body, chunked)
        if status in BODILESS:
            body = b""
        else:
            headers = [*headers, framing]
        for code in interim:
            writer.write(head_of(b"HTTP/1.1 %d Interim" % code, [("Link", b"interim")]))
        writer.write(head_of(b"HTTP/1.1 %d Status" % status, headers) + body)
        writer.close()

    async def start():
        await context.platform.start()
        backend = PlatformBackendStandIn("p-1", "plain", "zone-a")
        backend.address = free_address(context.platform.next_host())
        host, _, port = backend.address.rpartition(":")
        server = await asyncio.start_server(serve, host, int(port))
        context.add_cleanup(server.close)
        context.platform.register(backend)
        context.platform.write_configuration()

    context.add_cleanup(lambda: run(context, context.platform.stop()))
    run(context, start())


def send(context, target=b"/book/x", headers=(), body=b"", chunked=False, method=b"POST"):
    """Send a request, keep what was sent, and return the answer."""
    context.sent = method, target, headers, body
    framing, sent = framed(body, chunked)
    own = [
        ("Host", CALLER_HOST.encode()),
        ("X-Attempt-Id", b"a-%d" % next(context.attempts)),
        ("X-Deadline-Ms", b"3000"),
        ("Authorization", b"Bearer " + API_KEY.encode()),
    ]
    context.received = None

    async def exchange():
        host, _, port = context.platform.entries[0].direct.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = head_of(method + b" " + target + b" HTTP/1.1", [*own, *headers, framing])
        writer.write(head + sent)
        try:
            answer = await asyncio.wait_for(read_message(reader), 4)
            writer.write_eof()
            assert await asyncio.wait_for(reader.read(), 4) == b"", "bytes after the answer"
            return answer
        finally:
            writer.close()

    answer = run(context, exchange())
    context.answer = int(answer[0].split()[1]), dict(answer[1]), answer[2]
    return answer


@when('a caller sends {body} with Content-Encoding "{encoding}"')
def send_encoded(context, body, encoding):
    headers = [("Content-Encoding", encoding.encode())]
    send(context, headers=headers, body=BODIES[body], chunked="chunked" in body)


@when('a caller sends a request to "{target}"')
def send_to(context, target):
    send(context, target.encode())


@when('a caller sends a request with the headers "{headers}"')
def send_headers(context, headers):
    pairs = [header.split(": ") for header in headers.split(", ")]
    send(context, headers=[(name, value.encode()) for name, value in pairs])


@when("a caller sends a {method} request with {body} and header values that are not UTF-8")
def send_latin_1(context, method, body):
    send(context, headers=LATIN_1, body=BODIES[body], method=method.encode())


@when("the backend answers a request to {target} with header values: {kind}")
def answer_special(context, target, kind):
    context.special = SPECIAL[kind]
    headers = [*context.special, ("Content-Type", b"text/event-stream")]
    context.reply = lambda: (200, [], headers, STREAM, True)
    context.answered = send(context, target.encode())


@then("the caller received these values and the whole body")
def received_special(context):
    line, headers, body = context.answered
    received = [header for header in headers if header[0] == "x-r"]
    assert received == without(context.special, ()), (line, headers)
    assert body == STREAM, body


@then("no head with a line end or NUL in its first line, a name or a value is written")
def no_line_end(context):
    for end, start in itertools.product("\0\r\n", ("caf", "caf\udce9")):
        bad = f"{start}{end}X-B: 1"
        for line, name, value in ((bad, "X-A", "1"), ("GET /", bad, "1"), ("GET /", "X-A", bad)):
            writer = HeadWriter(mock.Mock(), context.loop)
            try:
                run(context, writer.write_headers(line, CIMultiDict({name: value})))
            except ValueError:
                assert not writer.transport.write.called
                continue
            raise AssertionError(f"written: {line!r} {name!r} {value!r}")


@when("a caller sends a request with the transfer codings gzip and chunked")
def send_transfer_coded(context):
    send(context, body=b"text", chunked=b"gzip, chunked")


@then("the backend received nothing")
def received_nothing(context):
    assert context.received is None, context.received


@when("the backend answers with status {status:d}")
def answers_with(context, status):
    context.reply = lambda: (status, [], [], b"", False)
    send(context)


@then("the backend received the target, the headers and the body as sent")
def is_unchanged(context):
    method, target, headers, body = context.sent
    assert context.received, context.answer
    line, received, received_body = context.received
    assert line == method + b" " + target + b" HTTP/1.1", (line, target)
    assert without(received, (*OWN, "connection")) == without(headers, ()), (received, headers)
    assert received_body == body, (received_body, body)


@then('the backend received the target "{target}"')
def received_target(context, target):
    assert context.received, context.answer
    assert context.received[0] == f"POST {target} HTTP/1.1".encode(), context.received


@then("the backend received no header of the caller")
def no_header(context):
    assert without(context.received[1], OWN) == [("connection", b"close")], context.received


@then("random requests reach the backend as sent")
def any_request(context):
    methods = st.sampled_from((b"GET", b"POST", b"PUT", b"DELETE", b"PATCH", b"PROPFIND"))

    @FEW
    @for_all(methods, TARGETS, HEADERS, st.none() | ENCODINGS, SHORT_BODIES, st.booleans())
    def check(method, target, headers, encoding, body, chunked):
        if encoding:
            headers = [*headers, ("Content-Encoding", encoding)]
        send(context, b"/book/" + target.encode(), headers, body, chunked, method)
        is_unchanged(context)

    check()


@then("random answers reach the caller as sent")
def any_answer(context):
    statuses = st.sampled_from((200, 201, 202, 203, 206, 299, 301, 400, 404, 418, *BODILESS))
    interims = st.lists(st.sampled_from((100, 102, 103)), max_size=2)
    answers = st.tuples(statuses, interims, HEADERS, SHORT_BODIES, st.booleans())

    @FEW
    @for_all(answers, st.none() | ENCODINGS)
    def check(answer, encoding):
        status, interim, headers, body, chunked = answer
        if encoding:
            headers = [*headers, ("Content-Encoding", encoding)]
        context.reply = lambda: (status, interim, headers, body, chunked)
        line, received, received_body = send(context)
        assert int(line.split()[1]) == status, (line, answer)
        arrived = without(received, (*ADDED, "x-attempt-id", "x-server-signature"))
        assert arrived == without(headers, ()), (arrived, headers)
        assert received_body == (b"" if status in BODILESS else body), received_body

    check()

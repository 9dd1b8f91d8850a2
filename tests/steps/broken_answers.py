"""Steps on answers of backends that are broken in their head or at their end."""

import asyncio
from unittest import mock

import uvloop
from behave import given, then, when

from standins.platform import PlatformStandIn, free_address
from standins.platform_backend import PlatformBackendStandIn
from standins.raw_answers import Ending, RawAnswerStandIn, at_once, byte_by_byte
from tests.steps.platform_running import call, run
from verbenaward.direct import sending

LONGEST_UPLOAD = 4_000_000
"""Longest upload, in bytes; more than the buffers of a connection between two processes hold."""
BACKENDS = (("p-1", "plain"), ("p-2", "plain"), ("e-1", "engines"), ("e-2", "engines"))
PATHS = ("book", "look", "stream", "stream/once")
"""A request that runs once, an idempotent one, and streams that may and may not be resumed."""
STREAM_PATHS = PATHS[2:]
EVENT = b"id: 1\ndata: piece one\n\n"
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


def unescaped(text):
    return text.encode().decode("unicode_escape")


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
    ask_each(context, [answer_of((unescaped(line), *FIELDS))])


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
    line = unescaped(line)
    # No second length, which would be refused for itself.
    fields = UNFRAMED if line.lower().startswith(("content-l", "transfer-e")) else FIELDS
    heads = ((*fields[:place], line, *fields[place:]) for place in range(len(fields) + 1))
    ask_each(context, [answer_of((STATUS_LINE, *head)) for head in heads])


@when('the backends frame each kind of answer by the coding "{coding}"')
def answer_with_coding(context, coding):
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
    fields = (*UNFRAMED, f"Transfer-Encoding: {unescaped(coding)}")
    ask_each(context, [answer_of((STATUS_LINE, *fields), chunks)])


@when('the body of each kind of answer is "{chunks}"')
def answer_with_chunks(context, chunks):
    fields = (*UNFRAMED, "Transfer-Encoding: chunked")
    ask_each(context, [answer_of((STATUS_LINE, *fields), unescaped(chunks).encode())])


@then('each caller gets the body "{body}"')
def each_got_body(context, body):
    wanted = (200, unescaped(body).encode())
    # A stream that ends within an event does not look whole.
    got = [item for item in context.outcomes if item[2] not in STREAM_PATHS]
    wrong = [item for item in got if (item[3][0], item[3][2]) != wanted]
    assert got and not wrong, wrong


@when(
    "they answer streams with an event and no length, and {end} them after {first:d} to {last:d}"
    " turns"
)
def answer_streams(context, end, first, last):
    context.outcomes = []
    for turns in range(first, last + 1):
        for raw in context.raw_backends:
            raw.answer = answer_of((STATUS_LINE, *UNFRAMED), EVENT)
            raw.turns, raw.ending = turns, Ending(end)
        context.outcomes += [(turns, path, ask(context, path)) for path in STREAM_PATHS]


@then("each stream looks whole")
def streams_whole(context):
    wrong = [item for item in context.outcomes if (item[2][0], item[2][2]) != (200, EVENT)]
    assert context.outcomes and not wrong, wrong


@then("each stream does not look whole")
def streams_not_whole(context):
    wrong = [item for item in context.outcomes if item[2][0] == 200]
    assert context.outcomes and not wrong, wrong

"""Steps on forwarded streams."""

from types import SimpleNamespace

import aiohttp
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import strategies as st

from standins.platform_backend import STREAM_EVENTS
from tests.event_streams import ENDS, MARK, dispatched, pieces_of
from tests.steps.platform_running import engines, run
from verbenaward.direct.delivery import Delivery
from verbenaward.direct.sends import Progress, Send
from verbenaward.placement.memory_budget import HeldBytes, HeldPart, Purpose
from verbenaward.requests.event_stream import EventStreamParser


class FakeResponse:
    """Collects what is written to the caller."""

    def __init__(self):
        self.body = b""

    async def write(self, data):
        self.body += data


def unescaped(text):
    return text.encode().decode("unicode_escape").encode()


def new_delivery():
    return Delivery(None, HeldBytes(), Progress(), response=FakeResponse())


def new_attempt(delivery):
    parser = EventStreamParser(drops_mark=delivery.writes > 0)
    return SimpleNamespace(
        parser=parser,
        send=Send(None, 0.0),
        held=HeldPart(delivery.held, Purpose.STREAM),
        paused_seconds=0.0,
        end_start_deadline=lambda: None,
    )


@given('the engines end lines with "{end}" and begin streams with "{mark}"')
def engines_write(context, end, mark):
    for engine in engines(context):
        engine.line_end = context.line_end = unescaped(end)
        engine.stream_mark = context.mark = MARK if mark == "BOM" else b""


@given('one engine ends lines with "{end}" and breaks off in the middle of an event')
def engine_breaks(context, end):
    context.bad = engines(context)[0]
    context.bad.line_end = unescaped(end)
    context.bad.mode = "truncated-event"


@given("the engines send the last byte of each event by itself")
def split_line_ends(context):
    for engine in engines(context):
        engine.splits_line_ends = True


@then("it gets all events in order, once each, with these line ends and this mark")
def all_events_unchanged(context):
    ((status, _, body),) = context.answers
    events = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, STREAM_EVENTS + 1))
    assert status == 200, context.answers
    assert body == context.mark + events.encode().replace(b"\n", context.line_end), body


@then("the last one gets all events in order, once each")
def all_events_dispatched(context):
    status, _, body = context.answers[-1]
    assert status == 200, context.answers[-1]
    numbers = range(1, STREAM_EVENTS + 1)
    assert dispatched(body) == [(f"piece {n}", str(n)) for n in numbers], body


@then("the last one gets all events in order, once each, and at most one mark")
def all_events_joined(context):
    all_events_dispatched(context)
    _, _, body = context.answers[-1]
    assert body.count(MARK) == 1 and body.startswith(MARK), body
    assert any(backend.last_event_ids[-1] for backend in engines(context)), "none was resumed"


STYLES = st.tuples(st.sampled_from((b"", MARK)), st.sampled_from(ENDS), st.booleans())
"""Mark, line ends, and whether there are comments between the events."""


def stream_after(last_id, count, style):
    """Return the events after an id, as a backend would write them."""
    mark, end, has_comments = style
    lines = [b": begins", b""] * has_comments
    for index in range(last_id + 1, count + 1):
        comment = [b": note %d" % index, b""] * has_comments
        lines += [b"data: first", b"data: %d" % index, b"id: %d" % index, b"", *comment]
    return mark + b"".join(line + end for line in lines)


@then("random streams that break at each byte go on with the same events")
def random_breaks(context):
    async def forward(delivery, stream, cuts):
        attempt = new_attempt(delivery)
        for piece in pieces_of(stream, cuts):
            await delivery.forward_events(piece, attempt)
        return attempt.parser.unfinished_bytes

    @drawn(STYLES, STYLES, st.integers(1, 3), st.lists(st.integers(0, 120), max_size=8))
    def check(first, second, count, cuts):
        whole = stream_after(0, count, first)
        expected = [(f"first\n{n}", str(n)) for n in range(1, count + 1)]
        for broken_at in range(len(whole) + 1):
            delivery = new_delivery()
            run(context, forward(delivery, whole[:broken_at], cuts))
            assert delivery.position.is_resumable
            rest = stream_after(int(delivery.last_event_id or 0), count, second)
            assert run(context, forward(delivery, rest, cuts)) == 0
            body = delivery.response.body
            assert dispatched(body) == expected, (broken_at, body)
            assert MARK not in body[1:], (broken_at, body)

    check()


@when('the events "{events}" are forwarded')
def forward_events(context, events):
    context.delivery, context.error = new_delivery(), None
    try:
        attempt = new_attempt(context.delivery)
        run(context, context.delivery.forward_events(unescaped(events), attempt))
    except aiohttp.ClientPayloadError as error:
        context.error = error


@when('the events "{events}" are forwarded, and "{rest}" once another send waits beside them')
def forward_beside(context, events, rest):
    context.delivery, context.superseded = new_delivery(), []
    attempt = new_attempt(context.delivery)
    run(context, context.delivery.forward_events(unescaped(events), attempt))
    attempt.send.claim = lambda: context.superseded.append(rest) or True
    run(context, context.delivery.forward_events(unescaped(rest), attempt))
    context.sent = unescaped(events + rest)


@then("the other send is not superseded, and the LF is forwarded")
def not_superseded(context):
    assert not context.superseded
    assert context.delivery.response.body == context.sent


@then('the stream is resumed after "{event_id}"')
@then('the stream is resumed after ""')
def resumed_after(context, event_id=""):
    delivery = context.delivery
    assert delivery.position.is_resumable
    assert delivery.last_event_id == event_id, delivery.last_event_id
    _, last_id = dispatched(delivery.response.body + b"data\n\n")[-1]
    assert last_id == event_id, last_id


@then("the stream may not be resumed")
def not_resumable(context):
    assert not context.delivery.position.is_resumable


@then("it is a failure of the backend")
def failed(context):
    assert context.error is not None

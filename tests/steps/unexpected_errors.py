"""Steps on requests whose handling fails unexpectedly."""

import asyncio
from unittest import mock

from behave import given, then, when

from standins.platform_backend import framed
from tests.steps.platform_running import call, open_raw, run

EVENT = b"id: 1\ndata: 1\n\n"
PLACES = {
    "the search for a route": lambda front: (front, "build_request"),
    "the choice of a backend": lambda front: (front.forwarder.placer, "choose"),
    "the record of a backend": lambda front: (front.forwarder, "record_answered"),
    "the record of an event": lambda front: (front.streams, "clear_parts"),
}


@given("{place} fails unexpectedly")
def fails(context, place):
    owner, name = PLACES[place](context.platform.entries[0].front)
    # The end of a stream is sent before its record.
    context.paths = ("book", "look") if name == "record_answered" else ("book", "look", "stream")
    patch = mock.patch.object(owner, name, side_effect=KeyError("unexpected"))
    patch.start()
    context.add_cleanup(patch.stop)


@given("all backends send a control character in a header")
def control_character(context):
    async def run_with_character(request, attempt):
        headers = {"X-Attempt-Id": attempt, "X-Server-Signature": "s", "X-Note": "a\x01b"}
        headers["Content-Type"] = "text/event-stream"
        request.transport.write(framed(headers, [EVENT], "length"))
        await asyncio.sleep(0.01)
        request.transport.close()
        raise asyncio.CancelledError

    context.paths = ("book", "look", "stream")
    for backend in context.platform.backends.values():
        backend.run = run_with_character


@then("each gets the complete answer, with that header unchanged")
def complete_answers(context):
    seen = [(status, headers.get("X-Note"), body) for status, headers, body in context.answers]
    assert seen == [(200, "a\x01b", EVENT)] * len(context.paths), context.answers


@when("callers book, look something up and open a stream")
def each_kind(context):
    context.answers = [call(context, f"/{kind}/x", f"u-{kind}") for kind in context.paths]


@then('each gets a complete 502 that says "{verdict}"')
def complete_refusals(context, verdict):
    seen = [(status, headers.get("X-Verdict")) for status, headers, _ in context.answers]
    assert seen == [(502, verdict)] * len(context.paths), context.answers


@then('the last line of each is "{event}" with the error')
def last_lines(context, event):
    last = {values["request"]: (name, values) for name, values in context.lines}
    assert len(last) == len(context.answers), last
    for name, values in last.values():
        assert name == event, last
        assert "KeyError" in values["message"] and values["exc_info"], values


@when('an HTTP/1.0 caller opens a stream at "{path}"')
def old_caller(context, path):
    async def read():
        reader, writer, head = await open_raw(context, path)
        head = head.replace("HTTP/1.1", "HTTP/1.0")
        writer.write((head + "X-Model: model\r\nX-Token-Usage: 300,60\r\n\r\n").encode())
        try:
            async with asyncio.timeout(2.0):
                return await reader.read(-1)
        except ConnectionResetError:
            return "reset"
        finally:
            writer.close()

    context.answers = [run(context, read())]


@then("its connection is reset in the middle of the stream")
def was_reset(context):
    assert context.answers == ["reset"], context.answers
